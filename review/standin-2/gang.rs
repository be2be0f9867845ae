//! A worker is lost for good under a gang that saves checkpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

const WORKERS: usize = 8;
const CPU: u64 = 32_000;

/// Time for which the gang has worked when the worker is lost.
const LOST_AFTER_MS: u64 = 5000;

/// Time without disruption after which a machine is in touch (`contactMs`).
const CONTACT_MS: u64 = 3000;

const GANG: &str = "00000000000000c1";

const PLANS: Route = Route {
    name: "r-plans",
    prefix: "/plans/",
    priority: 2,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, WORKERS, CPU, &[PLANS])?;
    let gang = Step {
        count: 4,
        cpu: 6000,
        memory: 1000,
        work_ms: Some(12_000),
        checkpoint: true,
        gang: true,
        ..Step::default()
    };
    site.submit(PLANS.prefix, GANG, &[gang]);
    std::thread::sleep(Duration::from_millis(LOST_AFTER_MS));
    let lost_at = record.now();
    if trouble {
        let world = site.world.lock().unwrap();
        let used = |at: &usize| world.workers[*at].used_cpu();
        let busiest = (0..WORKERS).max_by_key(used).unwrap_or_default();
        drop(world);
        site.crash(busiest);
    }
    let until = record.now() + 40_000;
    while record.now() < until && site.state(PLANS.prefix, GANG) != "completed" {
        std::thread::sleep(Duration::from_millis(1000));
    }
    judge(&site, lost_at);
    Ok(())
}

/// Checks GANG: no member ends alone once there has been no disruption for `CONTACT_MS`. Notes the
/// runs whose members carry different checkpoints.
fn judge(site: &Site, lost_at: u64) {
    let world = site.world.lock().unwrap();
    let mut carried: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for start in &world.starts {
        let checkpoints = carried.entry(start.number).or_default();
        checkpoints.insert(&start.checkpoint);
    }
    for (number, checkpoints) in carried {
        if checkpoints.len() > 1 {
            site.record.note(format!(
                "the members of run {number} of the gang carry different checkpoints: {checkpoints:?}"
            ));
        }
    }
    for end in world.ended.iter().filter(|end| end.how == "alone") {
        if end.at_ms >= lost_at + CONTACT_MS {
            site.record.fault(format!(
                "GANG: run {} of {} ends alone, {} ms after the worker was lost",
                end.number,
                end.task,
                end.at_ms - lost_at
            ));
        }
    }
}
