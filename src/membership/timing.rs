//! Timeouts and intervals of the membership protocol.

use crate::prelude::*;

/// Bytes per second of heartbeat traffic at one member. The rest of 6 KB per second is reserved
/// for lease renewals.
const HEARTBEAT_BYTES_PER_SECOND: u64 = 5_600;

/// Bytes of one heartbeat and its response with their HTTP headers, rounded up.
const EXCHANGE_BYTES: u64 = 330;

/// Number of members up to which each member sends heartbeats to all others.
const FULL_MESH_MEMBERS: usize = 8;

/// Heartbeat targets beyond half of the members, so that a few dead targets do not cost the quorum.
const SPARE_TARGETS: usize = 2;

/// Longest interval between heartbeats to one target, below the acknowledgement window.
const MAX_HEARTBEAT_INTERVAL: Millis = Millis(2000);

/// Shortest interval between heartbeats to one target.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(1000);

/// Durations that the membership protocol uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time to live of a store lease.
    pub lease_ttl: Millis,
    /// Interval between renewals of the store lease.
    pub lease_renewal_interval: Millis,
    /// Largest clock rate of one process relative to another, in thousandths.
    pub clock_rate_permille: u64,
    /// Safety margin at the end of a lease in which its holder no longer relies on it.
    pub lease_margin: Millis,
    /// Age of an acknowledged heartbeat, from its sending, below which it counts for the quorum.
    pub ack_window: Millis,
    /// Time without a heartbeat after which a member counts as silent.
    pub silence_timeout: Millis,
    /// Time after which a VM that is missing from the VM list has certainly been terminated.
    pub vm_absence_timeout: Millis,
    /// Longest deadline of a request, including the time to end the request.
    pub request_deadline: Millis,
    /// Interval between summaries sent to another region.
    pub region_interval: Millis,
    /// Time without a summary from any other region after which this region counts as cut off.
    pub region_timeout: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ttl: Millis(4000),
            lease_renewal_interval: Millis(1300),
            clock_rate_permille: 1100,
            lease_margin: Millis(300),
            ack_window: Millis(2500),
            silence_timeout: Millis(4000),
            vm_absence_timeout: Millis(30_000),
            request_deadline: Millis(30_000),
            region_interval: Millis(5000),
            region_timeout: Millis(30_000),
        }
    }
}

impl Timing {
    /// Returns how long a lease is valid by its holder's clock, counted from the time at which
    /// the renewal was sent.
    pub fn lease_validity(&self) -> Millis {
        Millis(self.lease_ttl.0 * 1000 / self.clock_rate_permille) - self.lease_margin
    }

    /// Returns the number of other members to which a member sends heartbeats.
    ///
    /// Together the members cover each pair at least once.
    pub fn heartbeat_targets(&self, members: usize) -> usize {
        let others = members.saturating_sub(1);
        if members <= FULL_MESH_MEMBERS {
            others
        } else {
            others.min(members / 2 + SPARE_TARGETS)
        }
    }

    /// Returns the interval between heartbeats to one target.
    ///
    /// A member takes part in twice as many exchanges as it has targets, because it also responds.
    pub fn heartbeat_interval(&self, members: usize) -> Millis {
        let exchanges = u64::try_from(self.heartbeat_targets(members)).unwrap_or(u64::MAX) * 2;
        Millis(exchanges * EXCHANGE_BYTES * 1000 / HEARTBEAT_BYTES_PER_SECOND)
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }
}
