//! What a worker reports about its runs.

use super::TaskKey;
use crate::prelude::*;

/// Lists of one worker at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Start of the worker's life.
    pub incarnation: u64,
    /// The worker's clock.
    pub clock: Millis,
    /// Runs that are present.
    pub running: Vec<RunStatus>,
    /// Ends that are not yet acknowledged, in order.
    pub ended: Vec<RunCompletion>,
}

/// A run that is present on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress, or readiness of a task that lasts.
    pub percent: u32,
    /// Tail latency in milliseconds of a task that serves, else millicores in use.
    pub gauge: u64,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCompletion {
    /// Number of the end in this life of the worker.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Checkpoint that it left; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The work is complete.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// By an order, a lapsed lease, or the loss of the other members of its gang.
    Interrupted,
}
