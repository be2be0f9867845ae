//! Pause between two polls of one worker.
//!
//! Load pattern: under overload most runs are short, and each end is read by a poll of its own. Polls
//! are then the largest part of the leader's work, and once it is short of processor time every
//! start waits behind them. So polls are what is left out first: they become rarer and each reads
//! more ends. Starts, stops and records are not held back.

use crate::prelude::*;

/// Minimum pause, so that simultaneous completions share a poll.
const MIN_GAP: Millis = Millis(20);

/// Part of the pause for each worker of the fleet, in microseconds.
const GAP_PER_WORKER_US: u64 = 150;

/// Delay of timers from which on the leader counts as short of processor time; a planning round
/// takes less.
const BUSY_DELAY: Millis = Millis(15);

/// Delay of timers up to which the leader has time to spare.
const CALM_DELAY: Millis = Millis(5);

/// Growth of the pause with each long delay.
const GROWTH: Millis = Millis(10);

/// Reduction of the pause with each short delay; slower than the growth, so that the pause does not
/// swing between both.
const REDUCTION: Millis = Millis(2);

/// Most by which the pause grows: half of the time after which a worker without ends responds.
const MAX_EXTRA: Millis = Millis(250);

/// Regulates the pause by the delay of the leader's timers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PollGap {
    extra: Millis,
}

impl PollGap {
    /// Takes a measurement of the delay of timers into account.
    pub fn record_delay(&mut self, delay: Millis) {
        if delay >= BUSY_DELAY {
            self.extra = (self.extra + GROWTH).min(MAX_EXTRA);
        } else if delay <= CALM_DELAY {
            self.extra = self.extra - REDUCTION;
        }
    }

    /// Returns the pause for a fleet of this size.
    pub fn of_fleet(&self, workers: usize) -> Millis {
        MIN_GAP.max(Millis(workers as u64 * GAP_PER_WORKER_US / 1000)) + self.extra
    }
}
