//! Sends the commands of the scheduler, and runs the planner.

use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::leader::Leader;
use super::poll::poll_worker;
use crate::prelude::*;
use crate::scheduler::{Command, StartAnswer, StartResponse};
use crate::telemetry::Activity;

/// Shortest time between two planning rounds; ends and submissions that arrive together share one.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(10);

/// Longest pause after a planning round, also if the VM was halted during it.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a planning round, as a multiple of the time that it took: planning takes at most a
/// quarter of the processor.
const PLAN_PAUSE_FACTOR: u32 = 3;

/// Runs a planning round whenever something has changed.
pub(super) async fn run_planner(leader: Arc<Leader>) {
    loop {
        leader.planner_wake.notified().await;
        let began = Instant::now();
        {
            let now = leader.shared.clock.now();
            leader.sched.lock().plan(now);
        }
        let took = began.elapsed();
        leader.send_commands();
        let pause = took * PLAN_PAUSE_FACTOR;
        tokio::time::sleep(pause.clamp(MIN_PLAN_INTERVAL, MAX_PLAN_INTERVAL)).await;
    }
}

impl Leader {
    /// Sends commands and wakes the planner and the committer.
    pub fn dispatch(self: &Arc<Self>) {
        self.send_commands();
        if self.sched.lock().needs_plan() {
            self.planner_wake.notify_one();
        }
    }

    fn send_commands(self: &Arc<Self>) {
        let (commands, ids, dirty) = {
            let mut sched = self.sched.lock();
            (
                sched.take_commands(),
                sched.take_new_workers(),
                sched.has_dirty(),
            )
        };
        if dirty {
            self.committer_wake.notify_one();
        }
        for id in ids {
            self.start_polling(id);
        }
        for command in commands {
            self.send(command);
        }
    }

    /// Ends the pause between two polls of a worker.
    pub fn wake_poll(&self, id: &WorkerId) {
        if let Some(wake) = self.polls.lock().get(id) {
            wake.notify_one();
        }
    }

    fn start_polling(self: &Arc<Self>, id: WorkerId) {
        let wake = Arc::new(Notify::new());
        self.polls.lock().insert(id.clone(), wake.clone());
        tokio::spawn(Activity::Poll.measure(poll_worker(self.clone(), id, wake)));
    }

    fn send(self: &Arc<Self>, command: Command) {
        let leader = self.clone();
        match command {
            Command::Start(command) => {
                tokio::spawn(Activity::Command.measure(async move {
                    if leader.term_ended.is_cancelled() {
                        return;
                    }
                    // If the lease has expired since the planning round, because the process was
                    // suspended, the command must not be sent. The scheduler repeats the start
                    // once the lease is known to be valid.
                    let answer = if leader.has_valid_lease() {
                        leader.shared.workers.start(&command).await
                    } else {
                        StartAnswer::unknown()
                    };
                    let response = answer.for_command(&command);
                    let label = match response {
                        StartResponse::Started => "started",
                        StartResponse::Fenced => "fenced",
                        StartResponse::AlreadyEnded => "old",
                        StartResponse::Late => "late",
                        StartResponse::NoRoom => "no_room",
                        StartResponse::NoTicket => "no_ticket",
                        StartResponse::OtherIncarnation => "ended",
                        StartResponse::Refused => "refused",
                        StartResponse::Unknown => "unknown",
                    };
                    leader
                        .shared
                        .metrics
                        .starts
                        .with_label_values(&[label])
                        .inc();
                    tracing::info!(task = %command.task, run = command.run, worker = %command.worker, answer = label, waited_ms = command.waited.0, "start");
                    leader.update(|sched, now| {
                        sched.on_start_response(&command, response, now);
                    });
                    leader.wake_poll(&command.worker);
                }));
            }
            Command::Stop(command) => {
                tokio::spawn(Activity::Command.measure(async move {
                    if leader.term_ended.is_cancelled() {
                        return;
                    }
                    let done = leader.shared.workers.stop(&command).await;
                    tracing::info!(task = %command.task, run = command.run, worker = %command.worker, acknowledged = done, "stop");
                    leader.update(|sched, now| {
                        sched.on_stop_response(&command, done, now);
                    });
                    leader.wake_poll(&command.worker);
                }));
            }
            Command::Advise(request) => {
                tokio::spawn(Activity::Command.measure(async move {
                    let advice = leader.shared.workers.advise(&request).await;
                    let allowed = advice.as_ref().map(Vec::len);
                    tracing::info!(job = %request.job, step = request.step, named = request.workers.len(), ?allowed, "advice");
                    leader.update(|sched, now| sched.on_advice(&request, advice.as_deref(), now));
                }));
            }
            Command::Pace { run, percent } => {
                tokio::spawn(Activity::Command.measure(async move {
                    if leader.term_ended.is_cancelled() {
                        return;
                    }
                    let done = leader.shared.workers.pace(&run, percent).await;
                    tracing::info!(task = %run.task, run = run.run, worker = %run.worker, percent, acknowledged = done, "pace");
                }));
            }
        }
    }
}
