//! Set-up of the log output.

use std::fmt;

use tracing::{Event, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::{Format, Json, JsonFields, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent};
use tracing_subscriber::registry::LookupSpan;

use super::{Activity, LineBuffer, LineGuard};
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

/// Sends logs as JSON lines to standard output without ever blocking; lines are written until
/// the guard is dropped.
pub fn init_json_logs() -> std::io::Result<LineGuard> {
    let (lines, guard) = LineBuffer::start(std::io::stdout())?;
    // A second initialization in one process, as in tests, keeps the first subscriber.
    let _ = tracing_subscriber::fmt()
        .fmt_fields(JsonFields::new())
        .event_format(MeasuredFormat(
            Format::default()
                .json()
                .flatten_event(true)
                .with_target(false),
        ))
        .with_max_level(tracing::Level::INFO)
        .with_writer(lines)
        .try_init();
    Ok(guard)
}

/// JSON format whose processor time is measured.
struct MeasuredFormat(Format<Json>);

impl<S> FormatEvent<S, JsonFields> for MeasuredFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
{
    fn format_event(
        &self,
        cx: &FmtContext<'_, S, JsonFields>,
        writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let _guard = Activity::Log.enter();
        self.0.format_event(cx, writer, event)
    }
}
