//! Benchmarks in virtual time.

mod requests;

pub use requests::{KillRow, LoadRow, Policy, RequestsReport, SlotSharing, Target, run_requests};
