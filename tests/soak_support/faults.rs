//! Faults of the soak test, injected from outside the daemons.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::platform_support::{CAPACITY, Site, call, crashing_job};

/// Distinguishes the randomness of the workers' faults from that of the others.
const WORKER_SEED: u64 = 1 << 63;

/// Distinguishes the randomness of the store's faults from that of the others.
const STORE_SEED: u64 = 1 << 62;

/// Maximum number of jobs that crash workers in one run, for the run has few workers.
const MAX_CRASHING_JOBS: usize = 2;

/// Number in the id of the first of these jobs; no other job has it.
const FIRST_CRASHING_ID: u64 = 0xdead_0000;

/// A random sequence of overlapping faults, derived from a seed.
pub struct Faults {
    rng: ChaCha8Rng,
    /// Randomness of the workers' faults; apart, so that they do not change the other faults of a
    /// seed.
    worker_rng: ChaCha8Rng,
    /// Randomness of writes that are lost or late; apart for the same reason.
    store_rng: ChaCha8Rng,
    crashing_jobs: Vec<String>,
    history: Vec<String>,
    suspended: Vec<usize>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            worker_rng: ChaCha8Rng::seed_from_u64(seed ^ WORKER_SEED),
            store_rng: ChaCha8Rng::seed_from_u64(seed ^ STORE_SEED),
            crashing_jobs: Vec::new(),
            history: Vec::new(),
            suspended: Vec::new(),
        }
    }

    /// Injects one fault, waits for a random time and may end earlier faults.
    pub async fn inject_next(&mut self, site: &mut Site) {
        let daemon = self.rng.random_range(0..site.daemons.len());
        let worker = self.rng.random_range(0..site.workers.len());
        let ms = self.rng.random_range(5..400);
        let (up, down) = (self.rng.random_bool(0.7), self.rng.random_bool(0.7));
        let kind = self.rng.random_range(0..16);
        self.history.push(format!(
            "kind {kind} daemon {daemon} worker {worker} ms {ms} up {up} down {down}"
        ));
        let target = &site.daemons[daemon];
        match kind {
            0 => target.store_link.delay(Duration::from_millis(ms)),
            1 => target.store_link.cut(up, down),
            2 => target.store_link.silence_open(),
            3 => target.store_link.reset_open(),
            4 => site.worker_links[worker].cut(up, down),
            5 => site.worker_links[worker].silence_open(),
            6 => site.worker_links[worker].reset_open(),
            7 => site.worker_links[worker].delay(Duration::from_millis(ms)),
            8 => {
                target.signal(Signal::STOP);
                self.suspended.push(daemon);
            }
            9 => target.signal(Signal::KILL),
            10 => target.signal(Signal::TERM),
            11 => target.signal(Signal::HUP),
            12 => site.store.remove("sapphirecroft/leader"),
            13 => site.store.compact_history(),
            14 => {
                site.store.drop_write_responses(2);
                site.workers[worker].drop_start_responses(2);
            }
            _ => {
                site.workers[worker].restart();
                site.register(worker);
            }
        }
        self.inject_worker_fault(site);
        self.inject_store_fault(site);
        if self.rng.random_bool(0.15) {
            site.store.set_down(true);
        }
        let pause = self.rng.random_range(20..700);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if self.rng.random_bool(0.5) {
            site.store.set_down(false);
        }
        if self.rng.random_bool(0.4) {
            self.heal_links(site);
        }
        if self.rng.random_bool(0.5) {
            self.resume_daemons(site);
        }
    }

    /// In some rounds, lets a worker shrink or grow again, or submits a job that crashes workers.
    fn inject_worker_fault(&mut self, site: &Site) {
        let worker = self.worker_rng.random_range(0..site.workers.len());
        let percent = self.worker_rng.random_range(0..100);
        let kind = self.worker_rng.random_range(0..8);
        let percent = match kind {
            0 => percent,
            1 => 0,
            2 => 100,
            3 if self.crashing_jobs.len() < MAX_CRASHING_JOBS => {
                self.submit_crashing_job(site);
                return;
            }
            _ => return,
        };
        self.history
            .push(format!("worker {worker} has {percent}% of its capacity"));
        let (cpu, memory) = CAPACITY;
        site.workers[worker].set_capacity(cpu * percent / 100, memory * percent / 100);
    }

    /// In some rounds, loses the answer of the next claim of leadership, or carries out the next
    /// writes of jobs and cancellations late.
    fn inject_store_fault(&mut self, site: &Site) {
        let kind = self.store_rng.random_range(0..8);
        let count = self.store_rng.random_range(1..4);
        let after = Duration::from_millis(self.store_rng.random_range(100..4000));
        match kind {
            0 => {
                self.history
                    .push("the next claim gets no answer".to_string());
                site.store.drop_claim_responses(1);
            }
            1 => {
                let text = format!("the next {count} writes of jobs are {after:?} late");
                self.history.push(text);
                site.store.delay_intake_writes(count, after);
            }
            _ => {}
        }
    }

    fn submit_crashing_job(&mut self, site: &Site) {
        let id = format!(
            "{:016x}",
            FIRST_CRASHING_ID + self.crashing_jobs.len() as u64
        );
        let daemon = self.worker_rng.random_range(0..site.daemons.len());
        self.history
            .push(format!("job {id} of a crashing task at daemon {daemon}"));
        let frontend = site.daemons[daemon].frontend;
        let path = format!("/queue/{id}");
        self.crashing_jobs.push(id);
        // A suspended daemon must not delay the next fault. Whether the job is accepted is not
        // known; what its tasks do is checked where they start.
        tokio::spawn(async move {
            call(frontend, "POST", &path, &crashing_job().to_string()).await;
        });
    }

    /// Returns the ids of the submitted jobs that crash workers.
    pub fn crashing_jobs(&self) -> &[String] {
        &self.crashing_jobs
    }

    /// Ends all faults and restarts daemons that have exited.
    pub async fn heal(&mut self, site: &mut Site) {
        site.store.set_down(false);
        site.store.drop_write_responses(0);
        site.store.drop_claim_responses(0);
        site.store.delay_intake_writes(0, Duration::ZERO);
        for worker in &site.workers {
            worker.drop_start_responses(0);
            worker.set_capacity(CAPACITY.0, CAPACITY.1);
        }
        self.heal_links(site);
        // A daemon that has received SIGTERM may take its whole grace period to exit.
        for _ in 0..7 {
            self.resume_daemons(site);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Prints the injected faults of a failed run.
    pub fn print(&self) {
        for line in &self.history {
            println!("{line}");
        }
    }

    fn heal_links(&self, site: &Site) {
        for link in &site.worker_links {
            link.heal();
        }
        for daemon in &site.daemons {
            daemon.store_link.heal();
        }
    }

    fn resume_daemons(&mut self, site: &mut Site) {
        for at in self.suspended.drain(..) {
            site.daemons[at].signal(Signal::CONT);
        }
        for daemon in &mut site.daemons {
            daemon.restart_if_exited();
        }
    }
}
