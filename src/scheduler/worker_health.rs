//! Distinguishes a failing worker from failing tasks.

use crate::prelude::*;

/// Cool-down after two consecutive failures; a partial failure of a worker lasts about this long.
const FIRST_COOLDOWN: Millis = Millis(3000);

/// Maximum cool-down, so that a repaired worker is found within a few seconds.
const MAX_COOLDOWN: Millis = Millis(8000);

/// Consecutive failures after which a worker cools down.
const FAILURES_TO_COOL_DOWN: u32 = 2;

/// Time after a failure during which a worker gets no task at its last attempt. Such a task runs
/// for about a second, so a failing worker fails again within this time.
const SUSPECT_PERIOD: Millis = Millis(4000);

/// Consecutive failures of one worker, and the restrictions that follow from them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerHealth {
    consecutive_failures: u32,
    cooldowns: u32,
    cooldown_until: Millis,
    suspect_until: Millis,
}

impl WorkerHealth {
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    pub fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        self.suspect_until = now + SUSPECT_PERIOD;
        if self.consecutive_failures >= FAILURES_TO_COOL_DOWN {
            self.cool_down(now);
        }
    }

    /// Takes the worker out of use for a while; each further cool-down is longer, up to the
    /// maximum.
    pub fn cool_down(&mut self, now: Millis) {
        let span = FIRST_COOLDOWN.scale_permille(1000 << self.cooldowns.min(3));
        self.cooldown_until = now + span.min(MAX_COOLDOWN);
        self.suspect_until = self.cooldown_until + SUSPECT_PERIOD;
        self.cooldowns += 1;
    }

    pub fn is_cooling_down(&self, now: Millis) -> bool {
        now < self.cooldown_until
    }

    /// Returns whether the worker may be the cause of its last failures.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }
}
