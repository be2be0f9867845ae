//! Task leases and the times after which they have certainly expired.

use crate::prelude::*;

/// Length of a task lease on the worker's clock.
pub const TASK_LEASE: Millis = Millis(15_000);

/// Bound on the clock-rate error of a worker relative to its owner, added to one.
const RATE_BOUND_PERMILLE: u64 = 1100;

/// Margin for rounding and message handling.
const MARGIN: Millis = Millis(1000);

/// Returns the wait after the last lease was sent until it has certainly expired.
pub fn certain_expiry() -> Millis {
    TASK_LEASE.scale_permille(RATE_BOUND_PERMILLE) + MARGIN
}
