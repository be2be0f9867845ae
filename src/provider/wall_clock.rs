//! Time of day for records; decisions use `Millis` instead.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::prelude::*;

/// Tells the time of day.
pub type WallClock = Arc<dyn Fn() -> Timestamp + Send + Sync>;

/// Returns the clock of the VM.
pub fn wall_clock() -> WallClock {
    Arc::new(|| {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    })
}
