//! The workers on which a task that lasts runs crash one after the other.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::json::Value;
use crate::site::{Plan, Site, job_with};

const WORKERS: usize = 8;

/// Crashes, each of one of eight workers.
const CRASHES: usize = 3;

/// Time from the start of the task to the crash of its worker.
const BEFORE_CRASH: Duration = Duration::from_millis(3000);

/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time for which the job is observed after the last crash.
const AFTER: Duration = Duration::from_secs(30);

const ID: &str = "00000000000000c1";

pub fn run(record: &Path, trouble: bool) -> Option<bool> {
    let plan = Plan {
        workers: WORKERS,
        daemons: 3,
        special: 0,
        cpu: 8000,
        stop_timeout_ms: 900,
        stop_ms: 100,
        max_attempts: 3,
    };
    let mut site = Site::start(&plan, record)?;
    let body = job_with("lasts", 1, 4000, 400, ("longRunning", Value::Bool(true)));
    if site.submit(0, ID, &body) != 200 {
        return None;
    }
    let started = Instant::now();
    let mut until = started + AFTER;
    let mut crashes = 0;
    let mut back: Option<(Instant, usize)> = None;
    let mut state = String::new();
    while Instant::now() < until && started.elapsed() < Duration::from_secs(100) {
        let present = site.state(1, ID);
        if present != state {
            site.note(&format!("job {ID} is shown as {present}"));
            state = present;
        }
        if let Some((_, at)) = back.filter(|(at, _)| *at <= Instant::now()) {
            site.workers[at].restart();
            let id = site.workers[at].id.clone();
            site.note(&format!("worker {id} is up again"));
            back = None;
        }
        let running = site.runs().into_iter().find(|run| run.ended.is_none());
        if let Some(run) = running.filter(|_| trouble && back.is_none() && crashes < CRASHES) {
            std::thread::sleep(BEFORE_CRASH);
            let at = site
                .workers
                .iter()
                .position(|worker| worker.id == run.worker)?;
            site.workers[at].kill();
            site.note(&format!(
                "worker {} is killed with run {} of the task",
                run.worker, run.number
            ));
            crashes += 1;
            back = Some((Instant::now() + DOWN, at));
            until = Instant::now() + AFTER;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let runs = site.runs();
    for run in &runs {
        site.note(&format!("{run:?}"));
    }
    for line in site.daemon_lines(&["crash", "suspected", "given up"]) {
        site.note(&line);
    }
    let failed = runs.iter().filter(|run| run.how == "failed").count();
    let running = runs.iter().any(|run| run.ended.is_none());
    site.note(&format!(
        "{crashes} crashes, {failed} ends `failed`; the job is shown as {state}, its task runs: {running}"
    ));
    Some(!(state == "failed" && failed == 0))
}
