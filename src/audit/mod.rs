//! The audit trail: every change, chained by SHA-256 so that a gap or an edit shows.

mod chain;
mod trail;

pub use chain::{KEPT_SEGMENTS, SEGMENT_ENTRIES};
pub use trail::{AuditDraft, AuditTrail};
