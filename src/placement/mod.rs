//! Who runs where: reservation books, choice of workers, interference and its correction.

mod agents;
mod budget;
mod choose;
mod correct;
mod entry;
mod fleet;
mod free_index;
mod interference;
mod lease;
mod owner;
mod worker_book;

pub use agents::DueCommand;
pub use budget::EvictionBudget;
pub use fleet::Fleet;
pub use free_index::{FreeIndex, Slot, splitmix64};
pub use interference::{Interference, Kind, Loads};
pub use lease::{TASK_LEASE, certain_expiry};
pub use owner::{HOLD, RackOwner};
