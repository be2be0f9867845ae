//! The operator removes a route while an accepted job of it is under way.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::json::{list, number, object, text};
use crate::site::{Plan, Site, configuration};

/// Time from the acceptance of the job to the new configuration.
const BEFORE_CHANGE: Duration = Duration::from_millis(1000);

/// `finish_s`: time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which the job has nothing running, from which on it counts as lost.
const IDLE: Duration = Duration::from_secs(3);

const ID: &str = "00000000000000e1";

/// Tasks of the first step, of 2 s each, and of the second.
const TASKS: [u64; 2] = [4, 2];

pub fn run(record: &Path, trouble: bool) -> Option<bool> {
    let plan = Plan {
        workers: 8,
        daemons: 3,
        special: 0,
        cpu: 8000,
        stop_timeout_ms: 900,
        stop_ms: 100,
        max_attempts: 3,
    };
    let mut site = Site::start(&plan, record)?;
    let step = |tasks| {
        [
            ("count", number(tasks)),
            ("cpu", number(1000)),
            ("memMb", number(1000)),
            ("estimateMs", number(2000)),
        ]
    };
    let first = object(step(TASKS[0]));
    let [count, cpu, memory, estimate] = step(TASKS[1]);
    let second = object([count, cpu, memory, estimate, ("after", list([number(0)]))]);
    let body = object([
        ("spec", text("work=2000")),
        ("steps", list([first, second])),
    ]);
    if site.submit(0, ID, &body) != 200 {
        return None;
    }
    std::thread::sleep(BEFORE_CHANGE);
    if trouble {
        site.store
            .put("op/config", &configuration(&plan, 2, &["other"]));
        site.note("version 2 is acknowledged; it has no route r");
    }
    std::thread::sleep(FINISH);
    let done = |site: &Site| site.runs().iter().filter(|run| run.how == "done").count() as u64;
    let running = |site: &Site| site.runs().iter().any(|run| run.ended.is_none());
    let mut idle = true;
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        idle &= !running(&site);
        std::thread::sleep(Duration::from_millis(50));
    }
    let state = site.state(1, ID);
    for run in site.runs() {
        site.note(&format!("{run:?}"));
    }
    for line in site.daemon_lines(&["configuration in force", "request answered"]) {
        site.note(&line);
    }
    let done = done(&site);
    let all: u64 = TASKS.iter().sum();
    site.note(&format!(
        "{done} of {all} tasks are done, nothing has run for 3 s: {idle}, all workers are free; the job is answered with {state}"
    ));
    Some(done == all || !idle)
}
