//! The audit trail: a record of every change by an operator, hash-chained with SHA-256 so that
//! removed or edited entries are detected.

mod chain;
mod trail;

pub use chain::{KEPT_SEGMENTS, SEGMENT_ENTRIES};
pub use trail::{AuditDraft, AuditTrail};
