//! Benchmarks and the simulations that they and the tests run.

pub mod control;
pub mod region_sim;
