//! Boot-time clock and wall clock of the process.

use crate::prelude::*;
use crate::provider::{WallClock, wall_clock};

/// Time since boot, including time spent suspended, and wall-clock time.
#[derive(Clone)]
pub struct Clock {
    since_boot: Arc<dyn Fn() -> Millis + Send + Sync>,
    wall: WallClock,
}

impl Clock {
    /// Returns the time since boot.
    pub fn now(&self) -> Millis {
        (self.since_boot)()
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> Timestamp {
        (self.wall)()
    }
}

/// Returns the clocks of the VM. Uses `CLOCK_BOOTTIME`, because `CLOCK_MONOTONIC` stops while the
/// VM is suspended.
pub fn boot_clock() -> Clock {
    Clock {
        since_boot: Arc::new(|| {
            let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
            let millis = time.tv_sec * 1000 + time.tv_nsec / 1_000_000;
            Millis(u64::try_from(millis).unwrap_or_default())
        }),
        wall: wall_clock(),
    }
}
