//! Typed records in the key-value service. Each write carries a writer token, so the outcome of a
//! write whose response was lost can be found by reading the record.

mod keys;
mod tokens;
mod typed;

pub use keys::{AUDIT_OPEN, CURRENT, audit_segment, history, proposal, proposals_of};
pub use tokens::WriterTokens;
pub use typed::{Records, StoredRecord, TypedRecord, WriteOutcome};
