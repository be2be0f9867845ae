//! Placement of task attempts on workers: reservation ledgers, choice of workers, estimates of
//! interference, and its mitigation by throttling and eviction.

mod agents;
mod attempt_entry;
mod choose;
mod fleet;
mod free_index;
mod interference;
mod lease;
mod mitigation;
mod owner;
mod worker_ledger;

pub use agents::DueCommand;
pub use fleet::Fleet;
pub use free_index::{FreeIndex, WorkerSlot, splitmix64};
pub use interference::{Interference, Kind, Loads};
pub use lease::{TASK_LEASE, lease_expiry_bound};
pub use owner::{RESERVATION_TTL, RackOwner};
