//! The state of a leader, shared by the tasks of its term.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::Scheduler;

/// Part of the lease that is left unused, for the delay of orders under way.
const LEASE_MARGIN: Millis = Millis(150);

/// A leader's state and the signals between its tasks.
pub(super) struct Leader {
    pub shared: Arc<Shared>,
    pub fence: u64,
    pub sched: Mutex<Scheduler>,
    pub dirty: Notify,
    pub changed: Notify,
    pub lost: CancellationToken,
    pub polls: Mutex<HashMap<WorkerId, Arc<Notify>>>,
    valid_until: AtomicU64,
}

impl Leader {
    /// Creates the state of a term that begins now.
    pub fn new(shared: Arc<Shared>, fence: u64, sched: Scheduler, lost: CancellationToken) -> Self {
        Self {
            shared,
            fence,
            sched: Mutex::new(sched),
            dirty: Notify::new(),
            changed: Notify::new(),
            lost,
            polls: Mutex::new(HashMap::new()),
            valid_until: AtomicU64::new(0),
        }
    }

    /// Tells whether the lease still covers orders that are sent now.
    pub fn is_valid(&self) -> bool {
        self.shared.clock.now() < self.valid_until()
    }

    /// Changes the scheduler's state and sends what follows.
    pub fn change(self: &Arc<Self>, f: impl FnOnce(&mut Scheduler, Millis)) {
        let now = self.shared.clock.now();
        f(&mut self.sched.lock(), now);
        self.dispatch();
    }

    /// Time up to which orders may be sent.
    pub fn valid_until(&self) -> Millis {
        Millis(self.valid_until.load(Ordering::Relaxed))
    }

    /// Notes that the lease holds until this time.
    pub fn extend(&self, until: Millis) {
        let until = until.saturating_sub(LEASE_MARGIN);
        self.valid_until.store(until.0, Ordering::Relaxed);
    }
}
