//! One line of a daemon's log.

use serde_json::{Map, Value};

/// Fields that are shown in places of their own.
const SHOWN: [&str; 3] = ["timestamp", "level", "message"];

/// Messages about authority and dependencies, which can delay every job.
const CONTEXT: [&str; 11] = [
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

/// A line that could be read, and the process that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Process that wrote it.
    pub process: String,
    /// Time of day, as it was written.
    pub time: String,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; text before the JSON object, as collectors write it, names the process.
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

    /// Tells whether the line is about a job or one of its tasks.
    pub fn is_about(&self, job: &str) -> bool {
        let task = self.text("task");
        self.text("job") == job || task.split('.').next() == Some(job)
    }

    /// Tells whether the line is about something that all jobs depend on.
    pub fn is_context(&self) -> bool {
        CONTEXT.contains(&self.message.as_str())
    }

    /// Text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Number of a field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields
            .get(name)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// Milliseconds within the day, for comparing lines; `None` if the time cannot be read.
    pub fn millis(&self) -> Option<u64> {
        let clock = self.time.split('T').nth(1)?.trim_end_matches('Z');
        let mut parts = clock.split(':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some((hours * 60 + minutes) * 60_000 + (seconds * 1000.0) as u64)
    }

    /// The line as one row of text.
    pub fn show(&self) -> String {
        let mut row = format!("{} {} {}", self.time, self.process, self.message);
        for (name, value) in &self.fields {
            if SHOWN.contains(&name.as_str()) {
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
