//! The daemon of an entry VM: wires the modules together.

mod daemon_metrics;
mod drain_calls;
mod entry;
mod faces;
mod feeder;
mod health;
mod job_calls;
mod key_snapshot;
mod local;
mod status_calls;

pub use entry::Daemon;
