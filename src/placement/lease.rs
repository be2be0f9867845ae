//! Length of task leases and the bound on their expiry.

use crate::prelude::*;

/// Length of a task lease, measured on the worker's clock.
pub const TASK_LEASE: Millis = Millis(15_000);

/// Upper bound of the owner's clock rate relative to a worker's, which allows an error of 10%.
const CLOCK_RATE_BOUND_PERMILLE: u64 = 1100;

/// Safety margin for rounding and message handling.
const EXPIRY_MARGIN: Millis = Millis(1000);

/// Returns the time after which a lease has certainly expired, counted from when it was last sent.
pub fn lease_expiry_bound() -> Millis {
    TASK_LEASE.scale_permille(CLOCK_RATE_BOUND_PERMILLE) + EXPIRY_MARGIN
}
