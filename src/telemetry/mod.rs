//! Logs and metrics.

mod busy_time;
mod line_buffer;
mod logs;

pub use busy_time::{Activity, ActivityGuard, Measured};
pub use line_buffer::{LineBuffer, LineGuard};
pub use logs::{init_json_logs, init_logs};
