//! State of a leader during one term, shared by the tasks of the term.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::election::LEASE_HORIZON;
use super::former_terms::FormerTerms;
use super::shared::{LeaderInfo, Shared};

use crate::prelude::*;
use crate::scheduler::Scheduler;

/// Time before the end of the lease in which no commands are sent, for the delay of commands in
/// transit.
const LEASE_MARGIN: Millis = Millis(150);

/// State of a leader and signals between the tasks of its term.
pub(super) struct Leader {
    pub shared: Arc<Shared>,
    /// Fencing token: revision of the leader key.
    pub fence: u64,
    /// How this leader is named in the store.
    pub info: LeaderInfo,
    /// What is known of the terms before.
    pub terms: Mutex<FormerTerms>,
    /// Wakes the writer of the terms.
    pub terms_wake: Notify,
    pub sched: Mutex<Scheduler>,
    /// Wakes the committer.
    pub committer_wake: Notify,
    /// Wakes the planner.
    pub planner_wake: Notify,
    /// Cancelled at the end of the term.
    pub term_ended: CancellationToken,
    /// Signals that end the pause between two polls of a worker.
    pub polls: Mutex<HashMap<WorkerId, Arc<Notify>>>,
    /// End of the lease less the margin, in milliseconds of the boot-time clock.
    valid_until: AtomicU64,
}

impl Leader {
    /// Creates the state of a term that begins now.
    pub fn new(
        shared: Arc<Shared>,
        fence: u64,
        info: LeaderInfo,
        terms: FormerTerms,
        sched: Scheduler,
        term_ended: CancellationToken,
    ) -> Self {
        Self {
            shared,
            fence,
            info,
            terms: Mutex::new(terms),
            terms_wake: Notify::new(),
            sched: Mutex::new(sched),
            committer_wake: Notify::new(),
            planner_wake: Notify::new(),
            term_ended,
            polls: Mutex::new(HashMap::new()),
            valid_until: AtomicU64::new(0),
        }
    }

    /// Returns whether the lease covers commands that are sent now.
    pub fn has_valid_lease(&self) -> bool {
        self.shared.clock.now() < self.valid_until()
    }

    /// Applies a change to the scheduler and dispatches the resulting commands.
    pub fn update(self: &Arc<Self>, f: impl FnOnce(&mut Scheduler, Millis)) {
        let now = self.shared.clock.now();
        f(&mut self.sched.lock(), now);
        self.dispatch();
    }

    /// Returns the time until which commands may be sent.
    pub fn valid_until(&self) -> Millis {
        Millis(self.valid_until.load(Ordering::Relaxed))
    }

    /// Records that the lease of the leader key was granted or renewed by a call that was sent at
    /// this time.
    pub fn extend(&self, sent_at: Millis, ttl: Millis) {
        self.sched.lock().limit_leases(sent_at + LEASE_HORIZON);
        let until = (sent_at + ttl).saturating_sub(LEASE_MARGIN);
        self.valid_until.store(until.0, Ordering::Relaxed);
    }
}
