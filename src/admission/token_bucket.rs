//! Token bucket that limits how often something happens.

use crate::prelude::*;

/// A token bucket in which one token allows one event.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens that are gained in each period.
    rate: f64,
    period: Millis,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, period: Millis, burst: f64, now: Millis) -> Self {
        Self {
            rate,
            period,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Sets the limits. Tokens above the new burst are discarded.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
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
        let periods = now.since(self.refilled_at).0 as f64 / self.period.0 as f64;
        self.tokens = (self.tokens + periods * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
