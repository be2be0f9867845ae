//! Benchmarks, and the simulations that they and the tests run.

mod colocation;
pub mod control;
mod leader;
mod model_worker;
mod path;
mod placement;
pub mod region_sim;
mod requests;

pub use colocation::{ColocationResult, PlacementPolicy, run_colocation};
pub use control::{ControlReport, run_control};
pub use leader::{LeaderCost, LeaderReport, run_leader};
pub use path::{PathReport, Quantiles, run_path};
pub use placement::{DecisionCost, PlacementReport, run_placement};
pub use requests::{KillRow, LoadRow, Policy, RequestsReport, SlotSharing, Target, run_requests};
