//! Results of the request path benchmark.

use std::fmt;

use super::simulation::{Answer, Policy, RunResult, SlotSharing};
use super::workload::{END, KILL_AT, Plan, WARM_UP};

/// Length of the windows in which the tail is followed after a kill, in microseconds.
const WINDOW: u64 = 1_000_000;

/// Permitted difference between the tail before and after, for the noise of a window's p99.
const RECOVERED: f64 = 1.1;

/// Figures of one policy at one load.
#[derive(Clone, Debug, serde::Serialize)]
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
#[derive(Clone, Debug, serde::Serialize)]
pub struct KillRow {
    /// Number of entry processes before.
    pub entries: usize,
    /// Which processes hold the slots of an endpoint.
    pub sharing: SlotSharing,
    /// Highest 99th percentile of a second before the kill, in milliseconds.
    pub before_p99_ms: f64,
    /// 99th percentile of each second after it, in milliseconds.
    pub after_p99_ms: Vec<f64>,
    /// Seconds until the tail stays at its former level, if it returns.
    pub recovered_after_s: Option<usize>,
    /// Requests that were lost with the process.
    pub lost: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Figures of a run of the benchmark.
#[derive(Clone, Debug, Default, serde::Serialize)]
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
    pub fn new(entries: usize, sharing: SlotSharing, run: &RunResult) -> Self {
        let p99 = |from: u64| {
            let window = from..from + WINDOW;
            let answers = run.answers.iter().filter(|a| window.contains(&a.arrived));
            quantile_ms(&sorted(answers), 0.99)
        };
        let starts = |from: u64, to: u64| (from..to).step_by(WINDOW as usize);
        let before = starts(WARM_UP, KILL_AT).map(p99).fold(0.0, f64::max);
        let after: Vec<f64> = starts(KILL_AT, END).map(p99).collect();
        let worse = after.iter().rposition(|p99| *p99 > before * RECOVERED);
        let recovered = worse.map_or(0, |at| at + 1);
        Self {
            entries,
            sharing,
            before_p99_ms: before,
            recovered_after_s: (recovered < after.len()).then_some(recovered),
            after_p99_ms: after,
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
        Ok(())
    }
}

impl fmt::Display for LoadRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = match self.policy {
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::SharedQueue => "shared queue",
            Policy::Dispatcher(SlotSharing::Even) => "even slots",
            Policy::Dispatcher(SlotSharing::Local) => "local slots",
        };
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
        let after: Vec<String> = self
            .after_p99_ms
            .iter()
            .map(|p| format!("{p:.0}"))
            .collect();
        let recovered = match self.recovered_after_s {
            Some(seconds) => format!("recovered after {seconds} s"),
            None => "not recovered".to_string(),
        };
        write!(
            f,
            "one of {} processes killed at 80%, {:?} slots: p99 {:.0} before, then each second {}; {recovered}, {} lost, {} refused",
            self.entries,
            self.sharing,
            self.before_p99_ms,
            after.join(" "),
            self.lost,
            self.refused
        )
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
