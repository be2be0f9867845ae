//! Spans that the rules of membership use.

use crate::prelude::*;

/// Bytes a second that heartbeats may take at one member; the rest of 6 KB is for lease renewals.
const HEARTBEAT_BUDGET: u64 = 5_600;

/// Bytes of one heartbeat and its answer with their HTTP heads, rounded up.
const EXCHANGE_BYTES: u64 = 330;

/// Members up to which each one sends to all others.
const SMALL_REGION: usize = 8;

/// Targets beyond half of the members, so that a few dead ones do not break the quorum.
const SPARE_TARGETS: usize = 2;

/// Longest interval between heartbeats; it stays below the acknowledgement window.
const MAX_INTERVAL: Millis = Millis(2000);

/// Shortest interval between heartbeats.
const MIN_INTERVAL: Millis = Millis(1000);

/// Spans of leases, heartbeats and waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time to live of a store lease.
    pub lease_ttl: Millis,
    /// Interval between renewals of the store lease.
    pub lease_interval: Millis,
    /// Clock rate of one process relative to another, in thousandths.
    pub clock_permille: u64,
    /// Part of the lease that its holder does not use.
    pub lease_margin: Millis,
    /// Age up to which an acknowledged heartbeat counts.
    pub ack_window: Millis,
    /// Time without a heartbeat after which a member is silent.
    pub silence_timeout: Millis,
    /// Time after which a VM that vanished from the VM list has certainly been terminated.
    pub vm_absence_timeout: Millis,
    /// Longest deadline of a request, plus what ending it takes.
    pub request_deadline: Millis,
    /// Interval between messages to another region.
    pub region_interval: Millis,
    /// Time without a message from any other region after which this one is cut off.
    pub region_timeout: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ttl: Millis(4000),
            lease_interval: Millis(1300),
            clock_permille: 1100,
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
    /// Returns how long a lease holds by its holder's clock, from before the renewal was sent.
    pub fn lease_span(&self) -> Millis {
        Millis(self.lease_ttl.0 * 1000 / self.clock_permille) - self.lease_margin
    }

    /// Returns how many others a member sends heartbeats to; each pair is covered once.
    pub fn targets(&self, members: usize) -> usize {
        let others = members.saturating_sub(1);
        if members <= SMALL_REGION {
            others
        } else {
            others.min(members / 2 + SPARE_TARGETS)
        }
    }

    /// Returns the interval between heartbeats to one target.
    ///
    /// A member takes part in twice as many exchanges as it has targets.
    pub fn interval(&self, members: usize) -> Millis {
        let exchanges = u64::try_from(self.targets(members)).unwrap_or(u64::MAX) * 2;
        Millis(exchanges * EXCHANGE_BYTES * 1000 / HEARTBEAT_BUDGET)
            .clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}
