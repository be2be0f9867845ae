//! Idempotency keys: which requests were recorded, with what result, and when a key is refused.

mod coverage;
mod key_state;
mod limits;
mod table;
mod view;

pub use coverage::{Coverage, CoverageStatus};
pub use key_state::{BackupResult, Completion, RecordResult, Repeat};
pub use limits::KeyLimits;
pub use table::KeyTable;
pub use view::{KeyView, OwnershipView};
