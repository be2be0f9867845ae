//! An attempt in a worker's ledger: its state, its resources and the commands still due.

use crate::prelude::*;
use crate::schema::batch::{AttemptEnd, AttemptState, EndKind, StartAttempt};
use crate::schema::worker::{StartTask, TaskPhase, TaskReport};

use super::interference::Kind;
use super::lease::TASK_LEASE;

/// State of an attempt as the rack owner knows it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// Capacity is reserved until the deadline. No start may be sent yet.
    Held { until: Millis },
    /// The start command is due, or its response is missing.
    Starting,
    /// The agent reports the attempt as running.
    Running,
    /// The stop command is due, or the agent has not confirmed it.
    Stopping { save: bool, sent: bool },
    /// The attempt does not run and cannot start again.
    Ended(AttemptEnd),
}

/// An attempt on a worker, with its reserved resources and retry times.
#[derive(Clone, Debug)]
pub(super) struct AttemptEntry {
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) kind: Kind,
    pub(super) phase: Phase,
    pub(super) start: Option<StartAttempt>,
    /// Processor time that the attempt uses: the reported use, or the declared size before that.
    pub(super) load: Millicores,
    /// Time at which the state is next reported to the job owner.
    pub(super) report_at: Option<Millis>,
    /// Earliest time of the next start or stop command.
    pub(super) retry_at: Millis,
    /// Expected end: the time of the last start command plus the declared run time.
    pub(super) finish_due: Millis,
    /// Time of the last throttle, if the attempt is throttled.
    pub(super) throttled: Option<Millis>,
}

impl AttemptEntry {
    /// Creates an entry whose load is its declared processor time.
    pub(super) fn new(attempt: Attempt, resources: Resources, kind: Kind, phase: Phase) -> Self {
        Self {
            attempt,
            resources,
            kind,
            phase,
            start: None,
            load: resources.cpu,
            report_at: None,
            retry_at: Millis::ZERO,
            finish_due: Millis::ZERO,
            throttled: None,
        }
    }

    /// Returns whether the entry counts against the worker's capacity.
    pub(super) fn holds_capacity(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }

    /// Returns whether the agent may run the attempt, so that its lease must be renewed.
    pub(super) fn needs_lease(&self) -> bool {
        matches!(
            self.phase,
            Phase::Starting | Phase::Running | Phase::Stopping { .. }
        )
    }

    /// Returns the state that is reported to the job owner.
    pub(super) fn state(&self) -> AttemptState {
        match &self.phase {
            Phase::Held { .. } | Phase::Starting | Phase::Stopping { .. } => AttemptState::Waiting,
            Phase::Running => AttemptState::Running,
            Phase::Ended(end) => AttemptState::Ended(end.clone()),
        }
    }

    /// Builds the start command, or returns `None` if no start was requested.
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

/// Returns how an attempt ended according to its report, or `None` if it still runs.
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

/// Returns the phase of an attempt that ended without a checkpoint.
pub(super) fn ended(kind: EndKind) -> Phase {
    Phase::Ended(AttemptEnd {
        kind,
        checkpoint: None,
        suspect: false,
    })
}
