//! The operator removes a route while accepted jobs of its queue wait.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

/// Time after the end of the traffic after which jobs are asked for (`finish_s`).
const FINISH_MS: u64 = 14_000;

/// Time with nothing running after which a job counts as lost.
const IDLE_MS: u64 = 3000;

const PLANS: Route = Route {
    name: "r-plans",
    prefix: "/plans/",
    priority: 2,
};

const CHECKS: Route = Route {
    name: "r-checks",
    prefix: "/checks/",
    priority: 0,
};

const JOBS: u64 = 12;

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, 6, 16_000, &[PLANS, CHECKS])?;
    site.sleep_until(4000);
    let ids: Vec<String> = (0..JOBS)
        .map(|at| format!("{:016x}", 0x7a21_d94b_0000_0000u64 + at))
        .collect();
    let accepted: Vec<&String> = ids
        .iter()
        .filter(|id| site.submit(PLANS.prefix, id, &steps()))
        .collect();
    // Two more of the other queue, which stays.
    let others = ["00000000000000aa", "00000000000000ab"];
    for id in others {
        site.submit(CHECKS.prefix, id, &steps());
    }
    let traffic_ended = record.now();
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        site.configure(9, &[CHECKS]);
    }
    judge(&site, &accepted, traffic_ended + FINISH_MS);
    if trouble {
        // The route comes back, under another name, so that the jobs can be asked for.
        site.configure(
            12,
            &[
                Route {
                    name: "r-plans-2",
                    ..PLANS
                },
                CHECKS,
            ],
        );
        std::thread::sleep(Duration::from_millis(4000));
    }
    for id in &accepted {
        site.state(PLANS.prefix, id);
    }
    for id in others {
        site.state(CHECKS.prefix, id);
    }
    Ok(())
}

/// Two steps of four tasks, each 1.5 s on 3 cores.
fn steps() -> Vec<Step> {
    let step = |after: Vec<u64>| Step {
        count: 4,
        cpu: 3000,
        memory: 1000,
        work_ms: Some(1500),
        after,
        ..Step::default()
    };
    vec![step(Vec::new()), step(vec![0])]
}

/// Checks LOST: from `from_ms` on, an accepted job that has not ended has something running, or the
/// service has no room: half of its capacity is in use.
fn judge(site: &Site, accepted: &[&String], from_ms: u64) {
    site.sleep_until(from_ms);
    let mut idle_since: HashMap<&str, u64> = HashMap::new();
    while site.record.now() < from_ms + 2 * IDLE_MS {
        let now = site.record.now();
        let world = site.world.lock().unwrap();
        for id in accepted {
            let done = world
                .ended
                .iter()
                .filter(|end| end.job == **id && end.how == "done")
                .count();
            let is_idle = done < 8 && world.runs_of_job(id) == 0 && world.load() < 0.5;
            if is_idle {
                idle_since.entry(id).or_insert(now);
            } else {
                idle_since.remove(id.as_str());
            }
        }
        drop(world);
        std::thread::sleep(Duration::from_millis(50));
    }
    let now = site.record.now();
    let world = site.world.lock().unwrap();
    for (id, since) in idle_since {
        if now - since >= IDLE_MS {
            let done = world
                .ended
                .iter()
                .filter(|end| end.job == id && end.how == "done");
            site.record.fault(format!(
                "LOST: job {id} has had nothing running for {} ms, with {} of 8 tasks done and {:.0}% of the cores in use",
                now - since,
                done.count(),
                world.load() * 100.0
            ));
        }
    }
}
