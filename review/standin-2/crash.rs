//! Workers crash, one at a time, under jobs whose tasks are sound.

use std::sync::Arc;
use std::time::Duration;

use crate::random::Random;
use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

const WORKERS: usize = 8;
const CPU: u64 = 64_000;
const JOBS: u64 = 30;

/// Time between two crashes, and time for which the worker is down.
const CRASH_INTERVAL_MS: u64 = 2250;
const DOWN_MS: u64 = 1500;

/// When crashes begin and end.
const CRASHES_FROM_MS: u64 = 8000;
const CRASHES_UNTIL_MS: u64 = 85_000;

const WATCH: Route = Route {
    name: "r-watch",
    prefix: "/watch/",
    priority: 0,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, WORKERS, CPU, &[WATCH])?;
    let ids: Vec<String> = (0..JOBS)
        .map(|at| format!("{:016x}", 0x1f3a_0000_0000_0000u64 + at))
        .collect();
    for id in &ids {
        site.submit(WATCH.prefix, id, &steps());
    }
    let mut random = Random::new(5);
    let mut at_ms = CRASHES_FROM_MS;
    while at_ms < CRASHES_UNTIL_MS {
        site.sleep_until(at_ms);
        if trouble {
            let at = random.below(WORKERS as u64) as usize;
            site.crash(at);
            std::thread::sleep(Duration::from_millis(DOWN_MS));
            site.restart(at, CPU)?;
        }
        at_ms += CRASH_INTERVAL_MS;
    }
    site.sleep_until(CRASHES_UNTIL_MS + 4000);
    for id in &ids {
        judge(&site, id);
    }
    Ok(())
}

/// Six tasks that last, each on two cores.
fn steps() -> Vec<Step> {
    vec![Step {
        count: 6,
        cpu: 2000,
        memory: 1000,
        work_ms: None,
        ..Step::default()
    }]
}

/// Checks LOST: a job is shown as failed only if one of its tasks has ended so.
fn judge(site: &Site, id: &str) {
    let state = site.state(WATCH.prefix, id);
    let world = site.world.lock().unwrap();
    let ends = |how: &str| {
        let ends = world.ended.iter();
        ends.filter(|end| end.job == id && end.how == how).count()
    };
    if (state == "failed" || state == "cancelled") && ends("failed") == 0 {
        site.record.fault(format!(
            "LOST: job {id} is shown as {state}; none of its runs has ended failed, {} were lost with their worker, and {} of its tasks run",
            ends("lost"),
            world.runs_of_job(id)
        ));
    }
}
