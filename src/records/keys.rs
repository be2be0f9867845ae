//! Keys of the records in the key-value service.

use crate::prelude::*;

/// Key of the record with the bundle in force and the key ring.
pub const CURRENT: &str = "bundle/current";

/// Key of the segment of the audit trail that entries are appended to.
pub const AUDIT_OPEN: &str = "audit/open";

/// Returns the key of a full, sealed segment of the audit trail.
pub fn audit_segment(number: u64) -> String {
    format!("audit/segment/{number:012}")
}

/// Returns the key under which a bundle version is archived before its successor replaces it.
pub fn history(version: Version) -> String {
    format!("bundle/version/{:012}", version.get())
}

/// Returns the key of a proposal; `version` is the version that the proposal would become.
pub fn proposal(version: Version, id: &ProposalId) -> String {
    format!("{}{id}", proposals_of(version))
}

/// Returns the common prefix of the keys of all proposals for a version.
pub fn proposals_of(version: Version) -> String {
    format!("bundle/proposal/{:012}/", version.get())
}
