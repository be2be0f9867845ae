//! Workers crash and start again under their ids, while short jobs come steadily.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::overlap::count_overlaps;
use crate::random::Random;
use crate::site::{Plan, Site, job};

const WORKERS: usize = 56;

/// Racks of eight workers.
const RACKS: usize = 7;

/// Workers that crash together: an eighth of them.
const CRASHING: usize = 7;

/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(300);

/// Time between two crashes of some workers.
const CRASH_INTERVAL: Duration = Duration::from_secs(4);

/// Time before the first crash.
const CALM: Duration = Duration::from_secs(14);

/// Time for which jobs come.
const TRAFFIC: Duration = Duration::from_secs(90);

/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(200);

pub fn run(record: &Path, trouble: bool) -> Option<bool> {
    let plan = Plan {
        workers: WORKERS,
        daemons: 3,
        special: 0,
        cpu: 8000,
        stop_timeout_ms: 900,
        stop_ms: 450,
        max_attempts: 3,
    };
    let mut site = Site::start(&plan, record)?;
    let mut random = Random::new();
    let started = Instant::now();
    let (mut next_job, mut next_crash) = (started, started + CALM);
    let mut down: Vec<(Instant, usize)> = Vec::new();
    let mut jobs = Vec::new();
    while started.elapsed() < TRAFFIC {
        let now = Instant::now();
        if now >= next_job {
            next_job += JOB_INTERVAL;
            let id = format!("{:016x}", 0xa000 + jobs.len());
            let rack = format!("r{}", jobs.len() % RACKS);
            let body = job("work=500", 7, 8000, 500, &rack);
            let status = site.submit(jobs.len(), &id, &body);
            if status == 200 {
                jobs.push(id);
            }
        }
        if trouble && now >= next_crash && started.elapsed() + CRASH_INTERVAL < TRAFFIC {
            next_crash += CRASH_INTERVAL;
            let mut killed = Vec::new();
            while killed.len() < CRASHING {
                let at = random.below(WORKERS);
                if site.workers[at].is_up() {
                    site.workers[at].kill();
                    down.push((now + DOWN, at));
                    killed.push(site.workers[at].id.clone());
                }
            }
            site.note(&format!("killed {}", killed.join(" ")));
        }
        let back: Vec<usize> = down
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, at)| *at)
            .collect();
        down.retain(|(at, _)| *at > now);
        for at in back {
            site.workers[at].restart();
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let left = |site: &Site| {
        let is_open = |id: &&String| !matches!(site.state(0, id).as_str(), "completed" | "failed");
        jobs.iter().filter(is_open).count()
    };
    let until = Instant::now() + Duration::from_secs(10);
    while left(&site) > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(200));
    }
    site.note(&format!("{} jobs accepted", jobs.len()));
    Some(count_overlaps(&mut site) == 0)
}
