//! Keys of the daemon's own items in the store.

use crate::prelude::*;

/// Key that the leader holds; its revision is the fencing token.
pub(super) const LEADER: &str = "sapphirecroft/leader";

/// Key of what successors need to know of the terms of leaders. It does not begin with `LEADER`, which
/// all processes watch as a prefix.
pub(super) const TERMS: &str = "sapphirecroft/terms";

/// Key of the leader's estimates of interference between tasks.
pub(super) const INTERFERENCE: &str = "sapphirecroft/learned";

/// Prefix of accepted requests: jobs and cancellations.
pub(super) const INTAKE: &str = "sapphirecroft/in/";

/// Prefix of job records, which only the leader writes.
pub(super) const RECORDS: &str = "sapphirecroft/run/";

/// Suffix of the key of a cancellation.
const CANCEL: &str = ":cancel";

/// A parsed key under `INTAKE`.
pub(super) enum IntakeKey {
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

pub(super) fn parse_intake_key(key: &str) -> Option<IntakeKey> {
    let rest = key.strip_prefix(INTAKE)?;
    match rest.strip_suffix(CANCEL) {
        Some(id) => Some(IntakeKey::Cancel(id.parse().ok()?)),
        None => Some(IntakeKey::Job(rest.parse().ok()?)),
    }
}

pub(super) fn record_id(key: &str) -> Option<JobId> {
    key.strip_prefix(RECORDS)?.parse().ok()
}
