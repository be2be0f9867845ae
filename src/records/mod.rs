//! Typed records in the key-value service, written with writer tokens so that a lost answer can
//! be resolved by reading.

mod keys;
mod tokens;
mod written;

pub use keys::{AUDIT_OPEN, CURRENT, audit_segment, history, proposal, proposals_of};
pub use tokens::WriterTokens;
pub use written::{Held, Records, Stored, Written};
