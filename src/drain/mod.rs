//! Draining: workers and availability zones that operators take out of use.

mod drained;
mod manager;

pub use drained::Drained;
pub use manager::DrainManager;
