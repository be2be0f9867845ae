//! Takes in what workers report and answer.

use super::worker::{Run, RunState};
use super::{
    Phase, Placement, RunCompletion, RunOutcome, RunStatus, Scheduler, StartResponse, TaskKey,
    WorkerReport,
};
use crate::prelude::*;

/// Most ends in one report; a full report may lack later ends.
const REPORT_ENDS: usize = 500;

/// Calls without an answer after which a worker gets no new work.
const MISSES_TO_DOUBT: u32 = 1;

impl Scheduler {
    /// Takes in a worker's lists, which were asked for at `asked`.
    pub fn on_report(
        &mut self,
        id: &WorkerId,
        asked: Millis,
        now: Millis,
        wall: Timestamp,
        report: &WorkerReport,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if report.incarnation < worker.incarnation {
            return;
        }
        if report.incarnation > worker.incarnation {
            self.reborn(id, report.incarnation, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.fenced || worker.misses > 0 {
            self.replan = true;
        }
        if worker.misses >= 3 {
            tracing::info!(worker = %id, misses = worker.misses, "worker answers again");
        }
        worker.fenced = true;
        worker.misses = 0;
        worker.heard = now;
        worker.clock = Some((now, report.clock));
        let handled = worker.handled;
        for end in report.ended.iter().filter(|end| end.sequence > handled) {
            self.take_end(id, end, now, wall);
        }
        for row in &report.running {
            self.take_running(id, row, now);
        }
        if report.ended.len() < REPORT_ENDS {
            self.drop_absent(id, asked, report);
        }
        self.acknowledge_ends(id);
        self.watch_sharing(id, now);
    }

    fn take_end(&mut self, id: &WorkerId, end: &RunCompletion, now: Millis, wall: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.handled = end.sequence;
        let place = worker.place();
        let matches = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.run == end.run);
        let run = if matches {
            worker.drop_run(&end.task)
        } else {
            None
        };
        self.replan = true;
        let version = self.settle(&place, end, run.as_ref(), now, wall);
        if let Some(worker) = self.workers.get_mut(id) {
            worker
                .unseen
                .push_back((end.sequence, end.task.job.clone(), version));
            match end.outcome {
                RunOutcome::Done => worker.blame.done(),
                RunOutcome::Failed if run.as_ref().is_some_and(|run| !run.long_running) => {
                    worker.blame.failed(now);
                }
                _ => {}
            }
        }
    }

    /// Applies an end to its job and returns the version that holds it.
    fn settle(
        &mut self,
        place: &Placement,
        end: &RunCompletion,
        run: Option<&Run>,
        now: Millis,
        wall: Timestamp,
    ) -> u64 {
        let key = &end.task;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return 0;
        };
        if !job.is_active() {
            // The end must not be forgotten before the phase that makes it needless is durable.
            if job.release(key, place, end.run) {
                self.dirty.insert(key.job.clone());
            }
            return job.version;
        }
        let Some(unit) = job.unit_of(key) else {
            return 0;
        };
        let step = job.step(unit).clone();
        let current = job.release(key, place, end.run);
        job.begun = true;
        if !end.checkpoint.is_empty() && (current || run.is_some()) {
            let index = key.index as usize;
            for (at, task) in job.units[unit].tasks.iter_mut().enumerate() {
                if at == index || step.gang {
                    task.checkpoint.clone_from(&end.checkpoint);
                }
            }
        }
        job.version += 1;
        self.dirty.insert(key.job.clone());
        match end.outcome {
            RunOutcome::Done if !step.long_running => {
                let index = key.index as usize;
                let found = &mut job.units[unit];
                for (at, task) in found.tasks.iter_mut().enumerate() {
                    if at == index || step.gang {
                        task.done = true;
                    }
                }
                found.done = found.tasks.iter().filter(|task| task.done).count();
                if job.is_done() {
                    self.end_job(&key.job, Phase::Completed, now, wall);
                }
            }
            RunOutcome::Failed if current && !step.long_running => {
                let most = self
                    .queues
                    .queues
                    .get(&job.spec.queue)
                    .map_or(u32::MAX, |queue| queue.max_attempts);
                let failures = job.task_mut(key).map_or(0, |task| {
                    task.failures += 1;
                    task.failures
                });
                tracing::info!(task = %key, run = end.run, worker = %place.worker, failures, most, "run failed");
                if failures >= most {
                    self.end_job(&key.job, Phase::Failed, now, wall);
                }
            }
            _ => {}
        }
        self.jobs.get(&key.job).map_or(0, |job| job.version)
    }

