//! Periodic work: retries, expiry of leases, stalled runs and removal of old jobs.

use super::run_lease::RunLease;
use super::worker::RunState;
use super::{Phase, Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Time after which an unanswered start or stop is retried.
const RETRY_AFTER: Millis = Millis(250);

/// Margin after the expiry of an unresponsive worker's runs, for the delay until the worker kills
/// them.
pub(super) const EXPIRY_MARGIN: Millis = Millis(300);

/// A healthy run changes its progress percentage within this time plus a fifth of its estimate,
/// which is twice the expected time of one progress step.
const STALL_TIMEOUT: Millis = Millis(1500);

impl Scheduler {
    /// Retries unanswered calls, releases expired runs, stops stalled runs and triggers planning
    /// for scheduled work.
    pub fn tick(&mut self, now: Millis) {
        self.release_expired_runs(now);
        self.retry_calls(now);
        self.stop_stalled(now);
        self.replan = true;
    }

    fn release_expired_runs(&mut self, now: Millis) {
        let expired: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.runs.is_empty())
            .filter(|worker| worker.current.missed_polls > 0 || !worker.current.is_fenced())
            .filter(|worker| now > self.runs_end_at(worker) + EXPIRY_MARGIN)
            .map(|worker| worker.id.clone())
            .collect();
        for id in expired {
            let lost = self.lost_worker(&id, now);
            self.release_all_runs(&id, "lapsed", now);
            self.note_lapsed(lost, now);
        }
    }

    /// Marks an incarnation of a worker as dead after another one answered at its address.
    pub fn mark_worker_dead(&mut self, id: &WorkerId, incarnation: u64, now: Millis) {
        let is_current = |worker: &Worker| worker.current.number == incarnation;
        if !self.workers.get(id).is_some_and(is_current) {
            return;
        }
        let lost = self.lost_worker(id, now);
        self.release_all_runs(id, "another incarnation answered", now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.entry = None;
        }
        self.count_dead(id, lost, now);
    }

    /// Releases all runs of a worker whose end is certain.
    fn release_all_runs(&mut self, id: &WorkerId, reason: &str, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let place = worker.placement();
        let runs: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .map(|(key, run)| (key.clone(), run.run))
            .collect();
        tracing::warn!(worker = %id, born = worker.current.number, runs = runs.len(), reason, "runs are lost");
        worker.current.lease = RunLease::Ended;
        for (key, run) in runs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_run(&key);
            }
            self.release_task(&key, &place, run, now);
        }
        self.replan = true;
    }

    fn retry_calls(&mut self, now: Millis) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                if run.call_in_flight || run.called_at + RETRY_AFTER > now {
                    continue;
                }
                match run.state {
                    RunState::Sent if self.may_start => {
                        starts.push((worker.id.clone(), key.clone()))
                    }
                    RunState::Stopping if run.settled_at.is_none() => {
                        stops.push((worker.id.clone(), key.clone()));
                    }
                    _ => {}
                }
            }
        }
        for (worker, key) in starts {
            self.send_start(&worker, &key, now);
        }
        for (worker, key) in stops {
            self.send_stop(&worker, &key, now);
        }
    }

    /// Stops runs without progress on responsive workers.
    fn stop_stalled(&mut self, now: Millis) {
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                if run.state != RunState::Running
                    || run.best_effort
                    || run.long_running
                    || run.pace < 100
                {
                    continue;
                }
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let Some(instance) = job.instance_of(key) else {
                    continue;
                };
                let share = job.step(instance).estimate.scale_permille(200);
                if run.progressed_at + STALL_TIMEOUT + share < now
                    && worker.current.missed_polls == 0
                {
                    stalled.push((worker.id.clone(), key.clone()));
                }
            }
        }
        for (id, key) in stalled {
            tracing::info!(task = %key, worker = %id, "run stands still; it is moved");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.current.health.cool_down(now);
            }
            self.stop(&id, &key, now);
        }
    }

    /// Returns jobs whose retention has passed; their keys can be removed from the store.
    pub fn expired_jobs(&self, wall: Timestamp, most: usize) -> Vec<JobId> {
        let keep = self.timing.ended_retention;
        self.jobs
            .values()
            .filter(|job| job.durable_phase != Phase::Active && !job.write_in_flight)
            .filter(|job| wall.0 >= job.ended.0 + keep.0)
            .map(|job| job.id.clone())
            .take(most)
            .collect()
    }

    /// Removes jobs whose keys are removed from the store. A job that is removed earlier would
    /// count as new when the store is read again.
    pub fn remove_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
            self.dirty.remove(id);
        }
    }

    /// Stops the long-running runs of a draining worker, so that they start elsewhere.
    pub(super) fn stop_long_running_runs(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let long_running: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.long_running && run.state == RunState::Running)
            .map(|(key, _)| key.clone())
            .collect();
        for key in long_running {
            self.stop(id, &key, now);
        }
    }
}
