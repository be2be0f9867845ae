//! Logs and metrics.

mod logs;

pub use logs::init_logs;
