//! Selects the worker for one task.

use std::collections::HashMap;

use super::advice::Advice;
use super::interference::{ImageImpact, Interference};
use super::{Scheduler, StepSpec, Worker};
use crate::prelude::*;

/// Cost of a worker on another rack than the data, in millicores left unused; the task takes
/// several times as long there.
const OTHER_RACK_COST: u64 = 200_000;

/// Cost of a worker without idle CPU, in millicores; exceeds the CPU of any worker.
const NO_IDLE_CPU_COST: u64 = 200_000;

/// Cost of one unit of slack that a serving task loses; one unit is the range from its target to
/// half of it.
const SLACK_LOSS_COST: f64 = 40_000.0;

/// Cost of a serving task on the same worker that reacts to other images, since the two together
/// tolerate fewer best-effort tasks.
const OTHER_IMAGE_COST: f64 = 40_000.0;

/// Cost of a worker without a serving task of the same image.
const NEW_IMAGE_COST: u64 = 20_000;

/// Cost of a worker whose last run failed.
const SUSPECT_COST: u64 = 24_000;

/// Cost of a worker that a task suspected of crashing workers would share with another such task.
const SHARED_SUSPECT_COST: u64 = 100_000;

impl Scheduler {
    /// Returns the cost of a worker for a task; `None` if it cannot take the task.
    pub(super) fn cost(&self, worker: &Worker, request: &PlacementRequest) -> Option<u64> {
        cost(worker, request, &self.interference)
    }

    /// Returns the cost of a worker with room for a task, including what speaks against the worker;
    /// `None` if the task would disturb its runs.
    pub(super) fn select_cost(
        &self,
        worker: &Worker,
        request: &PlacementRequest,
        now: Millis,
    ) -> Result<Option<u64>, NotFound> {
        if !request.accepts_label(worker) {
            return Ok(None);
        }
        let suspect = worker.current.health.is_suspect(now);
        if !request.is_within_limits(worker, now) || (suspect && request.last_attempt) {
            return Err(NotFound::OwnLimits);
        }
        let shares_suspect = request.crashes > 0 && worker.suspects > 0;
        let extra =
            u64::from(suspect) * SUSPECT_COST + u64::from(shares_suspect) * SHARED_SUSPECT_COST;
        Ok(self.cost(worker, request).map(|cost| cost + extra))
    }
}

/// Why a search for a worker has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotFound {
    /// No worker has room; a task that requests at least as much finds none either.
    NoRoom,
    /// A worker has room, but the bound per worker, the advice or the failures of the task exclude
    /// it. That says nothing about other tasks.
    OwnLimits,
}

/// Requirements of one task for its worker.
pub(super) struct PlacementRequest<'a> {
    pub step: &'a StepSpec,
    pub service: &'a str,
    /// Impact of the task on serving tasks.
    pub impact: &'a Arc<ImageImpact>,
    /// Number of tasks of the step on each worker, if that number is limited.
    pub tasks_per_worker: &'a HashMap<WorkerId, u32>,
    /// One more failure fails the job.
    pub last_attempt: bool,
    /// The job has waited for too long although capacity is free, so its impact is limited by the
    /// pace alone.
    pub overdue: bool,
    /// Advice on the allowed workers, if the queue's policy does not allow all.
    pub advice: Option<&'a Advice>,
    /// Workers in a row that crashed under the task.
    pub crashes: u32,
}

impl PlacementRequest<'_> {
    /// Returns whether tasks of this service and label may run on a worker, apart from its free
    /// resources.
    pub fn is_eligible(&self, worker: &Worker, now: Millis) -> bool {
        worker.takes_runs(now) && worker.belongs_to(self.service) && self.accepts_label(worker)
    }

    /// Returns whether the worker has the label that the step requires.
    pub fn accepts_label(&self, worker: &Worker) -> bool {
        let label = self.step.requires.as_ref();
        label.is_none_or(|label| worker.has_label(label))
    }

    /// Returns whether the limits of this task alone admit a worker.
    pub fn is_within_limits(&self, worker: &Worker, now: Millis) -> bool {
        let advised = self
            .advice
            .is_none_or(|advice| advice.ticket(worker, now).is_some());
        advised && self.is_below_worker_limit(worker)
    }

    /// Returns whether the worker can take one more task of the step.
    fn is_below_worker_limit(&self, worker: &Worker) -> bool {
        self.step
            .max_per_worker
            .is_none_or(|most| self.tasks_per_worker.get(&worker.id).copied().unwrap_or(0) < most)
    }
}

/// Returns the cost of running the task on a worker; lower is better. Tasks with reserved CPU are
/// packed, serving tasks are grouped by image, and best-effort tasks go where CPU is idle and their
/// impact is lowest.
fn cost(worker: &Worker, request: &PlacementRequest, model: &Interference) -> Option<u64> {
    let step = request.step;
    let rack_cost = match (&step.rack, worker.rack()) {
        (Some(rack), Some(own)) if rack != own => OTHER_RACK_COST,
        _ => 0,
    };
    if step.best_effort {
        let idle = worker.idle_cpu();
        if idle < step.need.cpu.0
            || (worker.current.over_target_since.is_some() && !request.overdue)
        {
            return None;
        }
        if worker.serving_runs == 0 {
            return Some(rack_cost + NO_IDLE_CPU_COST.saturating_sub(idle));
        }
        let (margin, loss) = Scheduler::headroom(worker, step, request.impact);
        if margin < 0.0 && !request.overdue {
            return None;
        }
        let impact = (loss * SLACK_LOSS_COST) as u64;
        return Some(rack_cost + NO_IDLE_CPU_COST.saturating_sub(idle) / 2 + impact);
    }
    let left = worker.free().cpu.0.saturating_sub(step.need.cpu.0);
    if step.is_serving() {
        let serving = || worker.runs.values().filter(|run| run.target.is_some());
        let others: f64 = serving()
            .map(|run| model.difference(&run.image, &step.image))
            .sum();
        let same = serving().any(|run| run.image == step.image);
        return Some(
            rack_cost
                + (others * OTHER_IMAGE_COST) as u64
                + left
                + u64::from(!same) * NEW_IMAGE_COST
                + worker.best_effort_cpu.0,
        );
    }
    Some(rack_cost + left + worker.best_effort_cpu.0 / 2)
}