    fn take_running(&mut self, id: &WorkerId, row: &RunStatus, now: Millis) {
        let known = self.jobs.get_mut(&row.task.job);
        let wanted = known.is_some_and(|job| {
            job.begun = true;
            let active = job.is_active();
            job.task_mut(&row.task)
                .is_some_and(|task| active && !task.done && task.run == row.run)
        });
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.run == row.run
        {
            run.listed = true;
            if run.state == RunState::Sent {
                run.state = RunState::Placed;
                run.settled = Some(now);
            }
            if row.percent != run.percent {
                run.percent = row.percent;
                run.moved = now;
            }
            run.gauge = row.gauge;
            if !wanted {
                self.stop(id, &row.task, now);
            } else if !row.checkpoint.is_empty()
                && let Some(task) = self
                    .jobs
                    .get_mut(&row.task.job)
                    .and_then(|job| job.task_mut(&row.task))
            {
                task.checkpoint.clone_from(&row.checkpoint);
            }
            return;
        }
        tracing::warn!(worker = %id, task = %row.task, run = row.run, "run is not expected here");
        let (room, cpu) = self
            .jobs
            .get(&row.task.job)
            .and_then(|job| Some(job.step(job.unit_of(&row.task)?).clone()))
            .map(|step| (step.reservation(), step.need.cpu))
            .unwrap_or_default();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.runs.contains_key(&row.task) {
            return;
        }
        let stray = Run {
            state: RunState::Stopping,
            ..Run::new(row.run, room, cpu, now)
        };
        worker.insert(row.task.clone(), stray);
        self.call_stop(id, &row.task, now);
    }

    /// Frees runs that a complete list does not show.
    fn drop_absent(&mut self, id: &WorkerId, asked: Millis, report: &WorkerReport) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let place = worker.place();
        let absent: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.settled.is_some_and(|at| at < asked))
            .filter(|(key, run)| {
                !report
                    .running
                    .iter()
                    .any(|row| row.task == **key && row.run == run.run)
            })
            .map(|(key, run)| (key.clone(), run.run))
            .collect();
        for (key, run) in absent {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.drop_run(&key);
            }
            self.replan = true;
            if self.free_task(&key, &place, run) {
                tracing::info!(task = %key, run, worker = %id, "run is not on its worker; it starts again");
            }
        }
    }

    /// Takes in the answer to a start.
    pub fn on_start_response(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        answer: StartResponse,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        if run.run != number {
            return;
        }
        run.calling = false;
        match answer {
            StartResponse::Started => {
                if run.state == RunState::Sent {
                    run.state = RunState::Placed;
                    run.settled = Some(now);
                }
            }
            StartResponse::OtherIncarnation => self.mark_worker_dead(id),
            StartResponse::Unknown => {
                run.doubtful = true;
                worker.misses = worker.misses.max(MISSES_TO_DOUBT);
            }
            // An earlier copy of this start may have been carried out, so the list decides.
            StartResponse::AlreadyEnded => run.settled = Some(now),
            StartResponse::Fenced
            | StartResponse::LeaseExpired
            | StartResponse::NoCapacity
            | StartResponse::NoTicket
            | StartResponse::Refused => {
                tracing::info!(task = %key, run = number, worker = %id, ?answer, "start rejected");
                if answer == StartResponse::Refused || answer == StartResponse::NoCapacity {
                    worker.blame.rest(now);
                }
                if run.state == RunState::Sent {
                    run.state = RunState::Stopping;
                    run.settled = None;
                    self.call_stop(id, key, now);
                }
                if answer == StartResponse::NoTicket {
                    self.drop_ticket(id, key);
                }
                if answer == StartResponse::Fenced {
                    self.may_start = false;
                }
            }
        }
    }

    /// Takes in whether a stop was acknowledged.
    pub fn on_stop_response(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        acknowledged: bool,
        now: Millis,
    ) {
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(key))
        else {
            return;
        };
        if run.run != number || run.state != RunState::Stopping {
            return;
        }
        run.calling = false;
        if acknowledged {
            run.settled = Some(now);
        }
    }

    /// Notes that a worker did not answer a read.
    pub fn on_poll_failure(&mut self, id: &WorkerId, reason: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.misses += 1;
            if worker.misses == 3 {
                tracing::warn!(worker = %id, runs = worker.runs.len(), reason, "worker does not answer");
            }
        }
    }
}
