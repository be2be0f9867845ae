//! Attempt outcomes that permit a retry.

use crate::routing::Outcome;

/// Returns whether a request may be retried after an attempt that ended with `outcome`.
///
/// The retry budget and the deadline are checked separately.
pub const fn may_retry(outcome: Outcome, idempotent: bool) -> bool {
    match outcome {
        Outcome::Refused | Outcome::NotSent => true,
        Outcome::Failure { .. } | Outcome::Stalled | Outcome::Broken => idempotent,
        Outcome::Success { .. } | Outcome::Abandoned => false,
    }
}
