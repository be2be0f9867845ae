//! The workers on which one task runs crash one after the other.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::site::{Plan, Site, job};

const WORKERS: usize = 8;

/// Crashes; each is of one of eight workers.
const CRASHES: usize = 4;

/// Time from the start of the task to the crash of its worker.
const BEFORE_CRASH: Duration = Duration::from_millis(1500);

/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);

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
    if site.submit(0, ID, &job("work=4000", 1, 4000, 4000, "r0")) != 200 {
        return None;
    }
    let until = Instant::now() + Duration::from_secs(90);
    let (mut crashes, mut back): (usize, Option<(Instant, usize)>) = (0, None);
    let mut state = String::new();
    while Instant::now() < until {
        let present = site.state(1, ID);
        if present != state {
            site.note(&format!("job {ID} is shown as {present}"));
            state = present;
        }
        if matches!(state.as_str(), "completed" | "failed" | "cancelled") {
            break;
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
            let at = site.workers.iter().position(|worker| worker.id == run.worker)?;
            site.workers[at].kill();
            site.note(&format!("worker {} is killed with run {} of the task", run.worker, run.number));
            crashes += 1;
            back = Some((Instant::now() + DOWN, at));
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
    site.note(&format!("{crashes} crashes, {failed} ends `failed`, the job is shown as {state}"));
    Some(!(state == "failed" && failed == 0))
}
