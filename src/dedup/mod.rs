//! Idempotency keys: which requests were recorded, with what result, and when a key is refused.

mod coverage;
mod known;
mod limits;
mod table;
mod view;

pub use coverage::{Cover, Coverage};
pub use known::{BackUp, Completion, Recorded, Repeat};
pub use limits::KeyLimits;
pub use table::KeyTable;
pub use view::{KeyView, OwnershipView};
