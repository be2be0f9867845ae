//! Order in which waiting jobs are placed.
//!
//! Load pattern: more work arrives than the fleet can do, so jobs wait for a multiple of their
//! length. Jobs that have come furthest go first, whatever their size: a fleet that begins every
//! job and ends few of them is late with all, and an order by size starves the largest ones.
//! Long-running tasks go before the finite jobs of their priority: behind them they do not return
//! for tens of seconds after a failure, because each freed place goes to a finite task. Long-running
//! tasks that have been away for too long after a run go before all others.

use crate::prelude::*;

/// A job has no value left once this multiple of its objective has passed.
const WORTHLESS_FACTOR: u64 = 3;

/// What the order of a waiting job depends on.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob {
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// The job has tasks that run until it is cancelled.
    pub long_running: bool,
    /// The job has waited for too long although capacity is free.
    pub overdue: bool,
    pub objective_at: Millis,
    /// Time from the acceptance of the job to `objective_at`.
    pub objective_span: Millis,
    /// Estimated work of all tasks, in core-seconds.
    pub work: f64,
    /// Estimated work that is left, in core-seconds.
    pub work_left: f64,
}

/// Group of waiting jobs of one priority, in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group {
    /// Long-running tasks that have been away for too long after a run.
    Returning,
    /// The tasks run until the job is cancelled.
    LongRunning,
    /// A result still has value, in time or late.
    Finite,
    /// A result has no value any more.
    Worthless,
}

/// Place of a job in the order; the lowest goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Priority of the queue; `None` for overdue jobs and returning tasks, which go before all
    /// others.
    pub priority: Option<u32>,
    pub group: Group,
    /// Share of the job's work that is left, in thousandths.
    pub left_permille: u64,
    /// Objective of the job, or the time since when a returning task has been away.
    pub objective_at: Millis,
}

impl Rank {
    /// Returns the place of the tasks of a job that have been away for too long.
    pub fn returning(away_since: Millis) -> Self {
        Self {
            priority: None,
            group: Group::Returning,
            left_permille: 0,
            objective_at: away_since,
        }
    }
}

/// Returns the place of a waiting job in the order.
pub(super) fn rank(job: &WaitingJob, now: Millis) -> Rank {
    let (priority, group, left_permille) = if job.overdue {
        (None, Group::LongRunning, 0)
    } else if job.long_running {
        (Some(job.priority), Group::LongRunning, 0)
    } else if now > worthless_at(job) {
        (Some(job.priority), Group::Worthless, left_permille(job))
    } else {
        (Some(job.priority), Group::Finite, left_permille(job))
    };
    Rank {
        priority,
        group,
        left_permille,
        objective_at: job.objective_at,
    }
}

fn worthless_at(job: &WaitingJob) -> Millis {
    let value_lasts = (WORTHLESS_FACTOR - 1) * 1000;
    job.objective_at + job.objective_span.scale_permille(value_lasts)
}

fn left_permille(job: &WaitingJob) -> u64 {
    if job.work > 0.0 {
        (job.work_left * 1000.0 / job.work) as u64
    } else {
        0
    }
}
