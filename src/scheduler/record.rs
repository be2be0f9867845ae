//! Durable state of a job, written before a run starts and before a completion is acknowledged.

use super::{Crashes, Phase};
use crate::prelude::*;

/// State of a job that the store keeps besides its specification.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// Phase of the job.
    pub phase: Phase,
    /// Time of day at which the job ended.
    pub ended: Timestamp,
    /// Tasks ordered by occurrence, step and index; empty once the job has ended.
    pub tasks: Vec<TaskRecord>,
}

/// The same record with borrowed tasks, for encoding.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename = "JobRecord")]
pub(super) struct JobRecordRef<'a> {
    pub phase: Phase,
    pub ended: Timestamp,
    pub tasks: Vec<&'a TaskRecord>,
}

/// State of a task that the store keeps.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TaskRecord {
    /// Number of the last run.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether a run has completed the task.
    pub done: bool,
    /// Worker that may still have the last run.
    pub place: Option<Placement>,
    /// Checkpoint from which the next run resumes; empty if there is none.
    pub checkpoint: String,
    /// Workers in a row that crashed under the task. The last field, since a record without crashes
    /// ends before it.
    #[serde(default, skip_serializing_if = "Crashes::is_empty")]
    pub crashes: Crashes,
}

/// The incarnation of a worker that a run is placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Placement {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Start time of the worker process, which identifies its incarnation under the id.
    #[serde(rename = "born")]
    pub incarnation: u64,
}
