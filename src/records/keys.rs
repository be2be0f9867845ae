//! Names of the records in the key-value service.

use crate::prelude::*;

/// The bundle in force together with the key ring.
pub const CURRENT: &str = "bundle/current";

/// The segment of the audit trail that still grows.
pub const AUDIT_OPEN: &str = "audit/open";

/// Returns the key of a full segment of the audit trail.
pub fn audit_segment(number: u64) -> String {
    format!("audit/segment/{number:012}")
}

/// Returns the key of a version that is no longer in force.
pub fn history(version: Version) -> String {
    format!("bundle/version/{:012}", version.get())
}

/// Returns the key of a proposal, which names the version that it becomes.
pub fn proposal(version: Version, id: &ProposalId) -> String {
    format!("{}{id}", proposals_of(version))
}

/// Returns the start of the keys of all proposals for a version.
pub fn proposals_of(version: Version) -> String {
    format!("bundle/proposal/{:012}/", version.get())
}
