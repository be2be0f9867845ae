//! Sliding-window histogram of latencies.

use crate::prelude::*;

/// Length of one generation of samples. A quantile covers between one and two generations.
const GENERATION: Millis = Millis::from_secs(5);

/// Latencies below this value, in milliseconds, have a bucket each.
const LINEAR: u64 = 16;

/// Buckets per doubling of the latency above [`LINEAR`]. The relative error stays under 7%.
const PER_OCTAVE: u64 = 8;

/// Highest power of two, in milliseconds, with buckets of its own. Longer latencies share the
/// last bucket.
const MAX_OCTAVE: u64 = 20;

const BUCKETS: usize = (LINEAR + (MAX_OCTAVE - 3) * PER_OCTAVE) as usize;

/// Histogram of the latencies of the last seconds.
///
/// Old samples are dropped even if no new ones arrive. Otherwise an estimate that causes every
/// request to be refused would never change.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Generation,
    previous: Generation,
    started_at: Millis,
}

#[derive(Clone, Debug)]
struct Generation {
    counts: [u32; BUCKETS],
    total: u64,
    sum: u64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: Generation::default(),
            previous: Generation::default(),
            started_at: Millis::ZERO,
        }
    }
}

impl Default for Generation {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            sum: 0,
        }
    }
}

impl LatencyWindow {
    /// Adds a sample.
    pub fn record(&mut self, latency: Millis, now: Millis) {
        self.advance(now);
        self.current.counts[bucket(latency.get())] += 1;
        self.current.total += 1;
        self.current.sum = self.current.sum.saturating_add(latency.get());
    }

    /// Starts a new generation if the current one is complete, and drops samples older than two
    /// generations.
    pub fn advance(&mut self, now: Millis) {
        let age = now.since(self.started_at);
        if age < GENERATION {
            return;
        }
        let recent = age < GENERATION + GENERATION;
        let current = std::mem::take(&mut self.current);
        self.previous = if recent {
            current
        } else {
            Generation::default()
        };
        self.started_at = now;
    }

    /// Returns the number of samples in the window.
    pub fn len(&self) -> u64 {
        self.current.total + self.previous.total
    }

    /// Returns whether the window holds no sample.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the mean in milliseconds, at least one, or `None` without samples.
    pub fn mean(&self) -> Option<f64> {
        let total = self.len();
        let sum = self.current.sum.saturating_add(self.previous.sum);
        (total > 0).then(|| (sum as f64 / total as f64).max(1.0))
    }

    /// Returns the quantile at `permille` thousandths, or `None` without samples.
    pub fn quantile(&self, permille: u64) -> Option<Millis> {
        let total = self.len();
        if total == 0 {
            return None;
        }
        let rank = (total * permille).div_ceil(1000).max(1);
        let mut cumulative = 0;
        for at in 0..BUCKETS {
            cumulative += u64::from(self.current.counts[at]) + u64::from(self.previous.counts[at]);
            if cumulative >= rank {
                return Some(Millis(lower_bound(at as u64)));
            }
        }
        Some(Millis(lower_bound(BUCKETS as u64 - 1)))
    }
}

fn bucket(ms: u64) -> usize {
    let ms = ms.min((1 << (MAX_OCTAVE + 1)) - 1);
    if ms < LINEAR {
        return ms as usize;
    }
    let octave = u64::from(ms.ilog2());
    let step = (ms >> (octave - 3)) & (PER_OCTAVE - 1);
    (LINEAR + (octave - 4) * PER_OCTAVE + step) as usize
}

fn lower_bound(bucket: u64) -> u64 {
    if bucket < LINEAR {
        return bucket;
    }
    let octave = (bucket - LINEAR) / PER_OCTAVE + 4;
    let step = (bucket - LINEAR) % PER_OCTAVE;
    (PER_OCTAVE + step) << (octave - 3)
}
