//! Rate of events over the last seconds.

use crate::prelude::*;

/// Length of one measurement.
const PERIOD: Millis = Millis(250);

/// Weight of the newest period in the average.
const NEW_WEIGHT: f64 = 0.4;

/// Counts events per millisecond.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    started: Millis,
    count: u32,
    rate: f64,
}

impl RateMeter {
    /// Counts one event.
    pub fn record(&mut self, now: Millis) {
        self.advance(now);
        self.count += 1;
    }

    /// Closes a measurement that is due.
    pub fn advance(&mut self, now: Millis) {
        let span = now.since(self.started);
        if span < PERIOD {
            return;
        }
        let latest = f64::from(self.count) / span.get() as f64;
        let periods = (span.get() / PERIOD.get()).min(64) as i32;
        let keep = (1.0 - NEW_WEIGHT).powi(periods);
        self.rate = self.rate * keep + latest * (1.0 - keep);
        self.count = 0;
        self.started = now;
    }

    /// Returns events per millisecond.
    pub fn per_ms(&self) -> f64 {
        self.rate
    }
}
