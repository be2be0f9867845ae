//! Idle workers start again under their ids, with fewer cores, while jobs come in bursts.

use std::sync::Arc;
use std::time::Duration;

use crate::random::Random;
use crate::record::Record;
use crate::site::{Route, Site};
use crate::worker::Step;

const WORKERS: usize = 8;
const LARGE: u64 = 64_000;
const SMALL: u64 = 16_000;

/// Time for which a worker is down.
const DOWN_MS: u64 = 500;

const UNTIL_MS: u64 = 85_000;

const CHECKS: Route = Route {
    name: "r-checks",
    prefix: "/checks/",
    priority: 0,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), 3, WORKERS, LARGE, &[CHECKS])?;
    let site = Arc::new(site);
    let own = site.clone();
    let clients = std::thread::spawn(move || {
        let mut random = Random::new(3);
        let mut number = 0u64;
        while own.record.now() < UNTIL_MS {
            let jobs: Vec<_> = (0..4)
                .map(|_| {
                    number += 1;
                    let id = format!("{:016x}", 0xd100_0000_0000_0000u64 + number);
                    let own = own.clone();
                    std::thread::spawn(move || own.submit(CHECKS.prefix, &id, &steps()))
                })
                .collect();
            for job in jobs {
                let _ = job.join();
            }
            std::thread::sleep(Duration::from_millis(500 + random.below(1500)));
        }
    });
    let mut random = Random::new(7);
    let mut at = 0;
    while record.now() < UNTIL_MS {
        std::thread::sleep(Duration::from_millis(500 + random.below(1000)));
        if trouble {
            at = (at + 1) % WORKERS;
            let cpu = site.world.lock().unwrap().workers[at].cpu;
            site.crash(at);
            std::thread::sleep(Duration::from_millis(DOWN_MS));
            site.restart(at, if cpu == LARGE { SMALL } else { LARGE })?;
        }
    }
    let _ = clients.join();
    Ok(())
}

/// Four tasks of 0.6 s on 15 cores.
fn steps() -> Vec<Step> {
    vec![Step {
        count: 4,
        cpu: 15_000,
        memory: 1000,
        work_ms: Some(600),
        ..Step::default()
    }]
}
