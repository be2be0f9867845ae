//! A worker crashes under a gang that saves checkpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

const CPU: u64 = 32_000;

/// Time for which the worker is down.
const DOWN_MS: u64 = 1000;

/// Time without disruption after which a machine is in touch (`contactMs`).
const CONTACT_MS: u64 = 3000;

const GANG: &str = "00000000000000c1";

const PLANS: Route = Route {
    name: "r-plans",
    prefix: "/plans/",
    priority: 2,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, 4, CPU, &[PLANS])?;
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
    std::thread::sleep(Duration::from_millis(5000));
    let mut calm_from = 0;
    if trouble {
        let at = {
            let world = site.world.lock().unwrap();
            let members = |at: &usize| world.workers[*at].used_cpu();
            (0..world.workers.len()).max_by_key(members)
        };
        let at = at.unwrap_or_default();
        site.crash(at);
        std::thread::sleep(Duration::from_millis(DOWN_MS));
        site.restart(at, CPU)?;
        calm_from = record.now();
    }
    let until = record.now() + 30_000;
    while record.now() < until && site.state(PLANS.prefix, GANG) != "completed" {
        std::thread::sleep(Duration::from_millis(1000));
    }
    judge(&site, calm_from);
    Ok(())
}

/// Checks UNASKED: all members of a run of the gang carry the same checkpoint. Checks GANG: no
/// member ends alone once there has been no disruption for `CONTACT_MS`.
fn judge(site: &Site, calm_from: u64) {
    let world = site.world.lock().unwrap();
    let mut carried: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for start in &world.starts {
        carried
            .entry(start.number)
            .or_default()
            .insert(&start.checkpoint);
    }
    for (number, checkpoints) in carried {
        if checkpoints.len() > 1 {
            site.record.fault(format!(
                "UNASKED: the members of run {number} of the gang carry different checkpoints: {checkpoints:?}"
            ));
        }
    }
    for end in world.ended.iter().filter(|end| end.how == "alone") {
        if end.at_ms >= calm_from + CONTACT_MS {
            site.record.fault(format!(
                "GANG: run {} of {} ends alone, {} ms after the worker was back",
                end.number,
                end.task,
                end.at_ms - calm_from
            ));
        }
    }
}
