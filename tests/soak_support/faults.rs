//! Faults of the soak, injected from outside of the daemons.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::platform_support::Site;

/// Draws faults from a seed; they come in series and overlap.
pub struct Faults {
    rng: ChaCha8Rng,
    story: Vec<String>,
    stopped: Vec<usize>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            story: Vec::new(),
            stopped: Vec::new(),
        }
    }

    /// Injects one fault, or ends some, and waits a little.
    pub async fn next(&mut self, site: &mut Site) {
        let daemon = self.rng.random_range(0..site.daemons.len());
        let worker = self.rng.random_range(0..site.workers.len());
        let ms = self.rng.random_range(5..400);
        let (up, down) = (self.rng.random_bool(0.7), self.rng.random_bool(0.7));
        let kind = self.rng.random_range(0..16);
        self.story.push(format!(
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
                self.stopped.push(daemon);
            }
            9 => target.signal(Signal::KILL),
            10 => target.signal(Signal::TERM),
            11 => target.signal(Signal::HUP),
            12 => site.store.remove("sapphirecroft/leader"),
            13 => site.store.forget_history(),
            14 => {
                site.store.lose_writes(2);
                site.workers[worker].lose_starts(2);
            }
            _ => {
                site.workers[worker].restart();
                site.register(worker);
            }
        }
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
            self.revive(site);
        }
    }

    /// Ends all faults and starts what has ended.
    pub async fn heal(&mut self, site: &mut Site) {
        site.store.set_down(false);
        site.store.lose_writes(0);
        for worker in &site.workers {
            worker.lose_starts(0);
        }
        self.heal_links(site);
        // A daemon that was asked to end takes up to its grace time.
        for _ in 0..7 {
            self.revive(site);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Prints what was done, for a run that failed.
    pub fn print(&self) {
        for line in &self.story {
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

    fn revive(&mut self, site: &mut Site) {
        for at in self.stopped.drain(..) {
            site.daemons[at].signal(Signal::CONT);
        }
        for daemon in &mut site.daemons {
            daemon.revive();
        }
    }
}
