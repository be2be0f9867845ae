//! Adapter to the users' platform: its names, formats and calls. It decides nothing.

mod config;
mod entry;
mod job;
mod names;
mod settings;
mod store;
mod wire;
mod workers;

pub use names::Names;
pub use settings::read_settings;
pub use store::KvClient;
pub use workers::WorkerClient;
