//! Writes of accepted requests to the store: jobs and cancellations.
//!
//! A job is written on condition that there is no cancellation of it, and the cancellation of an
//! unknown job on condition that there is no job. So of a submission and a cancellation that do not
//! know of each other exactly one takes effect, whoever writes them, how often, and how late.

use super::jobs::ChangeOutcome;
use super::keys::{IntakeKey, cancel_key, job_key, parse_intake_key};
use super::ports::{Item, Transaction};
use crate::prelude::*;

/// Value of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct CancelMark {
    /// Time at which the caller asked for it.
    pub requested: Timestamp,
}

impl CancelMark {
    /// Decodes the value of a cancellation; `None` for those of builds that stored no time.
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

/// What the store holds of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StoredIntake {
    /// Revision of the job; 0 if there is none.
    pub job: u64,
    /// There is a cancellation. Without a job, it keeps the job from being stored.
    pub is_cancelled: bool,
}

impl StoredIntake {
    /// Returns what a failed condition has shown of the only job that the transaction names.
    pub fn from_conflict(items: &[Item]) -> Self {
        let mut found = Self::default();
        for item in items {
            match parse_intake_key(&item.key) {
                Some(IntakeKey::Job(_)) => found.job = item.revision,
                Some(IntakeKey::Cancel(_)) => found.is_cancelled = true,
                None => {}
            }
        }
        found
    }

    /// Returns the outcome of a submission whose conditions failed. If the id is stored, it may be by
    /// an earlier write of the same submission whose answer was lost.
    pub fn submission_outcome(self) -> ChangeOutcome {
        match self.job {
            0 => ChangeOutcome::Withdrawn,
            _ => ChangeOutcome::Stored,
        }
    }

    /// Returns the outcome of a cancellation whose conditions failed, or `None` if it has to be
    /// written for the job as it is now.
    pub fn cancellation_outcome(self) -> Option<ChangeOutcome> {
        self.is_cancelled.then(|| cancelled(self.job))
    }
}

/// Returns the outcome of a cancellation that is stored, for a job of this revision.
pub(super) fn cancelled(job: u64) -> ChangeOutcome {
    match job {
        0 => ChangeOutcome::NoJob,
        _ => ChangeOutcome::Stored,
    }
}

/// Returns the write of a job. It fails if the job or a cancellation of it is stored.
pub(super) fn submission(id: &JobId, value: Vec<u8>) -> Transaction {
    Transaction {
        expected: vec![(job_key(id), 0), (cancel_key(id), 0)],
        writes: vec![(job_key(id), value, 0)],
        removes: Vec::new(),
    }
}

/// Returns the write of a cancellation of a job that has this revision, or of one that is not
/// stored if it is 0. It fails if that is not so, or if the job is already cancelled.
pub(super) fn cancellation(id: &JobId, job: u64, mark: Vec<u8>) -> Transaction {
    Transaction {
        expected: vec![(job_key(id), job), (cancel_key(id), 0)],
        writes: vec![(cancel_key(id), mark, 0)],
        removes: Vec::new(),
    }
}

/// Returns the removal of cancellations without jobs, which fails if one of the jobs is stored or
/// `leader` no longer holds the leader key.
pub(super) fn removal_of_marks(leader: (String, u64), ids: &[JobId]) -> Transaction {
    let jobs = ids.iter().map(|id| (job_key(id), 0));
    Transaction {
        expected: [leader].into_iter().chain(jobs).collect(),
        writes: Vec::new(),
        removes: ids.iter().map(cancel_key).collect(),
    }
}
