//! Benchmarks in virtual time.

mod requests;

pub use requests::{KillRow, LoadRow, Policy, RequestsReport, SlotSharing, run_requests};
//! Benchmarks and the simulations that they and the tests run.

pub mod region_sim;
