//! The local clock that decisions get their time from.

use tokio::time::Instant;

use crate::prelude::*;

/// Milliseconds since the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that counts from `started`.
    pub const fn new(started: Instant) -> Self {
        Self { started }
    }

    /// Returns the time now.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Returns the instant of a local time.
    pub fn instant(&self, at: Millis) -> Instant {
        self.started + at.into()
    }

    /// Waits until a local time.
    pub async fn sleep_until(&self, at: Millis) {
        tokio::time::sleep_until(self.instant(at)).await;
    }
}
