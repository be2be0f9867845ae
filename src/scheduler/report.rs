//! Reports of workers about their runs.

use super::TaskKey;
use crate::prelude::*;

/// Runs and completions of one worker at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Reading of the worker's clock.
    pub clock: Millis,
    /// Runs that are present on the worker.
    pub running: Vec<RunStatus>,
    /// Completions that are not yet acknowledged, in order.
    pub ended: Vec<RunCompletion>,
}

/// Status of a run that is present on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; for a long-running task, its readiness.
    pub percent: u32,
    /// Tail latency of a serving task in milliseconds; CPU use of any other task in millicores.
    pub gauge: u64,
}

/// End of a run on a worker, whatever its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCompletion {
    /// Sequence number of the completion within this incarnation of the worker.
    pub sequence: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Checkpoint that the run left; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The work is complete.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was stopped, its lease expired, or its gang lost other members.
    Interrupted,
}
