//! Decides when to poll a worker and whether the poll renews its lease.

use super::{PollPlan, Scheduler};
use crate::prelude::*;

/// Maximum time that a worker waits for a completion before it responds to a poll.
const POLL_WAIT: Millis = Millis(900);

/// The same limit where serving and best-effort tasks share the worker; a reported tail covers half
/// a second.
const COLOCATION_POLL_WAIT: Millis = Millis(500);

/// Pause between two polls while completions wait for the store.
const UNACKNOWLEDGED_PAUSE: Millis = Millis(200);

/// Time from the last report for which a poll waits until it can carry an acknowledgement. Calls are
/// answered within a few ms; one poll without the acknowledgement costs less than late ends.
const ACKNOWLEDGEMENT_DELAY: Millis = Millis(400);

/// Pause before the next poll of a worker without runs.
const IDLE_PAUSE: Millis = Millis(3000);

impl Scheduler {
    /// Takes a measurement of the delay of the leader's timers into account: while it is long,
    /// workers are polled less often.
    pub fn record_timer_delay(&mut self, delay: Millis) {
        self.poll_gap.record_delay(delay);
    }

    /// Returns the present pause between two polls of a worker.
    pub fn poll_gap(&self) -> Millis {
        self.poll_gap.of_fleet(self.workers.len())
    }

    /// Returns the next step of polling a worker.
    pub fn poll_plan(&mut self, id: &WorkerId, now: Millis) -> PollPlan {
        let lease = match self.lease_horizon {
            Some(horizon) => self.timing.run_lease.min(horizon.since(now)),
            None => self.timing.run_lease,
        };
        let fence = self.fence;
        let poll_gap = self.poll_gap.of_fleet(self.workers.len());
        let Some(worker) = self.workers.get_mut(id) else {
            return PollPlan::Forget;
        };
        if worker.address.is_empty() {
            return PollPlan::Pause(UNACKNOWLEDGED_PAUSE);
        }
        if worker.entry.is_none() && worker.runs.is_empty() {
            self.workers.remove(id);
            return PollPlan::Forget;
        }
        let gap = (worker.current.last_report_at + poll_gap).since(now);
        let is_fenced = worker.current.is_fenced();
        if is_fenced && gap > Millis::ZERO && worker.current.missed_polls == 0 {
            return PollPlan::Pause(gap);
        }
        let is_late = now.since(worker.current.last_report_at) >= ACKNOWLEDGEMENT_DELAY;
        if worker.current.owes_acknowledgement() && worker.has_unanswered_start() && !is_late {
            return PollPlan::Pause(UNACKNOWLEDGED_PAUSE);
        }
        let waiting = worker.current.last_handled > worker.current.acknowledged;
        if is_fenced && worker.runs.is_empty() && !waiting && worker.current.missed_polls == 0 {
            return PollPlan::Pause(IDLE_PAUSE);
        }
        // Polling an unresponsive worker must not delay the expiry of its runs.
        let renews = is_fenced && worker.current.missed_polls == 0 && !worker.current.is_declared;
        let clock = worker.current.lease.clock_at(now).filter(|_| renews);
        let deadline = clock.map(|clock| clock + lease);
        if let Some(deadline) = deadline {
            worker.current.lease.extend(deadline);
        }
        worker.current.acknowledging = worker.due_acknowledgement();
        PollPlan::Call {
            address: worker.address.clone(),
            incarnation: worker.current.number,
            fence,
            last_acknowledged: worker.current.acknowledging,
            deadline,
            wait: if renews && !waiting {
                if worker.serving_runs > 0 && worker.best_effort_cpu.0 > 0 {
                    COLOCATION_POLL_WAIT
                } else {
                    POLL_WAIT
                }
            } else {
                Millis::ZERO
            },
        }
    }

    /// Returns the pause before the next poll if the last report has completions that cannot be
    /// acknowledged yet: the next one would list them again.
    pub fn unacknowledged_pause(&self, id: &WorkerId) -> Option<Millis> {
        let worker = self.workers.get(id)?;
        let waits_for_store = worker.current.last_handled > worker.current.acknowledged;
        let waits_for_start =
            worker.current.owes_acknowledgement() && worker.has_unanswered_start();
        (waits_for_store || waits_for_start).then_some(UNACKNOWLEDGED_PAUSE)
    }
}
