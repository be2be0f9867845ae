//! The store lease of this process, as its own clock sees it.

use super::Timing;
use crate::prelude::*;

/// What a lease needs before its holder may count on it.
///
/// A member that removes another one reads the record first and the leases afterwards. A lease
/// that was granted again after such a read must not count until the epoch has changed, which
/// makes the pending removal fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fence {
    /// The first lease of this process; any record that lists the process was written later.
    Fresh,
    /// The lease was granted again; the record must be read after that.
    Closed,
    /// The lease counts as soon as the epoch is above this one.
    Above(Epoch),
    /// The lease counts.
    Open,
}

/// State of the store lease.
#[derive(Clone, Debug)]
pub struct StoreLease {
    sent: Option<Millis>,
    granted: Option<Millis>,
    created: bool,
    fence: Fence,
    call: Option<LeaseCall>,
    tried: Option<Millis>,
    silent: bool,
}

/// A call about the lease that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Grants the lease and writes the entry that is bound to it.
    Create {
        /// Whether a quorum kept the member active through the outage that let the lease lapse.
        under_quorum: bool,
    },
    /// Extends the lease.
    Renew,
}

impl Default for StoreLease {
    fn default() -> Self {
        Self {
            sent: None,
            granted: None,
            created: false,
            fence: Fence::Fresh,
            call: None,
            tried: None,
            silent: false,
        }
    }
}

impl StoreLease {
    /// Tells whether the lease holds by this process's own clock.
    pub fn is_valid(&self, timing: &Timing, now: Millis) -> bool {
        self.sent
            .is_some_and(|sent| now.since(sent) < timing.lease_span())
    }

    /// Tells whether the lease was never asked for.
    pub fn is_new(&self) -> bool {
        self.tried.is_none()
    }

    /// Returns the fence.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Tells whether the last call was not answered, or is one that follows such a call.
    pub fn is_store_silent(&self) -> bool {
        self.silent || self.call == Some(LeaseCall::Create { under_quorum: true })
    }

    /// Returns the call that is due, if any, and notes it as sent.
    pub fn next_call(&mut self, timing: &Timing, quorum: bool, now: Millis) -> Option<LeaseCall> {
        let waits = self
            .tried
            .is_some_and(|tried| now.since(tried) < timing.lease_interval);
        if self.call.is_some() || waits {
            return None;
        }
        let call = match self.created {
            true => LeaseCall::Renew,
            false => LeaseCall::Create {
                under_quorum: quorum && self.silent && self.fence == Fence::Open,
            },
        };
        self.start(call, now);
        Some(call)
    }

    fn start(&mut self, call: LeaseCall, now: Millis) {
        self.call = Some(call);
        self.tried = Some(now);
    }

    /// Notes that the call that was sent at `sent` took effect.
    pub fn kept(&mut self, sent: Millis, quorum: bool, now: Millis) {
        if let Some(LeaseCall::Create { under_quorum }) = self.call {
            self.granted = Some(now);
            if !(under_quorum && quorum) && self.fence != Fence::Fresh {
                self.fence = Fence::Closed;
            }
            self.created = true;
        }
        self.call = None;
        self.silent = false;
        self.sent = Some(sent);
    }

    /// Notes that the store has dropped the lease; returns the call that grants it again.
    pub fn lapsed(&mut self, quorum: bool, now: Millis) -> LeaseCall {
        let under_quorum = quorum && self.silent && self.fence == Fence::Open;
        self.silent = false;
        self.sent = None;
        self.created = false;
        if !under_quorum {
            self.fence = Fence::Closed;
        }
        let call = LeaseCall::Create { under_quorum };
        self.start(call, now);
        call
    }

    /// Notes that the call was not answered.
    pub fn failed(&mut self) {
        let created = matches!(self.call, Some(LeaseCall::Create { .. }));
        if created && self.fence == Fence::Fresh {
            // The lease may have been granted unseen and may lapse before the next grant.
            self.fence = Fence::Closed;
        }
        self.call = None;
        self.silent = true;
    }

    /// Closes the fence of a process that was removed.
    pub fn removed(&mut self) {
        self.sent = None;
        self.created = false;
        self.fence = Fence::Closed;
    }

    /// Moves the fence after the record was read at `started`, in `epoch`.
    pub fn record_read(&mut self, started: Millis, epoch: Epoch) {
        let after_grant = self.granted.is_some_and(|granted| started >= granted);
        if self.fence == Fence::Closed && after_grant && self.created {
            self.fence = Fence::Above(epoch);
        }
    }

    /// Moves the fence after a record that lists this process was adopted.
    pub fn listed(&mut self, epoch: Epoch) {
        match self.fence {
            Fence::Fresh => self.fence = Fence::Open,
            Fence::Above(floor) if epoch > floor => self.fence = Fence::Open,
            _ => {}
        }
    }
}
