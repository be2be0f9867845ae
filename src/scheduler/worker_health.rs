//! Tells a failing worker from failing tasks.

use crate::prelude::*;

/// Rest of a worker after two failures on end; grey periods last about this long.
const FIRST_REST: Millis = Millis(3000);

/// Longest rest, so that a repaired worker is found within a few seconds.
const LONGEST_REST: Millis = Millis(8000);

/// Failures on end after which a worker rests.
const FAILURES_TO_REST: u32 = 2;

/// Time after a failure in which a worker gets no task at its last attempt; a run of such a
/// task takes about a second, so a failing worker has failed again by then.
const SUSPICION: Millis = Millis(4000);

/// Failures on end of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Blame {
    failures: u32,
    rests: u32,
    until: Millis,
    suspect_until: Millis,
}

impl Blame {
    pub fn done(&mut self) {
        *self = Self::default();
    }

    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        self.suspect_until = now + SUSPICION;
        if self.failures >= FAILURES_TO_REST {
            self.rest(now);
        }
    }

    /// Takes the worker out of use for a while.
    pub fn rest(&mut self, now: Millis) {
        let span = FIRST_REST.scale_permille(1000 << self.rests.min(3));
        self.until = now + span.min(LONGEST_REST);
        self.suspect_until = self.until + SUSPICION;
        self.rests += 1;
    }

    pub fn is_resting(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Tells whether the worker may be the cause of its last failures.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }
}
