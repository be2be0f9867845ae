//! Specification of a batch job as its caller submitted it.

use std::fmt;

use super::Queue;
use crate::model::bounded_vec;
use crate::prelude::*;

/// Most steps of a job, so that one body cannot exhaust the memory of a small VM. A job has at least
/// one task for each.
pub const MAX_STEPS: usize = 20_000;

/// A job as its queue accepted it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Queue that accepted the job.
    pub queue: String,
    /// The queue as it was then; it holds if the configuration no longer has the queue.
    pub accepted_by: Option<Queue>,
    /// Time of day at which the queue accepted the job.
    pub submitted: Timestamp,
    /// Payload that every task receives.
    pub payload: String,
    /// Steps in the order of their numbers.
    #[serde(deserialize_with = "bounded_vec::<_, _, MAX_STEPS>")]
    pub steps: Vec<StepSpec>,
    /// Schedule of a job that runs several times.
    pub repeat: Option<Repeat>,
}

/// A schedule: occurrence `k` is due at `first + k * interval`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Time of day of the first occurrence.
    pub first: Timestamp,
    /// Time between two occurrences.
    pub interval: Millis,
}

/// A step: equal tasks that can run once all steps in `after` are done.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    pub need: Resources,
    /// Estimated duration of a task.
    pub estimate: Millis,
    /// Earlier steps that this step depends on.
    pub after: Vec<u32>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks form a gang: they work only while all of them run.
    pub gang: bool,
    /// The tasks are slower when spread over several racks.
    pub rack_local: bool,
    /// Label that the worker must have.
    pub requires: Option<String>,
    /// Rack that holds the data.
    pub rack: Option<String>,
    /// Maximum number of tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Target for the tail latency of a serving task.
    pub tail_target: Option<Millis>,
    /// The tasks are best-effort: they use only CPU that other tasks leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler may stop at the same time.
    pub allow_miss: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task reserves on its worker; a best-effort task reserves no
    /// CPU.
    pub fn reservation(&self) -> Resources {
        let mut reservation = self.need;
        if self.best_effort {
            reservation.cpu = Millicores(0);
        }
        reservation
    }

    /// Returns whether the tasks serve requests under a latency target.
    pub fn is_serving(&self) -> bool {
        self.tail_target.is_some()
    }
}

impl JobSpec {
    /// Returns the number of occurrences; a job without a schedule has one.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns the longest chain of estimated work through the steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends = vec![Millis::ZERO; self.steps.len()];
        for (i, step) in self.steps.iter().enumerate() {
            let begin = step
                .after
                .iter()
                .filter_map(|&before| ends.get(before as usize).copied())
                .max()
                .unwrap_or_default();
            ends[i] = begin + step.estimate;
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether every step has a task and depends only on earlier steps.
    pub fn is_valid(&self) -> bool {
        !self.steps.is_empty()
            && self.steps.iter().enumerate().all(|(i, step)| {
                step.tasks > 0 && step.after.iter().all(|&before| (before as usize) < i)
            })
    }
}

/// Key of one task of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of a scheduled job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}
