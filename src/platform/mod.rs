//! Adapter to the users' platform: its names, formats and calls. It decides nothing.

mod config;
mod entry;
mod job;
mod json_format;
mod settings;
mod store;
mod wire;
mod workers;

pub use json_format::JsonFormat;
pub use settings::read_settings;
pub use store::KvClient;
pub use workers::WorkerClient;
