//! Benchmarks in virtual time.

mod requests;

pub use requests::{KillRow, LoadRow, Policy, RequestsReport, run_requests};
