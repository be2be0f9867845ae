//! Capacity of a worker stand-in over time.

use std::time::{Duration, Instant};

/// CPU and memory of each worker at first, in millicores and MiB.
pub const CAPACITY: (u64, u64) = (4000, 16_000);

/// Interval at which a worker writes its entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after which a smaller capacity counts, from the heartbeat that shows it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The capacities of a worker since its start, in order of time.
pub struct CapacityHistory {
    changes: Vec<(Instant, (u64, u64))>,
}

impl CapacityHistory {
    pub fn new() -> Self {
        Self {
            changes: vec![(Instant::now(), CAPACITY)],
        }
    }

    /// Changes the capacity from now on.
    pub fn set(&mut self, cpu: u64, memory: u64) {
        self.changes.push((Instant::now(), (cpu, memory)));
    }

    /// Returns the present capacity.
    pub fn present(&self) -> (u64, u64) {
        self.changes
            .last()
            .map_or(CAPACITY, |(_, capacity)| *capacity)
    }

    /// Returns whether the resources fit a capacity that counts now: the present one, or one that
    /// was replaced so lately that a leader need not know.
    pub fn allows(&self, cpu: u64, memory: u64) -> bool {
        let grace = CONTACT_TIME + HEARTBEAT_INTERVAL;
        let replaced_at = self.changes.iter().skip(1).map(|(at, _)| Some(*at));
        self.changes
            .iter()
            .zip(replaced_at.chain([None]))
            .filter(|(_, replaced_at)| replaced_at.is_none_or(|at| at.elapsed() < grace))
            .any(|((_, capacity), _)| cpu <= capacity.0 && memory <= capacity.1)
    }
}
