//! Estimates how far a serving run stays below its latency target.

use super::interference::CpuShares;
use crate::prelude::*;

/// Minimum time between two readings that are compared; a reported tail covers half a second.
const MIN_READING_INTERVAL: Millis = Millis(450);

/// Time after which two readings say little about what changed between them.
const MAX_READING_INTERVAL: Millis = Millis(1000);

/// Weight of a new reading in the baseline.
const BASELINE_GAIN: f64 = 0.6;

/// Weight of a new reading in the trend of the baseline.
const TREND_GAIN: f64 = 0.4;

/// Maximum change of slack per second; a load that changes by half within 14 s changes it by 0.5.
const MAX_TREND: f64 = 0.6;

/// Slack readings of one serving run.
#[derive(Clone, Debug, Default)]
pub(super) struct SlackEstimate {
    /// Slack without best-effort neighbours; `None` before the first reading.
    baseline: Option<f64>,
    /// Change of `baseline` per second.
    trend: f64,
    read_at: Millis,
    slack: f64,
    uses: Arc<CpuShares>,
}

/// The reading that a new one is compared with.
pub(super) struct PreviousReading {
    pub slack: f64,
    pub uses: Arc<CpuShares>,
}

impl SlackEstimate {
    /// Returns whether enough time has passed for another reading.
    pub fn is_due(&self, now: Millis) -> bool {
        self.baseline.is_none() || now.since(self.read_at) >= MIN_READING_INTERVAL
    }

    /// Adds a reading; returns the previous one if both can be compared.
    pub fn add_reading(
        &mut self,
        slack: f64,
        loss: f64,
        uses: Arc<CpuShares>,
        now: Millis,
    ) -> Option<PreviousReading> {
        let gap = now.since(self.read_at);
        let without_neighbours = slack + loss;
        let previous = PreviousReading {
            slack: self.slack,
            uses: std::mem::replace(&mut self.uses, uses),
        };
        self.slack = slack;
        self.read_at = now;
        let Some(baseline) = self.baseline.filter(|_| gap <= MAX_READING_INTERVAL) else {
            self.baseline = Some(without_neighbours);
            self.trend = 0.0;
            return None;
        };
        let new = baseline + BASELINE_GAIN * (without_neighbours - baseline);
        let rate = (new - baseline) * 1000.0 / gap.0.max(1) as f64;
        self.trend += TREND_GAIN * (rate.clamp(-MAX_TREND, MAX_TREND) - self.trend);
        self.baseline = Some(new);
        Some(previous)
    }

    /// Predicts the slack without best-effort neighbours; an upward trend is ignored.
    pub fn predict(&self, seconds: f64) -> Option<f64> {
        Some(self.baseline? + self.trend.min(0.0) * seconds)
    }
}
