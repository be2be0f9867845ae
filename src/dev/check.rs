//! A short mixed load with faults, and the verdict on every promise.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use super::scenario::{Scenario, Seen};
use super::{
    Installation, Promise, Site, verify_leaving, verify_limits, verify_requests, verify_tasks,
};
use crate::prelude::*;

/// Workers of the checked site; fewer than in production, so that load and faults meet often.
const WORKERS: usize = 18;

/// Entry processes of the checked site.
const ENTRIES: usize = 6;

/// Longest time until a bundle is in force everywhere.
const BUNDLE_LIMIT: Duration = Duration::from_secs(8);

/// Latency of one class in milliseconds.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct ClassRow {
    /// Class of urgency.
    pub class: String,
    /// Requests sent.
    pub sent: usize,
    /// Whole answers.
    pub whole: usize,
    /// Answers "not run".
    pub not_run: usize,
    /// Answers "outcome unknown", and broken connections.
    pub unknown: usize,
    /// Latency of whole answers.
    pub p50: Millis,
    /// Latency of whole answers.
    pub p99: Millis,
    /// Latency of whole answers.
    pub p999: Millis,
}

/// What a check found.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct CheckReport {
    /// The site.
    pub site: String,
    /// Time that the check took, in seconds.
    pub seconds: u64,
    /// Rows by class.
    pub classes: Vec<ClassRow>,
    /// Batch tasks submitted.
    pub tasks: u32,
    /// Batch tasks finished.
    pub finished: u32,
    /// Attempts that were stopped with a checkpoint.
    pub evictions: usize,
    /// Time until the second bundle was in force everywhere.
    pub bundle_ms: Option<Millis>,
    /// Verdicts.
    pub promises: Vec<Promise>,
}

impl CheckReport {
    /// Tells whether every promise was checked and kept.
    pub fn is_kept(&self) -> bool {
        self.promises.iter().all(Promise::is_kept)
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "site {}, {} s", self.site, self.seconds)?;
        writeln!(
            f,
            "{:<16} {:>7} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6}",
            "class", "sent", "whole", "not run", "unknown", "p50", "p99", "p99.9"
        )?;
        for row in &self.classes {
            writeln!(
                f,
                "{:<16} {:>7} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6}",
                row.class,
                row.sent,
                row.whole,
                row.not_run,
                row.unknown,
                row.p50,
                row.p99,
                row.p999
            )?;
        }
        writeln!(
            f,
            "batch: {} of {} tasks finished, {} evictions",
            self.finished, self.tasks, self.evictions
        )?;
        writeln!(f, "{:<52} {:>8} {:>7}", "promise", "checked", "broken")?;
        for (i, promise) in self.promises.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{promise}")?;
        }
        Ok(())
    }
}

/// Runs the check on a site.
pub async fn run_check(site: Site) -> Result<CheckReport, DevError> {
    let started = Instant::now();
    let cancel = CancellationToken::new();
    let installation = Installation::start(site, WORKERS, ENTRIES, &cancel).await?;
    let seen = Scenario::new(installation).run().await?;
    let report = report(site, started, seen);
    cancel.cancel();
    Ok(report)
}

fn report(site: Site, started: Instant, seen: Seen) -> CheckReport {
    let workers = &seen.installation.platform.workers;
    let mut promises = verify_tasks(workers);
    promises.extend(verify_requests(&seen.answers, workers));
    let (leaving, since) = seen.leaving;
    promises.push(verify_leaving(&workers[leaving], since));
    promises.push(seen.graceful);
    promises.push(verify_bundle(&seen.versions, seen.bundle_time));
    promises.push(verify_limits(workers));
    promises.push(verify_batch(seen.tasks, seen.finished));
    let evictions = workers
        .iter()
        .map(|worker| {
            worker
                .agent
                .inspect(|state| count_checkpoints(state.events()))
        })
        .sum();
    CheckReport {
        site: site.to_string(),
        seconds: started.elapsed().as_secs(),
        classes: site
            .classes()
            .iter()
            .map(|class| class_row(class, &seen.answers))
            .collect(),
        tasks: seen.tasks,
        finished: seen.finished,
        evictions,
        bundle_ms: seen.bundle_time.map(Millis::from),
        promises,
    }
}

fn count_checkpoints(events: &[crate::standin::WorkerEvent]) -> usize {
    let stopped = crate::schema::worker::TaskPhase::Stopped;
    events
        .iter()
        .filter(|event| event.phase == stopped && event.checkpoint.is_some())
        .count()
}

fn verify_bundle(versions: &[Vec<Version>], time: Option<Duration>) -> Promise {
    let mut bundle = Promise::new("P9 bundle in force everywhere in 8 s, never back");
    bundle.check(time.is_some_and(|time| time <= BUNDLE_LIMIT), || {
        format!("second bundle took {time:?}")
    });
    for seen in versions {
        let sorted = seen.windows(2).all(|pair| pair[0] <= pair[1]);
        bundle.check(sorted, || {
            "a process went back to an older version".to_string()
        });
    }
    bundle
}

fn verify_batch(tasks: u32, finished: u32) -> Promise {
    let mut batch = Promise::new("accepted batch work finishes, none is lost");
    batch.check(tasks == finished, || {
        format!("{finished} of {tasks} tasks finished")
    });
    batch
}

fn class_row(class: &str, answers: &[super::Answer]) -> ClassRow {
    use super::Reported;
    let of_class: Vec<_> = answers
        .iter()
        .filter(|answer| answer.ask.class == class)
        .collect();
    let count = |reported: Reported| of_class.iter().filter(|a| a.reported == reported).count();
    let mut latencies: Vec<Millis> = of_class
        .iter()
        .filter(|answer| answer.reported == Reported::Whole)
        .map(|answer| answer.latency)
        .collect();
    latencies.sort_unstable();
    let quantile = |permille: usize| {
        let last = latencies.len().saturating_sub(1);
        latencies
            .get((last * permille).div_ceil(1000))
            .copied()
            .unwrap_or_default()
    };
    ClassRow {
        class: class.to_string(),
        sent: of_class.len(),
        whole: latencies.len(),
        not_run: count(Reported::NotRun),
        unknown: count(Reported::Unknown) + count(Reported::Lost),
        p50: quantile(500),
        p99: quantile(990),
        p999: quantile(999),
    }
}
