//! Benchmarks whose results are reports.

mod colocation;
mod model_worker;
mod placement;

pub use colocation::{ColocationResult, Policy, run_colocation};
pub use placement::{DecisionCost, PlacementReport, run_placement};
