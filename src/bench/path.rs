//! Cost of the real request path over loopback, against direct calls to the endpoints.

use std::fmt;
use std::fs;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::dev::{Ask, Installation, LoadClient, Reported, Site};
use crate::prelude::*;

/// Workers of the measured site.
const WORKERS: usize = 16;

/// Entry processes of the measured site.
const ENTRIES: usize = 6;

/// Requests that are sent one after the other.
const SEQUENTIAL: usize = 3000;

/// Requests that are sent with many in progress.
const CONCURRENT: usize = 20_000;

/// Callers that send at the same time.
const CALLERS: usize = 48;

/// Length of the measurement without load.
const IDLE: Duration = Duration::from_secs(10);

/// Clock ticks per second in the figures of the kernel.
const TICKS_PER_SECOND: f64 = 100.0;

/// Quantiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Figures of the request path.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct PathReport {
    /// Latency of direct calls, in microseconds.
    pub direct: Quantiles,
    /// Latency through an entry process, in microseconds.
    pub through: Quantiles,
    /// Requests a second with many in progress, through one entry process.
    pub requests_per_second: f64,
    /// Processor time of one request in the entry processes, in microseconds.
    pub micros_per_request: f64,
    /// Requests a second that one core of an entry process carries.
    pub requests_per_core: f64,
    /// Part of a core that one entry process takes without load, in percent.
    pub idle_percent_per_entry: f64,
    /// Requests that did not get a whole answer.
    pub failed: usize,
}

impl fmt::Display for PathReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "direct call      p50 {:>6} us  p99 {:>6} us",
            self.direct.p50, self.direct.p99
        )?;
        writeln!(
            f,
            "through an entry p50 {:>6} us  p99 {:>6} us",
            self.through.p50, self.through.p99
        )?;
        writeln!(
            f,
            "{CALLERS} callers       {:.0} requests/s, {:.0} us of processor time each, {:.0} requests/s per core",
            self.requests_per_second, self.micros_per_request, self.requests_per_core
        )?;
        writeln!(
            f,
            "without load     {:.2}% of a core per entry process ({ENTRIES} members, {WORKERS} workers)",
            self.idle_percent_per_entry
        )?;
        write!(f, "failed requests  {}", self.failed)
    }
}

/// Measures the request path of a small site; takes about half a minute.
pub async fn run_path() -> Result<PathReport, DevError> {
    let cancel = CancellationToken::new();
    let installation = Installation::start(Site::Tulua, WORKERS, ENTRIES, &cancel).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let before = entry_cpu_seconds();
    tokio::time::sleep(IDLE).await;
    let idle = entry_cpu_seconds() - before;

    let endpoint = installation.platform.workers[0].endpoint.addr().to_string();
    let entry = installation.entries[0].callers_addr().to_string();
    let client = LoadClient::new();
    let mut failed = 0;
    let direct = sequential(&client, &endpoint, &mut failed).await;
    let through = sequential(&client, &entry, &mut failed).await;

    let (before, started) = (entry_cpu_seconds(), Instant::now());
    failed += concurrent(&client, &entry).await;
    let (spent, took) = (
        entry_cpu_seconds() - before,
        started.elapsed().as_secs_f64(),
    );
    cancel.cancel();
    let count = CONCURRENT as f64;
    Ok(PathReport {
        direct,
        through,
        requests_per_second: count / took,
        micros_per_request: spent / count * 1e6,
        requests_per_core: count / spent.max(f64::MIN_POSITIVE),
        idle_percent_per_entry: idle / IDLE.as_secs_f64() / ENTRIES as f64 * 100.0,
        failed,
    })
}

fn ask(number: usize) -> Ask {
    let site = Site::Tulua;
    Ask {
        id: format!("bench-{number}"),
        service: site.service().to_string(),
        class: site.classes()[0].to_string(),
        team: site.teams()[0].to_string(),
        deadline: Millis(2000),
        work: Millis::ZERO,
        answer_bytes: 200,
        key: None,
    }
}

async fn sequential(client: &LoadClient, addr: &str, failed: &mut usize) -> Quantiles {
    let mut latencies = Vec::with_capacity(SEQUENTIAL);
    for number in 0..SEQUENTIAL {
        let started = Instant::now();
        let answer = client.send(addr, ask(number)).await;
        latencies.push(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
        *failed += usize::from(answer.reported != Reported::Whole);
    }
    latencies.sort_unstable();
    let at = |permille: usize| latencies.get(SEQUENTIAL * permille / 1000).copied();
    Quantiles {
        p50: at(500).unwrap_or_default(),
        p99: at(990).unwrap_or_default(),
    }
}

async fn concurrent(client: &LoadClient, addr: &str) -> usize {
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (client, addr) = (client.clone(), addr.to_string());
        callers.spawn(async move {
            let mut failed = 0;
            for number in (caller..CONCURRENT).step_by(CALLERS) {
                let answer = client.send(&addr, ask(number)).await;
                failed += usize::from(answer.reported != Reported::Whole);
            }
            failed
        });
    }
    let mut failed = 0;
    while let Some(count) = callers.join_next().await {
        failed += count.unwrap_or(CONCURRENT);
    }
    failed
}

/// Sums the processor time of the threads of all entry processes and web servers.
fn entry_cpu_seconds() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let ticks: u64 = tasks
        .filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok())
        .filter_map(|stat| entry_thread_ticks(&stat))
        .sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// Returns the user and system ticks of a thread if it belongs to an entry process.
fn entry_thread_ticks(stat: &str) -> Option<u64> {
    let name = stat.split_once('(')?.1.split_once(')')?.0;
    if !name.starts_with("entry") && !name.starts_with("xitca") {
        return None;
    }
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}
