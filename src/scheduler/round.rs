//! What one round of planning has found out so far.

use std::collections::HashMap;

use super::{Job, StepSpec};
use crate::prelude::*;

/// A step that found no worker; a step that asks for as much or more finds none either.
struct Miss {
    service: String,
    best_effort: bool,
    image: String,
    need: Resources,
}

/// Findings of one round, which hold until it ends: within a round, room only shrinks.
#[derive(Default)]
pub(super) struct Round {
    misses: Vec<Miss>,
    /// Steps for which no worker could be vacated, with their priority.
    fixed: Vec<(u32, Resources)>,
    /// Room that is being made, as far as waiting tasks have taken it.
    pub claims: HashMap<WorkerId, Resources>,
    /// Workers searched for room that could be made.
    pub searches: usize,
    /// Searches for a worker without a result.
    pub failed: usize,
    /// Jobs that have waited since before this time with nothing running go first, if there is
    /// room to spare.
    pub overdue_before: Option<Millis>,
}

impl Round {
    /// Tells whether a job has waited for too long with nothing running.
    pub fn is_overdue(&self, job: &Job) -> bool {
        match (self.overdue_before, job.idle_since) {
            (Some(before), Some(since)) => since < before,
            _ => false,
        }
    }

    /// Tells whether a search for a worker for this step would be in vain.
    pub fn is_hopeless(&self, step: &StepSpec, service: &str) -> bool {
        self.misses.iter().any(|miss| {
            miss.best_effort == step.best_effort
                && miss.need.fits(&step.need)
                && miss.service == service
                && (!step.best_effort || miss.image == step.image)
        })
    }

    /// Notes that a step found no worker.
    pub fn missed(&mut self, step: &StepSpec, service: &str, is_general: bool) {
        self.failed += 1;
        if is_general {
            self.misses.push(Miss {
                service: service.to_string(),
                best_effort: step.best_effort,
                image: step.image.clone(),
                need: step.need,
            });
        }
    }

    /// Tells whether no worker can be vacated for as much room.
    pub fn is_fixed(&self, priority: u32, room: &Resources) -> bool {
        self.fixed
            .iter()
            .any(|(known, least)| *known <= priority && least.fits(room))
    }

    /// Notes that no worker can be vacated for this room.
    pub fn fix(&mut self, priority: u32, room: Resources) {
        self.fixed.push((priority, room));
    }
}
