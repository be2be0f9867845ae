//! Clients that have left cancel their jobs, and get 410, while the store loses answers.

use std::sync::Arc;
use std::time::Duration;

use crate::random::Random;
use crate::record::Record;
use crate::site::{Route, Site};
use crate::store::Loss;
use crate::worker::Step;

/// Time after the acknowledgement of a cancel after which no task may start (`cancel_ms`).
const CANCEL_MS: u64 = 3000;

/// Time for a stop (`stopTimeoutMs`).
const STOP_TIMEOUT_MS: u64 = 200;

/// Time without disruption after which a machine is in touch (`contactMs`).
const CONTACT_MS: u64 = 3000;

/// When the store loses answers, and for how long.
const LOSSES_AT_MS: [u64; 2] = [5000, 16_000];
const LOSS_FOR_MS: u64 = 4500;

/// Time between two jobs.
const INTERVAL_MS: u64 = 80;

/// Share of the clients that leave, and the latest time at which they do: half of the objective of
/// 2.5 s.
const LEAVING: f64 = 0.25;
const LEAVES_WITHIN_MS: u64 = 1250;

const PREFIX: &str = "/watch/";

struct Cancel {
    id: String,
    status: u16,
    at_ms: u64,
}

pub fn play(record: Arc<Record>, trouble: bool) -> std::io::Result<()> {
    let routes = [Route {
        name: "r-watch",
        prefix: PREFIX,
        priority: 0,
    }];
    let site = Site::start(record.clone(), 3, 8, 64_000, &routes)?;
    let site = Arc::new(site);
    let mut random = Random::new(11);
    let mut clients = Vec::new();
    for loss_at in LOSSES_AT_MS {
        site.sleep_until(loss_at);
        if trouble {
            site.store.lose(Some(Loss {
                share: 0.35,
                late_ms: Some((1000, 6000)),
            }));
        }
        while record.now() < loss_at + LOSS_FOR_MS {
            let number = clients.len() as u64 + 1;
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000u64 + number);
            let leaves = random.share() < LEAVING;
            let leaves_after = Duration::from_millis(50 + random.below(LEAVES_WITHIN_MS - 50));
            let own = site.clone();
            clients.push(std::thread::spawn(move || {
                if leaves {
                    leave(&own, &id, leaves_after)
                } else {
                    own.submit(PREFIX, &id, &steps());
                    None
                }
            }));
            std::thread::sleep(Duration::from_millis(INTERVAL_MS));
        }
        site.store.lose(None);
    }
    let loss_ended = record.now();
    let cancels: Vec<Cancel> = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect();
    site.sleep_until(loss_ended + 12_000);
    judge(&site, &cancels, loss_ended);
    Ok(())
}

fn steps() -> Vec<Step> {
    vec![Step {
        count: 2,
        cpu: 1000,
        memory: 500,
        work_ms: None,
        ..Step::default()
    }]
}

/// Submits a job, leaves, and cancels the job. Returns the cancel if it was acknowledged.
fn leave(site: &Site, id: &str, leaves_after: Duration) -> Option<Cancel> {
    let body = site.job_body(id, &steps());
    let path = format!("{PREFIX}{id}");
    let sent = std::time::Instant::now();
    site.send("POST", &path, &body, leaves_after);
    std::thread::sleep(leaves_after.saturating_sub(sent.elapsed()));
    for _ in 0..4 {
        let answer = site.send("DELETE", &path, "", Duration::from_millis(3000));
        if let Some((status @ (200..=299 | 410), _)) = answer {
            let at_ms = site.record.now();
            return Some(Cancel {
                id: id.to_string(),
                status,
                at_ms,
            });
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    None
}

/// Checks UNASKED: nothing of a cancelled job starts later than `CANCEL_MS` after the
/// acknowledgement, or runs on after it and a stop, once the store has been calm for `CONTACT_MS`.
fn judge(site: &Site, cancels: &[Cancel], loss_ended: u64) {
    let world = site.world.lock().unwrap();
    let now = site.record.now();
    for cancel in cancels {
        let Cancel { id, status, at_ms } = cancel;
        let late = at_ms + CANCEL_MS;
        let calm = loss_ended + CONTACT_MS;
        for start in world.starts.iter().filter(|start| start.job == *id) {
            if start.at_ms > late && start.at_ms > calm {
                site.record.fault(format!(
                    "UNASKED: {} starts at {} ms; its job's cancel was answered with {status} at {at_ms} ms",
                    start.task, start.at_ms
                ));
            }
        }
        let runs = world.runs_of_job(id);
        if runs > 0 && now > late + STOP_TIMEOUT_MS && now > calm + STOP_TIMEOUT_MS {
            site.record.fault(format!(
                "UNASKED: {runs} tasks of {id} run at {now} ms; its cancel was answered with {status} at {at_ms} ms"
            ));
        }
    }
    site.record.note(format!(
        "{} cancels were acknowledged, {} of them with 410",
        cancels.len(),
        cancels.iter().filter(|cancel| cancel.status == 410).count()
    ));
}
