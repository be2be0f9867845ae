//! What time alone changes.

use super::state::CLOCK_DRIFT_PERMILLE;
use super::worker::RunState;
use super::{Phase, Scheduler, TaskKey};
use crate::prelude::*;

/// Time after which an unanswered start or stop is sent again.
const RESEND_AFTER: Millis = Millis(250);

/// Slack on the time at which a silent worker's runs have lapsed, for the delay of its kill.
const LAPSE_SLACK: Millis = Millis(300);

/// A sound task moves its percentage within this time and twice its estimated share.
const STALL: Millis = Millis(1500);

impl Scheduler {
    /// Repeats unanswered calls, frees lapsed runs and wakes scheduled work.
    pub fn tick(&mut self, now: Millis) {
        self.free_lapsed(now);
        self.repeat_calls(now);
        self.stop_stalled(now);
        self.replan = true;
    }

    fn free_lapsed(&mut self, now: Millis) {
        let takeover = self.began + self.timing.takeover_expiry;
        let lapsed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.runs.is_empty() && (worker.misses > 0 || !worker.fenced))
            .filter(|worker| {
                let own = worker.lapses(CLOCK_DRIFT_PERMILLE).unwrap_or(takeover);
                let all = if worker.fenced {
                    own
                } else {
                    own.max(takeover)
                };
                now > all + LAPSE_SLACK
            })
            .map(|worker| worker.id.clone())
            .collect();
        for id in lapsed {
            self.lose_runs(&id, "lapsed");
        }
    }

    /// Notes that another life answers at a worker's address, so that this one has ended.
    pub fn mark_worker_dead(&mut self, id: &WorkerId) {
        self.lose_runs(id, "worker has ended");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.entry = None;
        }
    }

    /// Frees all runs of a worker that are certain to have ended.
    fn lose_runs(&mut self, id: &WorkerId, reason: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let place = worker.place();
        let runs: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .map(|(key, run)| (key.clone(), run.run))
            .collect();
        tracing::warn!(worker = %id, born = worker.incarnation, runs = runs.len(), reason, "runs are lost");
        worker.fenced = false;
        for (key, run) in runs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.drop_run(&key);
            }
            self.free_task(&key, &place, run);
        }
        self.replan = true;
    }

    fn repeat_calls(&mut self, now: Millis) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                if run.calling || run.called + RESEND_AFTER > now {
                    continue;
                }
                match run.state {
                    RunState::Sent if self.may_start => {
                        starts.push((worker.id.clone(), key.clone()))
                    }
                    RunState::Stopping if run.settled.is_none() => {
                        stops.push((worker.id.clone(), key.clone()));
                    }
                    _ => {}
                }
            }
        }
        for (worker, key) in starts {
            self.start(&worker, &key, now);
        }
        for (worker, key) in stops {
            self.call_stop(&worker, &key, now);
        }
    }

    /// Ends runs that stand still on a worker that answers.
    fn stop_stalled(&mut self, now: Millis) {
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                if run.state != RunState::Placed
                    || run.best_effort
                    || run.long_running
                    || run.pace < 100
                {
                    continue;
                }
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let Some(unit) = job.unit_of(key) else {
                    continue;
                };
                let share = job.step(unit).estimate.scale_permille(200);
                if run.moved + STALL + share < now && worker.misses == 0 {
                    stalled.push((worker.id.clone(), key.clone()));
                }
            }
        }
        for (id, key) in stalled {
            tracing::info!(task = %key, worker = %id, "run stands still; it is moved");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.blame.rest(now);
            }
            self.stop(&id, &key, now);
        }
    }

    /// Names jobs that nobody may ask for any more; their keys can be removed from the store.
    pub fn expired_jobs(&self, wall: Timestamp, most: usize) -> Vec<JobId> {
        let keep = self.timing.ended_retention;
        self.jobs
            .values()
            .filter(|job| job.durable_phase != Phase::Active && !job.writing)
            .filter(|job| wall.0 >= job.ended.0 + keep.0)
            .map(|job| job.id.clone())
            .take(most)
            .collect()
    }

    /// Forgets jobs whose keys are removed; one that was forgotten before would be taken for a
    /// new job when the store is read again.
    pub fn remove_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
            self.dirty.remove(id);
        }
    }

    /// Moves what serves off a worker that drains, one run a step at a time.
    pub(super) fn leave_draining(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let long_running: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.long_running && run.state == RunState::Placed)
            .map(|(key, _)| key.clone())
            .collect();
        for key in long_running {
            self.stop(id, &key, now);
        }
    }
}
