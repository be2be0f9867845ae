//! Adapts the concurrency of an endpoint to its latency.

use crate::prelude::*;

/// Samples after which the limit is reviewed.
const REVIEW_SAMPLES: usize = 24;

/// Shortest time between two reviews.
const REVIEW_INTERVAL: Millis = Millis(500);

/// Ratio of median to floor that is tolerated; below it, the noise of a median of
/// [`REVIEW_SAMPLES`] long-tailed samples would lower the limit of a healthy endpoint.
const TOLERANCE: f64 = 2.0;

/// Largest reduction in one review.
const MIN_GRADIENT: f64 = 0.8;

/// Reviews in a row with a high median before the limit is reduced; short phases of slowness at
/// small limits would otherwise cost more capacity than they take.
const SLOW_REVIEWS: u32 = 2;

/// Ratio of the medians after and before a reduction below which it has helped.
const HELPFUL: f64 = 0.9;

/// Reduction after a request that made no progress.
const STALL_FACTOR: f64 = 0.7;

/// Weight of a median below the floor.
const FLOOR_FALL: f64 = 0.5;

/// Growth of the floor in a review, so that lasting changes of the service time are accepted.
const FLOOR_RISE: f64 = 1.02;

/// Limit of requests in progress at one endpoint, between one and the slots held there.
///
/// The limit falls with the ratio of the latency floor to the current median, and grows by one
/// per review while it is used in full and the median is near the floor. A reduction that does
/// not lower the median is undone: the endpoint is slow for another reason.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    floor: Option<f64>,
    samples: Vec<u64>,
    reviewed: Millis,
    peak: u32,
    slow_reviews: u32,
    cut: Option<Cut>,
}

/// A reduction whose effect is not known yet.
#[derive(Clone, Copy, Debug)]
struct Cut {
    limit: f64,
    median: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            floor: None,
            samples: Vec::new(),
            reviewed: Millis::ZERO,
            peak: 0,
            slow_reviews: 0,
            cut: None,
        }
    }

    /// Returns the requests that may be in progress.
    pub fn get(&self) -> u32 {
        (self.limit.round() as u32).max(1).min(self.slots)
    }

    /// Changes the number of slots; an unrestricted limit follows it.
    pub fn set_slots(&mut self, slots: u32) {
        let unrestricted = self.get() == self.slots;
        self.slots = slots;
        if unrestricted || self.limit > f64::from(slots) {
            self.limit = f64::from(slots);
        }
    }

    /// Records the latency of an answer that ended with `in_progress` requests at the endpoint.
    pub fn record(&mut self, latency: Millis, in_progress: u32, now: Millis) {
        self.samples.push(latency.get());
        self.peak = self.peak.max(in_progress);
        let due = now.since(self.reviewed) >= REVIEW_INTERVAL;
        if due && self.samples.len() >= REVIEW_SAMPLES {
            self.review(now);
        } else if self.samples.len() >= 4 * REVIEW_SAMPLES {
            self.samples.drain(..REVIEW_SAMPLES);
        }
    }

    /// Reduces the limit after a request that made no progress.
    pub fn record_stall(&mut self) {
        self.limit = (self.limit * STALL_FACTOR).max(1.0);
    }

    fn review(&mut self, now: Millis) {
        let middle = self.samples.len() / 2;
        let (_, median, _) = self.samples.select_nth_unstable(middle);
        let median = (*median as f64).max(1.0);
        self.undo_useless_cut(median);
        let floor = self.learn_floor(median);
        let gradient = (TOLERANCE * floor / median).clamp(MIN_GRADIENT, 1.0);
        if gradient >= 1.0 {
            self.slow_reviews = 0;
            if self.peak >= self.get() {
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
        } else {
            self.slow_reviews += 1;
            if self.slow_reviews >= SLOW_REVIEWS && self.get() > 1 {
                self.cut = Some(Cut {
                    limit: self.limit,
                    median,
                });
                let one_less = f64::from(self.get() - 1);
                self.limit = (self.limit * gradient).clamp(1.0, one_less);
            }
        }
        self.samples.clear();
        self.peak = 0;
        self.reviewed = now;
    }

    /// Restores the limit and accepts the latency if less concurrency did not improve it.
    fn undo_useless_cut(&mut self, median: f64) {
        if let Some(cut) = self.cut.take()
            && median > cut.median * HELPFUL
        {
            self.limit = cut.limit.min(f64::from(self.slots));
            self.floor = Some(median);
        }
    }

    fn learn_floor(&mut self, median: f64) -> f64 {
        let floor = match self.floor {
            None => median,
            Some(floor) if median < floor => floor + (median - floor) * FLOOR_FALL,
            Some(floor) => (floor * FLOOR_RISE).min(median),
        };
        self.floor = Some(floor);
        floor
    }
}
