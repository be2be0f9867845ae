//! Leaders are stopped and started again in turn, while the store loses answers and a worker is cut
//! off and runs on.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::site::{Route, Site};
use crate::store::Loss;
use crate::worker::Step;

const DAEMONS: usize = 4;
const WORKERS: usize = 6;

/// Rounds, and the time between two.
const ROUNDS: u64 = 10;
const ROUND_MS: u64 = 9500;

/// Time for which a worker is cut off in each round.
const CUT_FOR_MS: u64 = 5500;

/// Time for which the store loses answers in each round.
const LOSS_FOR_MS: u64 = 4500;

/// Time from the cut to the stop of the leader.
const STOP_AFTER_MS: u64 = 500;

const JOBS: u64 = 9;

const WATCH: Route = Route {
    name: "r-watch",
    prefix: "/watch/",
    priority: 0,
};

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let site = Site::start(record.clone(), DAEMONS, WORKERS, 16_000, &[WATCH])?;
    for at in 0..JOBS {
        let id = format!("{:016x}", 0x2b00_0000_0000_0000u64 + at);
        site.submit(WATCH.prefix, &id, &steps());
    }
    let from_ms = record.now() + 2000;
    for round in 0..ROUNDS {
        let began_ms = from_ms + round * ROUND_MS;
        let worker = round as usize % WORKERS;
        site.sleep_until(began_ms);
        if trouble {
            site.world.lock().unwrap().cut(worker, true);
            site.store.lose(Some(Loss {
                share: 0.35,
                late_ms: None,
            }));
        }
        site.sleep_until(began_ms + STOP_AFTER_MS);
        if trouble {
            site.terminate_leader()?;
        }
        site.sleep_until(began_ms + LOSS_FOR_MS);
        site.store.lose(None);
        site.sleep_until(began_ms + CUT_FOR_MS);
        site.world.lock().unwrap().cut(worker, false);
        while record.now() < began_ms + ROUND_MS - 200 {
            site.restart_ended()?;
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// Six tasks that last, each on 1.5 cores.
fn steps() -> Vec<Step> {
    vec![Step {
        count: 6,
        cpu: 1500,
        memory: 1000,
        work_ms: None,
        ..Step::default()
    }]
}
