//! How far a serving run stays below its target.

use super::interference::Uses;
use crate::prelude::*;

/// Time between two readings that are compared; a tail is a figure of half a second.
const READING_GAP: Millis = Millis(450);

/// Time after which two readings say little about what changed between them.
const READING_SPAN: Millis = Millis(1000);

/// Weight of a new reading in the slack that a run would have beside nothing.
const BASE_GAIN: f64 = 0.6;

/// Weight of a new reading in the rate at which that slack changes.
const TREND_GAIN: f64 = 0.4;

/// Fastest change of slack a second: load that swings by half within 14 s changes by 0.5.
const MOST_TREND: f64 = 0.6;

/// Readings of one serving run.
#[derive(Clone, Debug, Default)]
pub(super) struct Slack {
    /// Slack beside nothing, if there is a reading.
    base: Option<f64>,
    /// Change of `base` a second.
    trend: f64,
    at: Millis,
    slack: f64,
    uses: Arc<Uses>,
}

/// What a reading was compared with.
pub(super) struct Earlier {
    pub slack: f64,
    pub uses: Arc<Uses>,
}

impl Slack {
    /// Tells whether enough time has passed for another reading.
    pub fn is_due(&self, now: Millis) -> bool {
        self.base.is_none() || now.since(self.at) >= READING_GAP
    }

    /// Takes a reading; returns the one before if both can be compared.
    pub fn read(&mut self, slack: f64, loss: f64, uses: Arc<Uses>, now: Millis) -> Option<Earlier> {
        let gap = now.since(self.at);
        let beside_nothing = slack + loss;
        let earlier = Earlier {
            slack: self.slack,
            uses: std::mem::replace(&mut self.uses, uses),
        };
        self.slack = slack;
        self.at = now;
        let Some(base) = self.base.filter(|_| gap <= READING_SPAN) else {
            self.base = Some(beside_nothing);
            self.trend = 0.0;
            return None;
        };
        let new = base + BASE_GAIN * (beside_nothing - base);
        let rate = (new - base) * 1000.0 / gap.0.max(1) as f64;
        self.trend += TREND_GAIN * (rate.clamp(-MOST_TREND, MOST_TREND) - self.trend);
        self.base = Some(new);
        Some(earlier)
    }

    /// Expects the slack beside nothing some time ahead; a rise is not counted on.
    pub fn ahead(&self, seconds: f64) -> Option<f64> {
        Some(self.base? + self.trend.min(0.0) * seconds)
    }
}
