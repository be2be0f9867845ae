//! When to read a worker's lists, and what such a read renews.

use super::{PollPlan, Scheduler};
use crate::prelude::*;

/// Longest wait of a worker for an end before it answers.
const HOLD_WAIT: Millis = Millis(900);

/// Such a wait where tails have to be watched; the figures are of half a second.
const SHARING_WAIT: Millis = Millis(500);

/// Pause between two reads while ends wait for the store.
const UNSEEN_PAUSE: Millis = Millis(200);

/// Shortest time between two reads of a worker; ends that come together share a read.
const READ_GAP: Millis = Millis(20);

/// Part of that time for each worker, in thousandths of a millisecond: the reads of all workers
/// together stay below some 6,700 a second, which a leader on half a core can take in.
const READ_GAP_PER_WORKER_US: u64 = 150;

/// Pause of a worker that runs nothing.
const IDLE_PAUSE: Millis = Millis(3000);

impl Scheduler {
    /// Tells what to ask of a worker next.
    pub fn poll_plan(&mut self, id: &WorkerId, now: Millis) -> PollPlan {
        let lease = self.timing.run_lease;
        let fence = self.fence;
        let read_gap = READ_GAP.max(Millis(
            self.workers.len() as u64 * READ_GAP_PER_WORKER_US / 1000,
        ));
        let Some(worker) = self.workers.get_mut(id) else {
            return PollPlan::Forget;
        };
        if worker.address.is_empty() {
            return PollPlan::Pause(UNSEEN_PAUSE);
        }
        if worker.entry.is_none() && worker.runs.is_empty() {
            self.workers.remove(id);
            return PollPlan::Forget;
        }
        let gap = (worker.heard + read_gap).since(now);
        if worker.fenced && gap > Millis::ZERO && worker.misses == 0 {
            return PollPlan::Pause(gap);
        }
        let waiting = worker.handled > worker.seen;
        if worker.fenced && worker.runs.is_empty() && !waiting && worker.misses == 0 {
            return PollPlan::Pause(IDLE_PAUSE);
        }
        // A read of a worker that was silent must not move the time of its lapse.
        let renews = worker.fenced && worker.misses == 0;
        let deadline = worker
            .clock_at(now)
            .filter(|_| renews)
            .map(|clock| clock + lease);
        worker.lease = worker.lease.max(deadline.unwrap_or_default());
        PollPlan::Call {
            address: worker.address.clone(),
            fence,
            last_acknowledged: worker.seen,
            deadline,
            wait: if worker.fenced && !waiting && worker.misses == 0 {
                if worker.serving > 0 && worker.filling.0 > 0 {
                    SHARING_WAIT
                } else {
                    HOLD_WAIT
                }
            } else {
                Millis::ZERO
            },
        }
    }

    /// Tells how long to wait after an answer whose ends the store has not yet recorded.
    pub fn unacknowledged_pause(&self, id: &WorkerId) -> Option<Millis> {
        let worker = self.workers.get(id)?;
        (worker.handled > worker.seen).then_some(UNSEEN_PAUSE)
    }
}
