//! The durable state of a job; it is written before a start and before an end is acknowledged.

use super::Phase;
use crate::prelude::*;

/// What the store keeps of a job besides its specification.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// Where the job stands.
    pub phase: Phase,
    /// Time of day at which the job ended.
    pub ended: Timestamp,
    /// Tasks by occurrence and step, one after the other; empty once the job has ended.
    pub tasks: Vec<TaskRecord>,
}

/// What the store keeps of a task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TaskRecord {
    /// Number of the last run.
    pub run: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// A run has ended as done.
    pub done: bool,
    /// Where the last run may be.
    pub place: Option<Placement>,
    /// Checkpoint from which the next run resumes; empty if there is none.
    pub checkpoint: String,
}

/// One life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Start of its life, which tells it from a later one under the same id.
    #[serde(rename = "born")]
    pub incarnation: u64,
}
