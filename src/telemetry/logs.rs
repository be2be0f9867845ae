//! Set-up of the log output.

use tracing_subscriber::EnvFilter;

use crate::schema::settings::{LogFormat, LogSettings};

/// Sends logs to standard error in the format of the settings.
pub fn init_logs(cfg: &LogSettings) {
    let filter = EnvFilter::try_new(&cfg.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second initialization in one process, as in tests, keeps the first subscriber.
    let _ = match cfg.format {
        LogFormat::Human => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
