//! Clocks of the process.

use crate::prelude::*;
use crate::provider::{WallClock, wall_clock};

/// Own time, which goes on while the VM is suspended, and the time of day.
#[derive(Clone)]
pub struct Clock {
    steady: Arc<dyn Fn() -> Millis + Send + Sync>,
    wall: WallClock,
}

impl Clock {
    /// Returns own time.
    pub fn now(&self) -> Millis {
        (self.steady)()
    }

    /// Returns the time of day.
    pub fn wall(&self) -> Timestamp {
        (self.wall)()
    }
}

/// Returns the clocks of the VM; the monotonic clock would stand still during a suspension.
pub fn boot_clock() -> Clock {
    Clock {
        steady: Arc::new(|| {
            let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
            let millis = time.tv_sec * 1000 + time.tv_nsec / 1_000_000;
            Millis(u64::try_from(millis).unwrap_or_default())
        }),
        wall: wall_clock(),
    }
}
