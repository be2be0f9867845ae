//! The store lease of this process, judged by the process's own clock.

use super::Timing;
use crate::prelude::*;

/// Condition that a lease must meet before its holder may rely on it.
///
/// A member that removes another one reads the record first and the leases afterwards. A lease
/// that is granted anew after such a read must not be relied on until the epoch has changed. The
/// changed epoch makes the pending removal fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fence {
    /// First lease of this process. Any record that lists the process was written after the grant.
    Fresh,
    /// The lease was granted anew, and the record has not been read since.
    Closed,
    /// The lease may be relied on once the epoch is above this one.
    Above(Epoch),
    /// The lease may be relied on.
    Open,
}

/// State of the store lease.
#[derive(Clone, Debug)]
pub struct StoreLease {
    renewed_at: Option<Millis>,
    granted_at: Option<Millis>,
    created: bool,
    fence: Fence,
    call: Option<LeaseCall>,
    last_call_at: Option<Millis>,
    store_silent: bool,
}

/// A call about the lease that has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Grants the lease and writes the entry that is bound to it.
    Create {
        /// Whether a quorum kept the member active during the store outage in which the lease
        /// expired.
        under_quorum: bool,
    },
    /// Renews the lease.
    Renew,
}

impl Default for StoreLease {
    fn default() -> Self {
        Self {
            renewed_at: None,
            granted_at: None,
            created: false,
            fence: Fence::Fresh,
            call: None,
            last_call_at: None,
            store_silent: false,
        }
    }
}

impl StoreLease {
    /// Returns whether the lease is valid by this process's own clock.
    pub fn is_valid(&self, timing: &Timing, now: Millis) -> bool {
        self.renewed_at
            .is_some_and(|sent| now.since(sent) < timing.lease_validity())
    }

    /// Returns whether the lease has never been requested.
    pub fn is_new(&self) -> bool {
        self.last_call_at.is_none()
    }

    /// Returns the condition for relying on the lease.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether the last call got no response, or the call in progress follows such a call.
    pub fn is_store_silent(&self) -> bool {
        self.store_silent || self.call == Some(LeaseCall::Create { under_quorum: true })
    }

    /// Returns the call that is due, if any, and marks it as sent.
    pub fn next_call(&mut self, timing: &Timing, quorum: bool, now: Millis) -> Option<LeaseCall> {
        let too_early = self
            .last_call_at
            .is_some_and(|last| now.since(last) < timing.lease_renewal_interval);
        if self.call.is_some() || too_early {
            return None;
        }
        let call = match self.created {
            true => LeaseCall::Renew,
            false => LeaseCall::Create {
                under_quorum: quorum && self.store_silent && self.fence == Fence::Open,
            },
        };
        self.start(call, now);
        Some(call)
    }

    fn start(&mut self, call: LeaseCall, now: Millis) {
        self.call = Some(call);
        self.last_call_at = Some(now);
    }

    /// Records that the call sent at `sent` succeeded.
    pub fn call_succeeded(&mut self, sent: Millis, quorum: bool, now: Millis) {
        if let Some(LeaseCall::Create { under_quorum }) = self.call {
            self.granted_at = Some(now);
            if !(under_quorum && quorum) && self.fence != Fence::Fresh {
                self.fence = Fence::Closed;
            }
            self.created = true;
        }
        self.call = None;
        self.store_silent = false;
        self.renewed_at = Some(sent);
    }

    /// Records that the lease expired in the store, and returns the call that grants it anew.
    pub fn expired(&mut self, quorum: bool, now: Millis) -> LeaseCall {
        let under_quorum = quorum && self.store_silent && self.fence == Fence::Open;
        self.store_silent = false;
        self.renewed_at = None;
        self.created = false;
        if !under_quorum {
            self.fence = Fence::Closed;
        }
        let call = LeaseCall::Create { under_quorum };
        self.start(call, now);
        call
    }

    /// Records that the call got no response.
    pub fn call_failed(&mut self) {
        let created = matches!(self.call, Some(LeaseCall::Create { .. }));
        if created && self.fence == Fence::Fresh {
            // The store may have granted the lease, and this grant may expire before the next one.
            self.fence = Fence::Closed;
        }
        self.call = None;
        self.store_silent = true;
    }

    /// Invalidates the lease and closes the fence of a process that was removed from the record.
    pub fn member_removed(&mut self) {
        self.renewed_at = None;
        self.created = false;
        self.fence = Fence::Closed;
    }

    /// Updates the fence after the record was read at `started`, in `epoch`.
    pub fn record_read(&mut self, started: Millis, epoch: Epoch) {
        let after_grant = self.granted_at.is_some_and(|granted| started >= granted);
        if self.fence == Fence::Closed && after_grant && self.created {
            self.fence = Fence::Above(epoch);
        }
    }

    /// Updates the fence after a record of `epoch` that lists this process was adopted.
    pub fn record_adopted(&mut self, epoch: Epoch) {
        match self.fence {
            Fence::Fresh => self.fence = Fence::Open,
            Fence::Above(floor) if epoch > floor => self.fence = Fence::Open,
            _ => {}
        }
    }
}
