//! Until when an incarnation of a worker may have runs that this leader does not control.

use super::Timing;
use crate::prelude::*;

/// Tolerance for the rate of a worker's clock, in thousandths.
const CLOCK_DRIFT_PERMILLE: u64 = 25;

/// Longest time for which a call to the incarnation before may still be on its way when a new one
/// is noticed: the timeout of a poll, which is the longest of all calls to a worker.
const CALL_IN_FLIGHT_LIMIT: Millis = Millis(1500);

/// Returns the longest time that a span on a worker's clock may take.
pub const fn with_clock_drift(span: Millis) -> Millis {
    span.scale_permille(1000 + CLOCK_DRIFT_PERMILLE)
}

/// The lease of the runs of one incarnation of a worker, by what this leader knows of it.
///
/// A deadline is a time on the clock of the incarnation that answered, so only `Confirmed` has one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RunLease {
    /// The incarnation was there when this leader took over and has not answered it: former leaders
    /// may have granted leases.
    #[default]
    Inherited,
    /// The incarnation began in this term and has not answered: it may have executed calls that were
    /// meant for the one before.
    Begun {
        /// Time at which this leader noticed the incarnation.
        at: Millis,
    },
    /// The incarnation has answered under this leader's fencing token.
    Confirmed {
        /// Time of the last report, by this leader's clock.
        read_at: Millis,
        /// The worker's clock in it.
        clock: Millis,
        /// Latest lease expiry that was sent to the incarnation, on its clock.
        end: Millis,
    },
    /// The runs are gone; the incarnation has not answered since.
    Ended,
}

impl RunLease {
    /// Takes over the clock of a report. What others have granted before ends within `longest`.
    pub fn confirm(&mut self, now: Millis, clock: Millis, longest: Millis) {
        let end = match self {
            Self::Inherited | Self::Begun { .. } => clock + longest,
            Self::Confirmed { end, .. } => *end,
            Self::Ended => clock,
        };
        *self = Self::Confirmed {
            read_at: now,
            clock,
            end,
        };
    }

    /// Estimates the present reading of the worker's clock; `None` before it has answered.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        match self {
            Self::Confirmed { read_at, clock, .. } => Some(*clock + now.since(*read_at)),
            _ => None,
        }
    }

    /// Returns a reading that the worker's clock has passed by now; `None` before it has answered.
    pub fn earliest_clock_at(&self, now: Millis) -> Option<Millis> {
        let Self::Confirmed { read_at, clock, .. } = self else {
            return None;
        };
        Some(
            *clock
                + now
                    .since(*read_at)
                    .scale_permille(1000 - CLOCK_DRIFT_PERMILLE),
        )
    }

    /// Returns the latest lease expiry that was sent, on the worker's clock.
    pub fn end(&self) -> Option<Millis> {
        match self {
            Self::Confirmed { end, .. } => Some(*end),
            _ => None,
        }
    }

    /// Records a lease expiry that is sent to the worker.
    pub fn extend(&mut self, deadline: Millis) {
        if let Self::Confirmed { end, .. } = self {
            *end = deadline.max(*end);
        }
    }

    /// Returns the time at which all runs of the incarnation have certainly ended unless their lease
    /// is renewed. `inherited_end` is that time for runs of former leaders.
    pub fn expires_at(&self, timing: &Timing, inherited_end: Millis) -> Millis {
        match self {
            Self::Inherited => inherited_end,
            Self::Begun { at } => {
                *at + CALL_IN_FLIGHT_LIMIT + with_clock_drift(timing.longest_lease)
            }
            Self::Confirmed {
                read_at,
                clock,
                end,
            } => *read_at + with_clock_drift(end.since(*clock)),
            Self::Ended => Millis::ZERO,
        }
    }
}
