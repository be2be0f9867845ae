//! Process of one entry VM: starts its modules and connects them to each other.

mod daemon_metrics;
mod drain_calls;
mod entry;
mod health;
mod job_calls;
mod key_snapshot;
mod process_state;
mod route_builder;
mod state_updater;
mod status_calls;

pub use entry::Daemon;
