//! The load of serving tasks rises beside lasting tasks that fill and allow one to be missed.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

/// Tail latencies of the serving tasks in milliseconds: their target, and what they show while their
/// load is usual and while it is high.
const TARGET_MS: u64 = 50;
const USUAL_TAIL_MS: u64 = 20;
const HIGH_TAIL_MS: u64 = 75;

/// When the load is high.
const HIGH_FROM_MS: u64 = 12_000;
const HIGH_FOR_MS: u64 = 4000;

/// Tasks of the filling step that may be missed at the same time.
const ALLOW_MISS: u64 = 1;

const SERVING: &str = "00000000000000b1";
const FILLING: &str = "00000000000000b2";

const WATCH: Route = Route {
    name: "r-watch",
    prefix: "/watch/",
    priority: 0,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, 2, 32_000, &[WATCH])?;
    let step = |count: u64, cpu: u64, image: &str| Step {
        count,
        cpu,
        memory: 1000,
        work_ms: None,
        image: image.to_string(),
        ..Step::default()
    };
    let serving = Step {
        target_ms: TARGET_MS,
        ..step(4, 4000, "front")
    };
    let filling = Step {
        fills: true,
        allow_miss: ALLOW_MISS,
        ..step(4, 1000, "index")
    };
    site.submit(WATCH.prefix, SERVING, &[serving]);
    site.sleep_until(7000);
    site.submit(WATCH.prefix, FILLING, &[filling]);
    site.sleep_until(HIGH_FROM_MS);
    let group = format!("{FILLING}.0.0");
    let mut before = site.world.lock().unwrap().at_work(&group);
    record.note(format!("{} filling tasks are at work", before.len()));
    if before.len() < 4 {
        return Err(std::io::Error::other("the filling tasks are not at work"));
    }
    let set_tail = |tail_ms: u64| {
        record.note(format!("the serving tasks show a tail of {tail_ms} ms"));
        site.world.lock().unwrap().tail_ms = tail_ms;
    };
    if trouble {
        set_tail(HIGH_TAIL_MS);
    }
    let mut is_high = trouble;
    while record.now() < HIGH_FROM_MS + HIGH_FOR_MS + 6000 {
        if is_high && record.now() >= HIGH_FROM_MS + HIGH_FOR_MS {
            set_tail(USUAL_TAIL_MS);
            is_high = false;
        }
        before = judge(&site, &group, before);
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Checks AVAIL: no stop ends a task at work while as many of its step as may be missed are away.
/// Returns the tasks that are at work now.
fn judge(
    site: &Site,
    group: &str,
    before: std::collections::HashSet<String>,
) -> std::collections::HashSet<String> {
    let at_work = site.world.lock().unwrap().at_work(group);
    let mut away = 4 - before.len() as u64;
    for task in before.difference(&at_work) {
        if away >= ALLOW_MISS {
            site.record.fault(format!(
                "AVAIL: {task} is stopped at work on a sound worker while {away} others of its step are away; {ALLOW_MISS} may be missed"
            ));
        }
        away += 1;
    }
    at_work
}
