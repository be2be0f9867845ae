//! Adaptive concurrency limit of an endpoint, driven by its latency.

use crate::prelude::*;

/// Minimum number of samples for a review of the limit.
const REVIEW_SAMPLES: usize = 24;

/// Minimum time between two reviews.
const REVIEW_INTERVAL: Millis = Millis(500);

/// Ratio of median to floor up to which the limit is not reduced. With a smaller ratio, the noise
/// of a median of [`REVIEW_SAMPLES`] long-tailed samples would lower the limit of a healthy
/// endpoint.
const TOLERANCE: f64 = 2.0;

/// Factor of the largest reduction in one review.
const MIN_GRADIENT: f64 = 0.8;

/// Consecutive reviews with a high median before the limit is reduced. Otherwise the reductions
/// after short slow phases at small limits would cost more capacity than the phases themselves.
const SLOW_REVIEWS: u32 = 2;

/// Ratio of the medians after and before a reduction up to which the reduction was effective.
const EFFECTIVE_RATIO: f64 = 0.9;

/// Factor by which a stalled request reduces the limit.
const STALL_FACTOR: f64 = 0.7;

/// Weight of a median that is below the floor in the new floor.
const FLOOR_FALL_WEIGHT: f64 = 0.5;

/// Factor by which the floor grows per review, so that it follows lasting changes of the service
/// time.
const FLOOR_RISE_FACTOR: f64 = 1.02;

/// Limit of the requests in flight at one endpoint, between one and the slots held there.
///
/// The limit falls with the ratio of the latency floor to the current median, and grows by one per
/// review while it is fully used and the median is near the floor. A reduction that does not lower
/// the median is undone, since the endpoint is slow for another reason.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    floor: Option<f64>,
    samples: Vec<u64>,
    reviewed_at: Millis,
    peak_in_flight: u32,
    slow_reviews: u32,
    reduction: Option<Reduction>,
}

/// State before a reduction whose effect is not known yet.
#[derive(Clone, Copy, Debug)]
struct Reduction {
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
            reviewed_at: Millis::ZERO,
            peak_in_flight: 0,
            slow_reviews: 0,
            reduction: None,
        }
    }

    /// Returns the number of requests that may be in flight.
    pub fn get(&self) -> u32 {
        (self.limit.round() as u32).max(1).min(self.slots)
    }

    /// Changes the number of slots. A limit that allowed all slots continues to do so.
    pub fn set_slots(&mut self, slots: u32) {
        let unrestricted = self.get() == self.slots;
        self.slots = slots;
        if unrestricted || self.limit > f64::from(slots) {
            self.limit = f64::from(slots);
        }
    }

    /// Records the latency of a response that completed with `in_flight` requests at the endpoint.
    pub fn record(&mut self, latency: Millis, in_flight: u32, now: Millis) {
        self.samples.push(latency.get());
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        let due = now.since(self.reviewed_at) >= REVIEW_INTERVAL;
        if due && self.samples.len() >= REVIEW_SAMPLES {
            self.review(now);
        } else if self.samples.len() >= 4 * REVIEW_SAMPLES {
            self.samples.drain(..REVIEW_SAMPLES);
        }
    }

    /// Reduces the limit after a request that stalled.
    pub fn record_stall(&mut self) {
        self.limit = (self.limit * STALL_FACTOR).max(1.0);
    }

    fn review(&mut self, now: Millis) {
        let middle = self.samples.len() / 2;
        let (_, median, _) = self.samples.select_nth_unstable(middle);
        let median = (*median as f64).max(1.0);
        self.undo_ineffective_reduction(median);
        let floor = self.update_floor(median);
        let gradient = (TOLERANCE * floor / median).clamp(MIN_GRADIENT, 1.0);
        if gradient >= 1.0 {
            self.slow_reviews = 0;
            if self.peak_in_flight >= self.get() {
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
        } else {
            self.slow_reviews += 1;
            if self.slow_reviews >= SLOW_REVIEWS && self.get() > 1 {
                self.reduction = Some(Reduction {
                    limit: self.limit,
                    median,
                });
                let one_less = f64::from(self.get() - 1);
                self.limit = (self.limit * gradient).clamp(1.0, one_less);
            }
        }
        self.samples.clear();
        self.peak_in_flight = 0;
        self.reviewed_at = now;
    }

    /// Restores the limit and raises the floor to the median if the last reduction did not lower
    /// the latency.
    fn undo_ineffective_reduction(&mut self, median: f64) {
        if let Some(reduction) = self.reduction.take()
            && median > reduction.median * EFFECTIVE_RATIO
        {
            self.limit = reduction.limit.min(f64::from(self.slots));
            self.floor = Some(median);
        }
    }

    fn update_floor(&mut self, median: f64) -> f64 {
        let floor = match self.floor {
            None => median,
            Some(floor) if median < floor => floor + (median - floor) * FLOOR_FALL_WEIGHT,
            Some(floor) => (floor * FLOOR_RISE_FACTOR).min(median),
        };
        self.floor = Some(floor);
        floor
    }
}
