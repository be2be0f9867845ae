//! Another writer leaves one entry, of a service that is not named, under the id of a worker.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::json::{list, number, object, text};
use crate::overlap::count_overlaps;
use crate::site::{Plan, Site, job};
use crate::worker::now_us;

/// Jobs of two tasks of 4 s each; two tasks fill a worker.
const JOBS: usize = 3;

/// Time from the first start to the odd entry.
const BEFORE_ENTRY: Duration = Duration::from_millis(1500);

/// Time for which the tasks are observed.
const OBSERVED: Duration = Duration::from_secs(15);

/// Time for a later job, whose tasks take 1 s each.
const PROBED: Duration = Duration::from_secs(4);

pub fn run(record: &Path, trouble: bool) -> Option<bool> {
    let plan = Plan {
        workers: 8,
        daemons: 3,
        special: 0,
        cpu: 8000,
        stop_timeout_ms: 900,
        stop_ms: 450,
        max_attempts: 3,
    };
    let mut site = Site::start(&plan, record)?;
    for at in 0..JOBS {
        let id = format!("{:016x}", 0xb000 + at);
        if site.submit(at, &id, &job("work=4000", 2, 4000, 4000, "r0")) != 200 {
            return None;
        }
    }
    let until = Instant::now() + Duration::from_secs(10);
    while site.runs().is_empty() {
        if Instant::now() > until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(BEFORE_ENTRY);
    let worker = site.runs().first()?.worker.clone();
    if trouble {
        let capacity = object([
            ("cpu", number(8000)),
            ("memMb", number(256_000)),
            ("gpu", number(0)),
        ]);
        let entry = object([
            ("service", text("sorting")),
            ("address", text("127.0.3.1:9")),
            ("zone", text("tulua")),
            ("version", text("v7")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("warmupLeftMs", number(0)),
            ("seq", number(1)),
            ("born", number(now_us() as u64 / 1000)),
            ("capacity", capacity),
            ("labels", list([text("z"), text("r9")])),
        ]);
        site.store.put(&format!("servers/{worker}"), &entry);
        site.note(&format!("another writer writes servers/{worker}: {entry}"));
    }
    std::thread::sleep(OBSERVED);
    // A job that fills the whole service shows which workers are still used.
    let probe = format!("{:016x}", 0xb100);
    site.submit(0, &probe, &job("work=1000", 8, 8000, 1000, "r0"));
    std::thread::sleep(PROBED);
    let runs = site.runs().into_iter();
    let runs = runs.filter(|run| run.task.starts_with(&probe));
    let used: BTreeSet<String> = runs.map(|run| run.worker).collect();
    site.note(&format!(
        "a later job of 8 tasks has run on {} workers, on {worker}: {}",
        used.len(),
        used.contains(&worker)
    ));
    for line in site.daemon_lines(&[
        "started anew",
        "worker entry",
        "runs are lost",
        "leadership taken",
    ]) {
        site.note(&line);
    }
    Some(count_overlaps(&mut site) == 0)
}
