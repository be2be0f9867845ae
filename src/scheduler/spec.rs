//! A batch job as its caller submitted it.

use std::fmt;

use crate::prelude::*;

/// A job with the terms of its queue at the time of its acceptance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Queue that accepted the job.
    pub queue: String,
    /// Time of day of the acceptance.
    pub submitted: Timestamp,
    /// Text that is handed to every task.
    pub payload: String,
    /// Steps in the order of their numbers.
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

/// A step: equal tasks that may run once all earlier steps in `after` are done.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task reserves.
    pub need: Resources,
    /// Rough duration of a task.
    pub estimate: Millis,
    /// Steps that must be done before this one.
    pub after: Vec<u32>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks work only while all of one run are present.
    pub gang: bool,
    /// The tasks are slower when spread over several racks.
    pub rack_local: bool,
    /// Label that the worker must have.
    pub requires: Option<String>,
    /// Rack that holds the data.
    pub rack: Option<String>,
    /// Most tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Copies may run in parallel.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Names what the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound of the tail latency of a task that serves its own users.
    pub tail_target: Option<Millis>,
    /// The tasks use only processor time that others leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks that orders of the scheduler may take away at the same time.
    pub allow_miss: Option<u32>,
}

impl StepSpec {
    /// Returns what a task takes from the capacity of its worker.
    pub fn reservation(&self) -> Resources {
        let mut room = self.need;
        if self.best_effort {
            room.cpu = Millicores(0);
        }
        room
    }

    /// Tells whether the tasks serve users whose latency is bounded.
    pub fn is_serving(&self) -> bool {
        self.tail_target.is_some()
    }
}

impl JobSpec {
    /// Number of occurrences; a job without a schedule has one.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// Longest chain of estimated work through the steps.
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

    /// Tells whether every step refers only to earlier steps and has a task.
    pub fn is_valid(&self) -> bool {
        !self.steps.is_empty()
            && self.steps.iter().enumerate().all(|(i, step)| {
                step.tasks > 0 && step.after.iter().all(|&before| (before as usize) < i)
            })
    }
}

/// One task of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of a scheduled job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task within the step, from 0.
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
