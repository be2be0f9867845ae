//! Parsing of JSON log lines that daemons write.

use serde_json::{Map, Value};

/// Fields that `LogLine::show` puts at fixed positions instead of among the others.
const POSITIONED_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// Messages about leadership and the store, whose changes can delay every job.
const CONTEXT_MESSAGES: [&str; 11] = [
    "daemon started",
    "daemon stops",
    "leadership taken",
    "leadership ended",
    "leadership handed over",
    "leader's key is lost",
    "leader's lease has ended",
    "state loaded",
    "store lost",
    "store regained",
    "configuration in force",
];

/// A parsed log line and the process that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Name of the process that wrote the line.
    pub process: String,
    /// Timestamp as text, unchanged from the log.
    pub time: String,
    /// Message of the log event.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, or returns `None` if it is no log line of a daemon.
    ///
    /// Log collectors put the name of the process before the JSON object. Without such a prefix,
    /// the process is named `source`.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let prefix = text[..start].split_whitespace().last();
        let get = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_string);
        Some(Self {
            process: prefix.unwrap_or(source).to_string(),
            time: get("timestamp")?,
            message: get("message")?,
            fields,
        })
    }

    /// Returns whether the line is about a job or one of its tasks.
    pub fn is_about(&self, job: &str) -> bool {
        let task = self.text("task");
        self.text("job") == job || task.split('.').next() == Some(job)
    }

    /// Returns whether the line is about leadership or the store, on which all jobs depend.
    pub fn is_context(&self) -> bool {
        CONTEXT_MESSAGES.contains(&self.message.as_str())
    }

    /// Returns the text of a field, or an empty string if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the number of a field, or 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields
            .get(name)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// Returns the milliseconds since midnight, or `None` if the timestamp cannot be parsed.
    pub fn millis(&self) -> Option<u64> {
        let clock = self.time.split('T').nth(1)?.trim_end_matches('Z');
        let mut parts = clock.split(':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some((hours * 60 + minutes) * 60_000 + (seconds * 1000.0) as u64)
    }

    /// Formats the line as one row of text.
    pub fn show(&self) -> String {
        let mut row = format!("{} {} {}", self.time, self.process, self.message);
        for (name, value) in &self.fields {
            if POSITIONED_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(text) => row.push_str(&format!(" {name}={text}")),
                other => row.push_str(&format!(" {name}={other}")),
            }
        }
        row
    }
}
