//! Logs and metrics.

mod line_buffer;
mod logs;

pub use line_buffer::{LineBuffer, LineGuard};
pub use logs::{init_json_logs, init_logs};
