//! The daemon of an entry VM on a platform: answers callers, and leads while it holds the lease.
//!
//! A job's way: `front` decodes the caller's request, `jobs` stores it, `watches` shows it to
//! the leader, `scheduler::plan` assigns its tasks, `committer` writes the record, `pump` sends the
//! starts, and `holds` reads the ends.

mod clock;
mod committer;
mod config_watch;
mod daemon;
mod election;
mod front;
mod holds;
mod jobs;
mod keys;
mod leader;
mod load;
mod metrics;
mod peers;
mod ports;
mod pump;
mod settings;
mod shared;
mod term;
mod upkeep;
mod watches;

pub use clock::{Clock, boot_clock};
pub use daemon::EntryDaemon;
pub use election::{FORMER_LEADER_SPAN, claim_delay};
pub use peers::{PeerAnswer, PeerCall};
pub use ports::{
    Change, Dialect, HoldCall, HoldError, Item, News, Outcome, Page, StateStore, Transaction,
    WorkerCalls,
};
pub use settings::EntrySettings;
