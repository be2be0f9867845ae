//! Adapter to the platform: key names, data formats and HTTP calls. It has no scheduling logic.

mod config;
mod job;
mod json_format;
mod settings;
mod store;
mod wire;
mod worker_entry;
mod workers;

pub use json_format::JsonFormat;
pub use settings::read_settings;
pub use store::KvClient;
pub use workers::WorkerClient;
