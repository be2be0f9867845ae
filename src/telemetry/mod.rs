//! Logs and metrics.

mod logs;

pub use logs::{init_json_logs, init_logs};
