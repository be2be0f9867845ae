//! Scheduler for colocated latency-critical and batch work.
//!
//! `docs/design.md` describes the modules and the reasons behind them.

pub mod admin;
pub mod admission;
pub mod audit;
pub mod batch;
pub mod bench;
pub mod bundle;
pub mod cli;
pub mod daemon;
pub mod dedup;
pub mod dev;
pub mod drain;
pub mod entry;
pub mod error;
pub mod explain;
pub mod ini;
pub mod membership;
pub mod model;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod prelude;
pub mod provider;
pub mod proxy;
pub mod records;
pub mod retry;
pub mod routing;
pub mod scheduler;
pub mod schema;
pub mod settings;
pub mod standin;
pub mod telemetry;
pub mod web;
