//! Picks the worker for one task.

use std::collections::HashMap;

use super::advice::Advice;
use super::interference::{Interference, Noise};
use super::{Scheduler, StepSpec, Worker};
use crate::prelude::*;

/// Cost of a worker on another rack than the data, in millicores left unused: such a task takes
/// several times as long.
const AWAY_COST: u64 = 200_000;

/// Cost of a worker without idle processors, in millicores; more than any worker has.
const BUSY_COST: u64 = 200_000;

/// Cost of the slack that a serving task loses; one unit is the span from its target to half of it.
const LOSS_COST: f64 = 40_000.0;

/// Cost of a serving task on the same worker that other images disturb: together they bear fewer
/// tasks that fill.
const OTHER_IMAGE_COST: f64 = 40_000.0;

/// Cost of a worker without a serving task of the same image.
const NEW_IMAGE_COST: u64 = 20_000;

/// Cost of a worker whose last run failed.
const SUSPECT_COST: u64 = 24_000;

impl Scheduler {
    /// Picks the best worker that has room for one task of a step.
    pub(super) fn choose(&self, ask: &Ask, now: Millis) -> Option<WorkerId> {
        let room = ask.step.reservation();
        let mut best: Option<(u64, &Worker)> = None;
        for worker in self.workers.values() {
            if !room.fits(&worker.free()) || !ask.allows(worker, now) {
                continue;
            }
            let suspect = worker.blame.is_suspect(now);
            if suspect && ask.last_chance {
                continue;
            }
            let Some(cost) = cost(worker, ask, &self.interference) else {
                continue;
            };
            let cost = cost + u64::from(suspect) * SUSPECT_COST;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, worker)| worker.id.clone())
    }
}

/// What one task asks of a worker.
pub(super) struct Ask<'a> {
    pub step: &'a StepSpec,
    pub service: &'a str,
    /// How far the task disturbs tasks that serve.
    pub noise: &'a Noise,
    /// Tasks of the step on each worker, if that number is bounded.
    pub chosen: &'a HashMap<WorkerId, u32>,
    /// One more failure fails the job.
    pub last_chance: bool,
    /// The job has waited for too long while there is room: disturbance is left to the pace.
    pub overdue: bool,
    /// Workers that the queue's policy allows, if it does not allow all.
    pub advice: Option<&'a Advice>,
}

impl Ask<'_> {
    /// Tells whether a worker may be given the task at all, besides its room.
    pub fn allows(&self, worker: &Worker, now: Millis) -> bool {
        if !worker.fenced || worker.misses > 0 || worker.blame.is_resting(now) {
            return false;
        }
        let open = worker.entry.as_ref().is_some_and(|entry| {
            !entry.draining
                && entry.incarnation == worker.incarnation
                && entry.service == self.service
        });
        let allowed = self
            .advice
            .is_none_or(|advice| advice.ticket(worker, now).is_some());
        let labelled = self
            .step
            .requires
            .as_ref()
            .is_none_or(|label| worker.has_label(label));
        open && labelled && allowed && self.is_within(worker)
    }

    /// Tells whether one more task keeps the bound on tasks of a step on one worker.
    fn is_within(&self, worker: &Worker) -> bool {
        self.step
            .max_per_worker
            .is_none_or(|most| self.chosen.get(&worker.id).copied().unwrap_or(0) < most)
    }

    /// Tells whether nothing but its size keeps the task from a worker.
    pub fn is_general(&self) -> bool {
        self.step.requires.is_none()
            && self.step.max_per_worker.is_none()
            && self.advice.is_none()
            && !self.last_chance
    }
}

/// Lower is better. Work with reserved processors is packed, tasks that serve gather by image, and
/// tasks that fill go where they use idle processors and disturb least.
fn cost(worker: &Worker, ask: &Ask, model: &Interference) -> Option<u64> {
    let step = ask.step;
    let away = match (&step.rack, worker.rack()) {
        (Some(rack), Some(own)) if rack != own => AWAY_COST,
        _ => 0,
    };
    if step.best_effort {
        let idle = worker.idle();
        if idle < step.need.cpu.0 || (worker.over_since.is_some() && !ask.overdue) {
            return None;
        }
        if worker.serving == 0 {
            return Some(away + BUSY_COST.saturating_sub(idle));
        }
        let (spare, loss) = Scheduler::headroom(worker, step, ask.noise);
        if spare < 0.0 && !ask.overdue {
            return None;
        }
        let noise = (loss * LOSS_COST) as u64;
        return Some(away + BUSY_COST.saturating_sub(idle) / 2 + noise);
    }
    let left = worker.free().cpu.0.saturating_sub(step.need.cpu.0);
    if step.is_serving() {
        let serving = || worker.runs.values().filter(|run| run.target.is_some());
        let others: f64 = serving()
            .map(|run| model.difference(&run.image, &step.image))
            .sum();
        let same = serving().any(|run| run.image == step.image);
        return Some(
            away + (others * OTHER_IMAGE_COST) as u64
                + left
                + u64::from(!same) * NEW_IMAGE_COST
                + worker.filling.0,
        );
    }
    Some(away + left + worker.filling.0 / 2)
}
