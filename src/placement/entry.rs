//! One attempt in the reservation book of a worker.

use crate::prelude::*;
use crate::schema::batch::{AttemptEnd, AttemptState, EndKind, StartAttempt};
use crate::schema::worker::{StartTask, TaskPhase, TaskReport};

use super::interference::Kind;
use super::lease::TASK_LEASE;

/// What the owner knows about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// Capacity is held; no start may be sent yet.
    Held { until: Millis },
    /// A start is to be sent, or its answer is missing.
    Starting,
    /// The agent reports the attempt as running.
    Running,
    /// A stop is to be sent, or the agent has not confirmed it.
    Stopping { save: bool, sent: bool },
    /// The attempt no longer runs and cannot start again.
    Ended(AttemptEnd),
}

/// One attempt on one worker.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) kind: Kind,
    pub(super) phase: Phase,
    pub(super) start: Option<StartAttempt>,
    /// Processors that the attempt uses, as declared or measured.
    pub(super) load: Millicores,
    pub(super) push_at: Option<Millis>,
    pub(super) retry_at: Millis,
    pub(super) finish_due: Millis,
    pub(super) throttled: Option<Millis>,
}

impl Entry {
    /// Creates the entry of a reservation.
    pub(super) fn new(attempt: Attempt, resources: Resources, kind: Kind, phase: Phase) -> Self {
        Self {
            attempt,
            resources,
            kind,
            phase,
            start: None,
            load: resources.cpu,
            push_at: None,
            retry_at: Millis::ZERO,
            finish_due: Millis::ZERO,
            throttled: None,
        }
    }

    /// Tells whether the entry counts against the worker's capacity.
    pub(super) fn holds_capacity(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }

    /// Tells whether the entry may exist at the agent and needs its lease renewed.
    pub(super) fn needs_lease(&self) -> bool {
        matches!(
            self.phase,
            Phase::Starting | Phase::Running | Phase::Stopping { .. }
        )
    }

    /// Returns the state as told to the job owner.
    pub(super) fn state(&self) -> AttemptState {
        match &self.phase {
            Phase::Held { .. } | Phase::Starting | Phase::Stopping { .. } => AttemptState::Waiting,
            Phase::Running => AttemptState::Running,
            Phase::Ended(end) => AttemptState::Ended(end.clone()),
        }
    }

    /// Builds the start command.
    pub(super) fn start_command(&self, epoch: Epoch, as_of: Millis) -> Option<StartTask> {
        let start = self.start.as_ref()?;
        Some(StartTask {
            epoch,
            task: start.task.clone(),
            attempt: start.attempt,
            resources: start.resources,
            lease: TASK_LEASE,
            kind: start.kind.clone(),
            can_checkpoint: start.can_checkpoint,
            run_time: start.run_time,
            resume_from: start.resume_from.clone(),
            as_of,
        })
    }
}

/// Returns how an attempt ended according to its report, or `None` if it holds capacity.
pub(super) fn end_of(report: &TaskReport) -> Option<AttemptEnd> {
    let kind = match report.phase {
        TaskPhase::Running | TaskPhase::Stopping => return None,
        TaskPhase::Stopped => EndKind::Stopped,
        TaskPhase::Finished => EndKind::Finished,
        TaskPhase::Failed => EndKind::Failed,
        TaskPhase::Lapsed => EndKind::Lapsed,
    };
    Some(AttemptEnd {
        kind,
        checkpoint: report.checkpoint.clone(),
        suspect: false,
    })
}

/// Builds an end without a checkpoint.
pub(super) fn ended(kind: EndKind) -> Phase {
    Phase::Ended(AttemptEnd {
        kind,
        checkpoint: None,
        suspect: false,
    })
}
