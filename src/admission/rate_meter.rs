//! Event rate as a moving average.

use crate::prelude::*;

/// Length of one averaging period.
const PERIOD: Millis = Millis(250);

/// Weight of the newest period in the average.
const NEW_WEIGHT: f64 = 0.4;

/// Exponentially weighted moving average of an event rate.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    period_start: Millis,
    count: u32,
    rate: f64,
}

impl RateMeter {
    /// Counts one event.
    pub fn record(&mut self, now: Millis) {
        self.advance(now);
        self.count += 1;
    }

    /// Folds the current period into the average if it is complete.
    pub fn advance(&mut self, now: Millis) {
        let span = now.since(self.period_start);
        if span < PERIOD {
            return;
        }
        let latest = f64::from(self.count) / span.get() as f64;
        let periods = (span.get() / PERIOD.get()).min(64) as i32;
        let keep = (1.0 - NEW_WEIGHT).powi(periods);
        self.rate = self.rate * keep + latest * (1.0 - keep);
        self.count = 0;
        self.period_start = now;
    }

    /// Returns the average rate in events per millisecond.
    pub fn per_ms(&self) -> f64 {
        self.rate
    }
}
