//! Which outcomes permit another attempt.

use crate::routing::Outcome;

/// Tells whether an attempt that ended with `outcome` may be followed by another one.
///
/// The retry budget and the deadline are checked separately.
pub const fn may_retry(outcome: Outcome, idempotent: bool) -> bool {
    match outcome {
        Outcome::Refused | Outcome::NotSent => true,
        Outcome::Failure { .. } | Outcome::Stalled | Outcome::Broken => idempotent,
        Outcome::Success { .. } | Outcome::Abandoned => false,
    }
}
