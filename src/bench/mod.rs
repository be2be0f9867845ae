//! Benchmarks in virtual time, and the simulations that they and the tests run.

pub mod region_sim;
mod requests;

pub use requests::{KillRow, LoadRow, Policy, RequestsReport, SlotSharing, run_requests};
