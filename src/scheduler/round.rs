//! What one round of planning has found out so far.

use std::collections::HashMap;

use super::{Job, StepSpec};
use crate::prelude::*;

/// A step that found no worker; a step that requests at least as much finds none either.
struct UnplaceableStep {
    service: String,
    best_effort: bool,
    image: String,
    need: Resources,
}

/// Findings of one round. They stay valid until the round ends, because free resources only shrink
/// within a round.
#[derive(Default)]
pub(super) struct Round {
    unplaceable: Vec<UnplaceableStep>,
    /// Reservations, each with its priority, for which no worker could be preempted.
    not_preemptible: Vec<(u32, Resources)>,
    /// Resources being freed on each worker that waiting tasks have claimed.
    pub claims: HashMap<WorkerId, Resources>,
    /// Number of preemption searches so far.
    pub searches: usize,
    /// Number of searches for a worker without a result.
    pub failed_searches: usize,
    /// Jobs that have waited since before this time with nothing running go first; `None` if
    /// capacity is scarce.
    pub overdue_before: Option<Millis>,
}

impl Round {
    /// Returns whether a job has waited for too long with nothing running.
    pub fn is_overdue(&self, job: &Job) -> bool {
        match (self.overdue_before, job.idle_since) {
            (Some(before), Some(since)) => since < before,
            _ => false,
        }
    }

    /// Returns whether a search for a worker for this step is certain to fail.
    pub fn is_known_to_fail(&self, step: &StepSpec, service: &str) -> bool {
        self.unplaceable.iter().any(|failed| {
            failed.best_effort == step.best_effort
                && failed.need.fits(&step.need)
                && failed.service == service
                && (!step.best_effort || failed.image == step.image)
        })
    }

    /// Records that a step found no worker. Only an unconstrained failure says something about
    /// other steps.
    pub fn record_failed_search(&mut self, step: &StepSpec, service: &str, is_unconstrained: bool) {
        self.failed_searches += 1;
        if is_unconstrained {
            self.unplaceable.push(UnplaceableStep {
                service: service.to_string(),
                best_effort: step.best_effort,
                image: step.image.clone(),
                need: step.need,
            });
        }
    }

    /// Returns whether no worker can be preempted for this reservation or a smaller one.
    pub fn is_not_preemptible(&self, priority: u32, reservation: &Resources) -> bool {
        self.not_preemptible
            .iter()
            .any(|(known, least)| *known <= priority && least.fits(reservation))
    }

    /// Records that no worker can be preempted for this reservation.
    pub fn record_not_preemptible(&mut self, priority: u32, reservation: Resources) {
        self.not_preemptible.push((priority, reservation));
    }
}
