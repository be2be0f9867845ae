//! Local monotonic clock for all decisions of the request path.

use tokio::time::Instant;

use crate::prelude::*;

/// Monotonic clock in milliseconds since a fixed start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that counts from `started`.
    pub const fn new(started: Instant) -> Self {
        Self { started }
    }

    /// Returns the current local time.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Converts a local time to an instant.
    pub fn instant(&self, at: Millis) -> Instant {
        self.started + at.into()
    }

    /// Sleeps until a local time.
    pub async fn sleep_until(&self, at: Millis) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}
