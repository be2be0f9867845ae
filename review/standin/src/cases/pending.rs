//! The worker that a job needs is lost for good just before the job comes.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::json::text;
use crate::site::{Plan, Site, job_with};

/// Workers; one of them is of the kind that the job needs.
const WORKERS: usize = 8;

/// Time after which a job that has not begun has to be counted: `visible_ms` and 2 s.
const VISIBLE: Duration = Duration::from_millis(5000);

/// Time for which the count is asked for after that.
const ASKED: Duration = Duration::from_secs(20);

/// Time before the job comes, in which the daemons elect a leader.
const CALM: Duration = Duration::from_secs(5);

/// Time from the loss of the worker to the job.
const GAP: Duration = Duration::from_millis(300);

const ID: &str = "00000000000000d1";

pub fn run(record: &Path, trouble: bool) -> Option<bool> {
    let plan = Plan {
        workers: WORKERS,
        daemons: 3,
        special: 1,
        cpu: 8000,
        stop_timeout_ms: 900,
        stop_ms: 100,
        max_attempts: 3,
    };
    let mut site = Site::start(&plan, record)?;
    std::thread::sleep(CALM);
    if trouble {
        site.workers[0].kill();
        let id = site.workers[0].id.clone();
        site.note(&format!(
            "worker {id}, the only one of kind b, is lost for good"
        ));
        std::thread::sleep(GAP);
    }
    let body = job_with("work=60000", 1, 4000, 60_000, ("requires", text("b")));
    if site.submit(0, ID, &body) != 200 {
        return None;
    }
    std::thread::sleep(VISIBLE);
    let (mut wrong, mut asked) = (0, 0);
    let until = Instant::now() + ASKED;
    while Instant::now() < until {
        for daemon in 0..site.daemons.len() {
            let begun = !site.runs().is_empty();
            let pending = site.pending(daemon);
            let state = site.state(daemon, ID);
            site.note(&format!(
                "daemon {daemon}: pending {pending:?}, the job is {state}, begun {begun}"
            ));
            asked += 1;
            if !begun && site.runs().is_empty() && pending == Ok(0) {
                wrong += 1;
            }
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    for line in site.daemon_lines(&[
        "\"start\"",
        "request answered",
        "withheld",
        "leadership taken",
    ]) {
        site.note(&line);
    }
    site.note(&format!(
        "{wrong} of {asked} answers leave out the job, which has not begun"
    ));
    Some(wrong == 0)
}
