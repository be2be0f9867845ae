//! Benchmarks in virtual time, and the simulations that they and the tests run.

mod colocation;
pub mod control;
mod model_worker;
mod placement;
pub mod region_sim;
mod requests;

pub use colocation::{ColocationResult, PlacementPolicy, run_colocation};
pub use placement::{DecisionCost, PlacementReport, run_placement};
pub use requests::{KillRow, LoadRow, Policy, RequestsReport, SlotSharing, run_requests};
