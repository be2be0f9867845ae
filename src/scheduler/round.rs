//! What one round of planning has found out so far.

use std::collections::{HashMap, HashSet};

use super::preempt::Yield;
use super::search_budget::{SearchBudget, Turn};
use super::selection::PlacementRequest;
use super::{Job, StepSpec};
use crate::prelude::*;

/// Maximum number of failed searches in one round. A round over a long queue would keep a small
/// machine from renewing its lease.
const MAX_FAILED_SEARCHES: usize = 30;

/// Further failed searches from where the last round was cut short.
const MAX_RESUMED_SEARCHES: usize = 8;

/// Maximum number of preemption searches in one round: each looks at the runs of all workers, and a
/// round has to stay short on a small machine.
const MAX_PREEMPTIONS: usize = 8;

/// Further preemption searches from where the last round was cut short.
const MAX_RESUMED_PREEMPTIONS: usize = 2;

/// Steps that find no worker, as one of them has found none.
struct UnplaceableSteps {
    service: String,
    /// Label that the workers of the failed search had to have.
    requires: Option<String>,
    best_effort: bool,
    image: String,
    overdue: bool,
    need: Resources,
    /// Number of tasks that have to fit together.
    together: usize,
}

/// Reservations for which no worker can be preempted.
struct NotPreemptible {
    service: String,
    requires: Option<String>,
    priority: u32,
    reservation: Resources,
}

/// Number of findings at one moment of a round.
#[derive(Clone, Copy)]
pub(super) struct Mark {
    unplaceable: usize,
    not_preemptible: usize,
}

/// Findings of one round. They stay valid until the round ends, because free resources only shrink
/// within a round, unless a gang gives its part back.
pub(super) struct Round {
    unplaceable: Vec<UnplaceableSteps>,
    not_preemptible: Vec<NotPreemptible>,
    /// Resources that runs can give to more urgent tasks, by the priority of those.
    pub yields: HashMap<u32, Vec<Yield>>,
    /// Resources being freed on each worker that waiting tasks have claimed.
    pub claims: HashMap<WorkerId, Resources>,
    /// Searches for a worker without a result.
    pub failed_searches: SearchBudget,
    /// Searches for runs to preempt.
    pub preemptions: SearchBudget,
    /// A wait that began before this time is too long.
    pub long_before: Option<Millis>,
    /// Services with spare capacity: their jobs go first after too long a wait with nothing
    /// running.
    pub spare_services: HashSet<String>,
}

/// Where the next round resumes the searches that the last one did not come to.
#[derive(Debug, Default)]
pub(super) struct Resume {
    placement: Option<Turn>,
    preemption: Option<Turn>,
}

impl Round {
    /// Creates a round that resumes where the last one was cut short.
    pub fn new(resume: Resume) -> Self {
        Self {
            unplaceable: Vec::new(),
            not_preemptible: Vec::new(),
            yields: HashMap::new(),
            claims: HashMap::new(),
            failed_searches: SearchBudget::new(
                MAX_FAILED_SEARCHES,
                MAX_RESUMED_SEARCHES,
                resume.placement,
            ),
            preemptions: SearchBudget::new(
                MAX_PREEMPTIONS,
                MAX_RESUMED_PREEMPTIONS,
                resume.preemption,
            ),
            long_before: None,
            spare_services: HashSet::new(),
        }
    }

    /// Ends the round; returns where the next one has to resume.
    pub fn finish(self) -> Resume {
        Resume {
            placement: self.failed_searches.into_resume(),
            preemption: self.preemptions.into_resume(),
        }
    }

    /// Returns whether a job has waited for too long with nothing running although its service has
    /// spare capacity.
    pub fn is_overdue(&self, job: &Job, service: &str) -> bool {
        let waits_too_long = match (self.long_before, job.idle_since) {
            (Some(before), Some(since)) => since < before,
            _ => false,
        };
        waits_too_long && self.spare_services.contains(service)
    }

    /// Returns whether a search for a worker is certain to fail.
    pub fn is_known_to_fail(&self, request: &PlacementRequest) -> bool {
        let step = request.step;
        let together = tasks_together(step);
        self.unplaceable.iter().any(|failed| {
            let same_cost = !step.best_effort
                || (failed.image == step.image && (failed.overdue || !request.overdue));
            failed.best_effort == step.best_effort
                && same_cost
                && failed.need.fits(&step.need)
                && failed.together <= together
                && failed.service == request.service
                && is_covered(&failed.requires, step)
        })
    }

    /// Records that the workers have no room for `together` tasks of a step.
    pub fn record_unplaceable(
        &mut self,
        step: &StepSpec,
        service: &str,
        overdue: bool,
        together: usize,
    ) {
        self.unplaceable.push(UnplaceableSteps {
            service: service.to_string(),
            requires: step.requires.clone(),
            best_effort: step.best_effort,
            image: step.image.clone(),
            overdue,
            need: step.need,
            together,
        });
    }

    /// Returns whether no worker can be preempted for this request or one for less.
    pub fn is_not_preemptible(&self, priority: u32, request: &PlacementRequest) -> bool {
        let reservation = request.step.reservation();
        self.not_preemptible.iter().any(|known| {
            known.priority <= priority
                && known.reservation.fits(&reservation)
                && known.service == request.service
                && is_covered(&known.requires, request.step)
        })
    }

    /// Records that no worker can be preempted for this request.
    pub fn record_not_preemptible(&mut self, priority: u32, request: &PlacementRequest) {
        self.not_preemptible.push(NotPreemptible {
            service: request.service.to_string(),
            requires: request.step.requires.clone(),
            priority,
            reservation: request.step.reservation(),
        });
    }

    /// Returns the current number of findings.
    pub fn mark(&self) -> Mark {
        Mark {
            unplaceable: self.unplaceable.len(),
            not_preemptible: self.not_preemptible.len(),
        }
    }

    /// Drops the findings since `mark`; returns whether a step was found to have no worker.
    pub fn forget_since(&mut self, mark: Mark) -> bool {
        let found = self.unplaceable.len() > mark.unplaceable;
        self.unplaceable.truncate(mark.unplaceable);
        self.not_preemptible.truncate(mark.not_preemptible);
        found
    }
}

/// Returns the number of tasks of a step that have to be placed in one round.
fn tasks_together(step: &StepSpec) -> usize {
    if step.gang { step.tasks as usize } else { 1 }
}

/// Returns whether a search among workers with label `requires` has covered all workers that a step
/// may use.
fn is_covered(requires: &Option<String>, step: &StepSpec) -> bool {
    requires.is_none() || *requires == step.requires
}
