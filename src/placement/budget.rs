//! Token bucket that limits evictions.

use crate::prelude::*;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// A token bucket in which one token allows one eviction.
#[derive(Clone, Debug)]
pub struct EvictionBudget {
    per_hour: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl EvictionBudget {
    /// Creates a full bucket.
    pub fn new(per_hour: f64, burst: f64, now: Millis) -> Self {
        Self {
            per_hour,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Sets the limits. Tokens above the new burst are discarded.
    pub fn set_limits(&mut self, per_hour: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.per_hour = per_hour;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token. Returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).0 as f64 * self.per_hour / MS_PER_HOUR;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
