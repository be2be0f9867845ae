//! Selects the log lines of one job and finds the line that decided its outcome.

use std::fmt;

use super::LogLine;

/// Wait for the first start from which on a job counts as delayed.
const LONG_WAIT_MS: u64 = 1000;

/// Messages that say why a run ended early or was lost, with the most specific ones first.
const SETBACKS: [&str; 7] = [
    "runs are lost",
    "run is not on its worker; it starts again",
    "run stands still; it is moved",
    "run makes room for a more urgent task",
    "run ends beside a serving task over its target",
    "run is moved away from serving tasks",
    "run failed",
];

/// Log lines of one job in order of time, with the cause of its outcome.
#[derive(Clone, Debug)]
pub struct Story {
    lines: Vec<LogLine>,
    decisive: Option<usize>,
    cause: String,
}

impl Story {
    /// Selects the lines of a job, and the context lines between its first and its last line.
    pub fn new(job: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let own = |line: &LogLine| line.is_about(job);
        let (Some(first), Some(last)) = (lines.iter().position(own), lines.iter().rposition(own))
        else {
            return Self {
                lines: Vec::new(),
                decisive: None,
                cause: format!("no line names job {job}"),
            };
        };
        let lines: Vec<LogLine> = lines
            .drain(first..=last)
            .filter(|line| line.is_about(job) || line.is_context())
            .collect();
        let (decisive, cause) = decide(job, &lines);
        Self {
            lines,
            decisive,
            cause,
        }
    }

    /// Returns whether no line names the job.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Returns the index of the line that decided the outcome, and the cause as text.
fn decide(job: &str, lines: &[LogLine]) -> (Option<usize>, String) {
    let find = |matches: &dyn Fn(&LogLine) -> bool| {
        lines
            .iter()
            .rposition(|line| line.is_about(job) && matches(line))
    };
    let last_failure = |line: &LogLine| {
        line.message == "run failed" && line.number("failures") >= line.number("most")
    };
    if let Some(at) = find(&last_failure) {
        let cause = format!("a task has failed {} times", lines[at].number("failures"));
        return (Some(at), cause);
    }
    if let Some(at) = find(&|line| line.message == "job cancelled") {
        return (Some(at), "its caller has cancelled it".to_string());
    }
    let answered = |line: &LogLine, accepted: bool| {
        line.message == "request answered"
            && line.text("verb") == "submit"
            && (line.number("status") == 200) == accepted
    };
    if find(&|line| answered(line, true)).is_none()
        && let Some(at) = find(&|line| answered(line, false))
    {
        return refused(lines, at);
    }
    if let Some(found) = long_wait(lines) {
        return found;
    }
    for message in SETBACKS {
        if let Some(at) = find(&|line| line.message == message) {
            return (
                Some(at),
                format!("a run did not come to its end: {message}"),
            );
        }
    }
    match find(&|line| line.message == "job ended") {
        Some(at) => (Some(at), "nothing held it up".to_string()),
        None => (None, "it has not ended yet".to_string()),
    }
}

fn refused(lines: &[LogLine], at: usize) -> (Option<usize>, String) {
    let lost = lines[..at]
        .iter()
        .rposition(|line| line.message == "store lost" && line.process == lines[at].process);
    let status = lines[at].number("status");
    let meaning = match status {
        503 => "refused, and not run",
        504 => "left in doubt: a write was sent and not answered",
        _ => "rejected",
    };
    let cause = format!("{meaning} (status {status})");
    (Some(lost.unwrap_or(at)), cause)
}

/// Finds what delayed a job between its acceptance and its first start, if it waited long.
fn long_wait(lines: &[LogLine]) -> Option<(Option<usize>, String)> {
    let accepted = lines
        .iter()
        .position(|line| line.message == "request answered" && line.number("status") == 200)?;
    let started = lines.iter().position(|line| line.message == "start")?;
    let wait = lines[started]
        .millis()?
        .saturating_sub(lines[accepted].millis()?);
    if wait < LONG_WAIT_MS {
        return None;
    }
    let between = lines.get(accepted..started)?;
    let held = between.iter().rposition(LogLine::is_context);
    let cause = match held {
        Some(at) => format!(
            "it waited {wait} ms for its first start, last behind: {}",
            between[at].message
        ),
        None => format!("it waited {wait} ms for its first start, in the queue"),
    };
    Some((Some(held.map_or(started, |at| accepted + at)), cause))
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, line) in self.lines.iter().enumerate() {
            let mark = if self.decisive == Some(at) {
                "=>"
            } else {
                "  "
            };
            writeln!(f, "{mark} {}", line.show())?;
        }
        write!(f, "cause: {}", self.cause)
    }
}
