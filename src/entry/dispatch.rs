//! Sends what the scheduler has decided.

use std::time::Duration;

use tokio::sync::Notify;

use super::leader::Leader;
use super::poll::poll_worker;
use crate::prelude::*;
use crate::scheduler::{Command, StartResponse};

/// Shortest time between two rounds of planning; ends and submissions that come together share
/// one.
const PLAN_GAP: Duration = Duration::from_millis(10);

/// Plans whenever something has changed.
pub(super) async fn run_planner(leader: Arc<Leader>) {
    loop {
        leader.changed.notified().await;
        {
            let now = leader.shared.clock.now();
            leader.sched.lock().plan(now);
        }
        leader.send_orders();
        tokio::time::sleep(PLAN_GAP).await;
    }
}

impl Leader {
    /// Sends orders and wakes the planner and the writers of records.
    pub fn dispatch(self: &Arc<Self>) {
        self.send_orders();
        if self.sched.lock().needs_plan() {
            self.changed.notify_one();
        }
    }

    fn send_orders(self: &Arc<Self>) {
        let (orders, ids, dirty) = {
            let mut sched = self.sched.lock();
            (
                sched.take_commands(),
                sched.take_new_workers(),
                sched.has_dirty(),
            )
        };
        if dirty {
            self.dirty.notify_one();
        }
        for id in ids {
            self.watch_worker(id);
        }
        for order in orders {
            self.send(order);
        }
    }

    /// Ends the pause between two reads of a worker.
    pub fn wake_poll(&self, id: &WorkerId) {
        if let Some(wake) = self.polls.lock().get(id) {
            wake.notify_one();
        }
    }

    fn watch_worker(self: &Arc<Self>, id: WorkerId) {
        let wake = Arc::new(Notify::new());
        self.polls.lock().insert(id.clone(), wake.clone());
        tokio::spawn(poll_worker(self.clone(), id, wake));
    }

    fn send(self: &Arc<Self>, order: Command) {
        let leader = self.clone();
        match order {
            Command::Start(order) => {
                tokio::spawn(async move {
                    if leader.lost.is_cancelled() {
                        return;
                    }
                    // A process that was suspended since it planned this must not send it; the
                    // start is repeated once the lease is known to hold.
                    let answer = if leader.is_valid() {
                        leader.shared.workers.start(&order).await
                    } else {
                        StartResponse::Unknown
                    };
                    let label = match answer {
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
                    tracing::info!(task = %order.task, run = order.run, worker = %order.worker, answer = label, "start");
                    leader.change(|sched, now| {
                        sched.on_start_response(&order.worker, &order.task, order.run, answer, now);
                    });
                    leader.wake_poll(&order.worker);
                });
            }
            Command::Stop(order) => {
                tokio::spawn(async move {
                    if leader.lost.is_cancelled() {
                        return;
                    }
                    let done = leader.shared.workers.stop(&order).await;
                    tracing::info!(task = %order.task, run = order.run, worker = %order.worker, acknowledged = done, "stop");
                    leader.change(|sched, now| {
                        sched.on_stop_response(&order.worker, &order.task, order.run, done, now);
                    });
                });
            }
            Command::Advise(order) => {
                tokio::spawn(async move {
                    let answer = leader.shared.workers.advise(&order).await;
                    let allowed = answer.as_ref().map(Vec::len);
                    tracing::info!(job = %order.job, step = order.step, named = order.workers.len(), ?allowed, "advice");
                    leader.change(|sched, now| sched.on_advice(&order, answer.as_deref(), now));
                });
            }
            Command::Pace { run, percent } => {
                tokio::spawn(async move {
                    if leader.lost.is_cancelled() {
                        return;
                    }
                    let done = leader.shared.workers.pace(&run, percent).await;
                    tracing::info!(task = %run.task, run = run.run, worker = %run.worker, percent, acknowledged = done, "pace");
                });
            }
        }
    }
}
