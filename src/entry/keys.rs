//! Keys of the daemon's own items in the store.

use crate::prelude::*;

/// Key of the leader; its revision is the fencing token.
pub(super) const LEADER: &str = "sapphirecroft/leader";

/// Key of what the leader has learned of disturbance between tasks.
pub(super) const LEARNED: &str = "sapphirecroft/learned";

/// Prefix of what callers have asked for: jobs and cancellations.
pub(super) const INTAKE: &str = "sapphirecroft/in/";

/// Prefix of the records of jobs, which only the leader writes.
pub(super) const RECORDS: &str = "sapphirecroft/run/";

/// Ending of the key that cancels a job.
const CANCEL: &str = ":cancel";

/// What a key under `INTAKE` stands for.
pub(super) enum Intake {
    Job(JobId),
    Cancel(JobId),
}

pub(super) fn job_key(id: &JobId) -> String {
    format!("{INTAKE}{id}")
}

pub(super) fn cancel_key(id: &JobId) -> String {
    format!("{INTAKE}{id}{CANCEL}")
}

pub(super) fn record_key(id: &JobId) -> String {
    format!("{RECORDS}{id}")
}

pub(super) fn intake(key: &str) -> Option<Intake> {
    let rest = key.strip_prefix(INTAKE)?;
    match rest.strip_suffix(CANCEL) {
        Some(id) => Some(Intake::Cancel(id.parse().ok()?)),
        None => Some(Intake::Job(rest.parse().ok()?)),
    }
}

pub(super) fn record_id(key: &str) -> Option<JobId> {
    key.strip_prefix(RECORDS)?.parse().ok()
}
