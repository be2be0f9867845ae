//! Results of the request path benchmark.

use std::fmt;

use super::simulation::{Answer, Policy, RunResult, SlotSharing};
use super::workload::{CLASSES, END, KILL_AT, Plan, WARM_UP};

/// Length of the windows in which the tail is followed after a kill, in microseconds.
const WINDOW: u64 = 1_000_000;

/// Time after a kill by which the tail shall be at its former level, in microseconds.
pub const SETTLED: u64 = 3_000_000;

/// Permitted ratio of the tail after and before; the p99 of the same load in two runs of this
/// length differs by up to a tenth.
pub const RECOVERED: f64 = 1.1;

/// Figures of one policy at one load.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct LoadRow {
    /// Offered load in percent of the capacity.
    pub load_percent: u64,
    /// How requests are assigned.
    pub policy: Policy,
    /// Number of entry processes, if it matters.
    pub entries: Option<usize>,
    /// Median latency of answers in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: f64,
    /// 99th percentile of the urgent class in milliseconds.
    pub urgent_p99_ms: f64,
    /// Answers before their deadline, per second.
    pub useful_per_sec: f64,
    /// Requests refused, per second.
    pub refused_per_sec: f64,
    /// Requests forwarded to a peer over the whole run.
    pub forwarded: u64,
    /// Most requests in progress at an endpoint.
    pub most_in_progress: usize,
}

/// Tail latency around the death of an entry process.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct KillRow {
    /// Number of entry processes before.
    pub entries: usize,
    /// How requests are assigned.
    pub policy: Policy,
    /// 99th percentile between the warm-up and the kill, in milliseconds.
    pub before_p99_ms: f64,
    /// 99th percentile of each second after it, in milliseconds.
    pub after_p99_ms: Vec<f64>,
    /// 99th percentile of the urgent class in each second after it, in milliseconds.
    pub after_urgent_p99_ms: Vec<f64>,
    /// 99th percentile of requests that arrive later than [`SETTLED`] after it, in milliseconds.
    pub settled_p99_ms: f64,
    /// Whether the settled tail is at its former level.
    pub recovered: bool,
    /// Requests that were lost with the process.
    pub lost: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Figures of a run of the benchmark.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct RequestsReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests a second that the endpoints can answer.
    pub capacity_per_sec: f64,
    /// Figures by load and policy.
    pub rows: Vec<LoadRow>,
    /// Figures around the death of a process.
    pub kills: Vec<KillRow>,
}

impl LoadRow {
    /// Summarises a run; latencies are those of requests that arrived after the warm-up.
    pub fn new(plan: &Plan, policy: Policy, entries: Option<usize>, run: &RunResult) -> Self {
        let measured = || run.answers.iter().filter(|a| a.arrived >= WARM_UP);
        let all = sorted(measured());
        let urgent = sorted(measured().filter(|answer| answer.class == 0));
        let useful = run
            .answers
            .iter()
            .filter(|answer| answer.useful && (WARM_UP..END).contains(&answer.at));
        let seconds = (END - WARM_UP) as f64 / 1e6;
        Self {
            load_percent: plan.load,
            policy,
            entries,
            p50_ms: quantile_ms(&all, 0.5),
            p99_ms: quantile_ms(&all, 0.99),
            p999_ms: quantile_ms(&all, 0.999),
            urgent_p99_ms: quantile_ms(&urgent, 0.99),
            useful_per_sec: useful.count() as f64 / seconds,
            refused_per_sec: run.refused as f64 / seconds,
            forwarded: run.forwarded,
            most_in_progress: run.most_in_progress,
        }
    }
}

impl KillRow {
    /// Summarises a run with a kill.
    pub fn new(entries: usize, policy: Policy, run: &RunResult) -> Self {
        let tail = |from: u64, to: u64, classes: usize| {
            let window = from..to;
            let answers = run.answers.iter();
            let answers = answers.filter(|a| window.contains(&a.arrived) && a.class < classes);
            quantile_ms(&sorted(answers), 0.99)
        };
        let by_window = |classes: usize| {
            let starts = (KILL_AT..END).step_by(WINDOW as usize);
            starts
                .map(|from| tail(from, from + WINDOW, classes))
                .collect()
        };
        let before = tail(WARM_UP, KILL_AT, CLASSES.len());
        let settled = tail(KILL_AT + SETTLED, END, CLASSES.len());
        Self {
            entries,
            policy,
            before_p99_ms: before,
            after_p99_ms: by_window(CLASSES.len()),
            after_urgent_p99_ms: by_window(1),
            settled_p99_ms: settled,
            recovered: settled <= before * RECOVERED,
            lost: run.lost,
            refused: run.refused,
        }
    }
}

impl RequestsReport {
    /// Returns the row of the dispatcher or of another policy.
    pub fn row(&self, load: u64, policy: Policy, entries: Option<usize>) -> Option<&LoadRow> {
        self.rows
            .iter()
            .find(|row| row.load_percent == load && row.policy == policy && row.entries == entries)
    }
}

impl fmt::Display for RequestsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, capacity {:.0} requests/s, latencies in ms",
            self.seed, self.capacity_per_sec
        )?;
        writeln!(
            f,
            "{:>5} {:<14} {:>4} {:>8} {:>8} {:>8} {:>10} {:>9} {:>9} {:>9} {:>8}",
            "load%",
            "policy",
            "proc",
            "p50",
            "p99",
            "p99.9",
            "urgent p99",
            "useful/s",
            "refused/s",
            "forwarded",
            "most"
        )?;
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        for kill in &self.kills {
            writeln!(f, "{kill}")?;
        }
        for target in self.targets() {
            writeln!(f, "{target}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = self.policy.to_string();
        let entries = self.entries.map_or("-".to_string(), |n| n.to_string());
        write!(
            f,
            "{:>5} {:<14} {:>4} {:>8.0} {:>8.0} {:>8.0} {:>10.0} {:>9.0} {:>9.0} {:>9} {:>8}",
            self.load_percent,
            policy,
            entries,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.urgent_p99_ms,
            self.useful_per_sec,
            self.refused_per_sec,
            self.forwarded,
            self.most_in_progress
        )
    }
}

impl fmt::Display for KillRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |list: &[f64]| {
            let texts: Vec<String> = list.iter().map(|p99| format!("{p99:.0}")).collect();
            texts.join(" ")
        };
        let recovered = if self.recovered {
            "recovered"
        } else {
            "not recovered"
        };
        write!(
            f,
            "one of {} processes killed at 80%, {}: p99 {:.0} before, {:.0} from 3 s after, {recovered}; each second {} (urgent {}); {} lost, {} refused",
            self.entries,
            self.policy,
            self.before_p99_ms,
            self.settled_p99_ms,
            line(&self.after_p99_ms),
            line(&self.after_urgent_p99_ms),
            self.lost,
            self.refused
        )
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::SharedQueue => "shared queue",
            Self::Dispatcher(SlotSharing::Even) => "even slots",
            Self::Dispatcher(SlotSharing::Local) => "local slots",
        })
    }
}

fn sorted<'a>(answers: impl Iterator<Item = &'a Answer>) -> Vec<u64> {
    let mut latencies: Vec<u64> = answers.map(|a| a.at - a.arrived).collect();
    latencies.sort_unstable();
    latencies
}

fn quantile_ms(sorted: &[u64], quantile: f64) -> f64 {
    let at = (sorted.len() as f64 * quantile) as usize;
    let value = sorted.get(at.min(sorted.len().saturating_sub(1)));
    value.copied().unwrap_or(0) as f64 / 1000.0
}
