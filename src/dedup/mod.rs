//! Deduplication of requests by idempotency key.
//!
//! Each key is recorded at two members, its home and its backup, before its request is sent.

mod coverage;
mod key_status;
mod limits;
mod table;
mod view;

pub use coverage::{Coverage, CoverageStatus};
pub use key_status::{BackupResult, Completion, RecordResult, Repeat};
pub use limits::KeyLimits;
pub use table::KeyTable;
pub use view::{KeyView, OwnershipView};
