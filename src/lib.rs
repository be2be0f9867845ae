//! Scheduler for colocated latency-critical and batch work.
//!
//! `docs/design.md` describes the modules and the reasons behind them.

pub mod batch;
pub mod bench;
pub mod bundle;
pub mod error;
pub mod ini;
pub mod membership;
pub mod model;
pub mod placement;
pub mod platform;
pub mod prelude;
pub mod schema;
pub mod settings;
pub mod standin;
pub mod telemetry;
pub mod web;
