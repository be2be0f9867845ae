//! Workers and availability zones that operators take out of use.

mod desk;
mod drained;

pub use desk::DrainDesk;
pub use drained::Drained;
