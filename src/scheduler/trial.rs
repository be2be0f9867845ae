//! Trials: a task under which workers have crashed runs where a further crash harms least and
//! shows whether the task causes it.

use std::collections::HashMap;

use super::crash::TRIAL_PERIOD;
use super::selection::PlacementRequest;
use super::worker::Run;
use super::{Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Maximum time that a task waits for a worker on which it can be tried alone.
const MAX_WAIT: Millis = Millis(1000);

/// Waste of a crash under a serving or other long-running run, in millicores times milliseconds:
/// that of 60 s of work of one processor.
const LONG_RUNNING_WASTE: u64 = 60_000_000;

/// Number of workers of a service for each trial in progress. After crashes of many workers, trials
/// of all tasks that ran there would keep the service from taking other work.
const WORKERS_PER_TRIAL: usize = 4;

/// Tasks that wait for a worker on which they can be tried alone, and since when.
pub(super) type TrialQueue = HashMap<TaskKey, Millis>;

/// Where a task is tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// On this worker, apart from other new and suspected runs.
    On(WorkerId),
    /// Not yet.
    Wait,
    /// On any worker.
    Anywhere,
}

impl Scheduler {
    /// Returns whether one more worker of a service can be kept free of other new runs.
    pub(super) fn may_begin_trial(&self, service: &str, now: Millis) -> bool {
        let workers = || {
            self.workers
                .values()
                .filter(|worker| worker.belongs_to(service))
        };
        let trials = workers().filter(|worker| worker.has_trial(now)).count();
        trials == 0 || trials * WORKERS_PER_TRIAL < workers().count()
    }

    /// Finds a place for a task that is tried alone; it does not wait for one for long.
    pub(super) fn find_trial(
        &mut self,
        request: &PlacementRequest,
        key: TaskKey,
        now: Millis,
    ) -> Trial {
        if let Some(worker) = self.select_trial_worker(request, now) {
            return Trial::On(worker);
        }
        let since = *self.trials.entry(key).or_insert(now);
        if now.since(since) < MAX_WAIT {
            Trial::Wait
        } else {
            Trial::Anywhere
        }
    }

    /// Selects the worker on which a task can be tried alone and whose crash would waste least.
    fn select_trial_worker(&self, request: &PlacementRequest, now: Millis) -> Option<WorkerId> {
        let reservation = request.step.reservation();
        self.workers
            .values()
            .filter(|worker| worker.has_room_for(&reservation, &Resources::default()))
            .filter(|worker| {
                request.is_eligible(worker, now) && request.is_within_limits(worker, now)
            })
            .filter(|worker| worker.suspects == 0 && !worker.current.health.is_suspect(now))
            .filter(|worker| !self.crashes.has_crashed(&worker.address, now))
            .filter(|worker| !worker.runs.values().any(|run| is_new(run, now)))
            .filter_map(|worker| {
                let cost = self.cost(worker, request)?;
                Some((crash_waste(worker, now), cost, worker))
            })
            .min_by_key(|(waste, cost, _)| (*waste, *cost))
            .map(|(_, _, worker)| worker.id.clone())
    }
}

impl Worker {
    /// Returns whether a trial is in progress; with other new runs, a crash would not show its cause.
    pub(super) fn has_trial(&self, now: Millis) -> bool {
        now < self.current.trial_until
    }
}

fn is_new(run: &Run, now: Millis) -> bool {
    now.since(run.started_at) < TRIAL_PERIOD
}

/// Returns the work that a crash of the worker would waste, in millicores times milliseconds.
fn crash_waste(worker: &Worker, now: Millis) -> u64 {
    let waste = |run: &Run| {
        if run.long_running || run.target.is_some() {
            LONG_RUNNING_WASTE
        } else if run.saves_checkpoints {
            0
        } else {
            run.cpu.0 * now.since(run.started_at).0
        }
    };
    worker.runs.values().map(waste).sum()
}
