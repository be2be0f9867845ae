//! The daemon of an entry VM on a platform: answers callers, and leads while it holds the lease.
//!
//! Path of a job: `frontend` decodes the request, `jobs` stores it, `watches` passes it to the
//! leader, `scheduler::plan` assigns its tasks, `committer` writes the record, `dispatch` sends the
//! start commands, and `poll` reads the ends of runs.

mod claim;
mod claim_history;
mod clock;
mod committer;
mod config_age;
mod config_watch;
mod daemon;
mod dispatch;
mod election;
mod former_terms;
mod frontend;
mod intake;
mod job_weight;
mod jobs;
mod keys;
mod leader;
mod leader_load;
mod load;
mod maintenance;
mod metrics;
mod peers;
mod poll;
mod ports;
mod settings;
mod shared;
mod stored_terms;
mod term;
mod term_end;
mod terms;
#[cfg(test)]
mod tests;
mod watches;

pub use clock::{Clock, boot_clock};
pub use daemon::EntryDaemon;
pub use election::{LEASE_HORIZON, claim_delay};
pub use peers::{PeerCall, PeerResponse};
pub use ports::{
    Change, Item, Page, PlatformFormat, PollError, PollRequest, StateStore, Transaction,
    TxnOutcome, WatchResponse, WorkerCalls,
};
pub use settings::EntrySettings;
pub use term_end::TermEnd;
