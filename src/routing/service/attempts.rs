//! Attempts of a request: the first one, retries and hedges.

use super::{
    MIN_LATENCY_PERMILLE, RETRY_AFTER, Refusal, RequestId, Service, TrackedRequest, Verdict,
    final_verdict,
};
use crate::prelude::*;
use crate::retry::may_retry;
use crate::routing::endpoint_pool::Attempt;
use crate::routing::{Outcome, Pick};

/// Maximum number of attempts of a request, including the first one.
const MAX_ATTEMPTS: u32 = 4;

impl Service {
    /// Ends a request. `outcome` applies to its oldest attempt.
    pub fn finish(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        self.advance(now);
        self.pending_verdicts.retain(|(held, _)| *held != id);
        if let Some(mut req) = self.requests.remove(&id) {
            self.remove_from_queue(&req);
            self.end_attempts(&mut req, outcome, now);
        }
        self.dispatch_queued(now)
    }

    /// Ends the attempt at `vm` of a hedged request. Its other attempt continues.
    ///
    /// [`Service::finish`] or [`Service::retry`] ends the last attempt of a request instead.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        vm: &VmId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        self.advance(now);
        if let Some(req) = self.requests.get_mut(&id)
            && req.attempts.len() > 1
            && let Some(at) = req.attempts.iter().position(|held| held.vm == *vm)
        {
            let attempt = req.attempts.remove(at);
            req.may_have_run |= !outcome.is_not_run();
            let class = req.queue_entry.class.clone();
            self.release(&class, &attempt, outcome, now);
        }
        self.dispatch_queued(now)
    }

    /// Ends the attempts of a request and decides on a retry.
    pub fn retry(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> (Verdict, Vec<(RequestId, Verdict)>) {
        self.advance(now);
        let Some(mut req) = self.requests.remove(&id) else {
            return (Verdict::Unknown, self.dispatch_queued(now));
        };
        let undelivered = self.pending_verdicts.iter().any(|(held, _)| *held == id);
        if req.waits_until.is_some() || undelivered {
            self.requests.insert(id, req);
            return (Verdict::Wait, Vec::new());
        }
        req.may_have_run |= !outcome.is_not_run() || req.attempts.len() > 1;
        req.excluded = req.attempts.first().map(|attempt| attempt.vm.clone());
        self.end_attempts(&mut req, outcome, now);
        // A stall affects a single connection, so a new connection to the only endpoint may work.
        if outcome == Outcome::Stalled {
            req.excluded = req.excluded.filter(|vm| self.endpoints.has_other(vm));
        }
        let verdict = match self.refuse_retry(&req, outcome, now) {
            Some(refusal) => refusal,
            None => self.requeue(req, now),
        };
        (verdict, self.dispatch_queued(now))
    }

    /// Starts a second attempt if a slot is free, no request is queued and the budget allows it.
    pub fn hedge(&mut self, id: RequestId, now: Millis) -> Option<Pick> {
        self.advance(now);
        let allowed = self.policy.as_ref().is_some_and(|p| p.spec.hedge);
        if !allowed || !self.queue.is_empty() || !self.budget.has_retry() {
            return None;
        }
        let mut req = self.requests.remove(&id)?;
        let mut pick = None;
        if req.idempotent && req.attempts.len() == 1 && req.attempts_made < MAX_ATTEMPTS {
            req.excluded = req.attempts.first().map(|attempt| attempt.vm.clone());
            pick = self.start_attempt(&mut req, now);
        }
        if pick.is_some() {
            self.budget.spend();
        }
        self.requests.insert(id, req);
        pick
    }

    /// Takes a slot for a request and records the attempt.
    pub(super) fn start_attempt(&mut self, req: &mut TrackedRequest, now: Millis) -> Option<Pick> {
        let version = self.policy.as_ref()?.version;
        let (attempt, address) =
            self.endpoints
                .take(req.excluded.as_ref(), req.idempotent, &mut self.rng, now)?;
        let pick = Pick {
            vm: attempt.vm.clone(),
            address,
            deadline: req.deadline,
            version,
        };
        if req.attempts_made == 0 {
            self.budget.earn();
        }
        if let Some(queue) = self.queue.class_mut(&req.queue_entry.class) {
            queue.in_flight += 1;
        }
        req.attempts_made += 1;
        req.attempts.push(attempt);
        Some(pick)
    }

    /// Returns the final verdict on a request that must not be retried, or `None` to retry it.
    fn refuse_retry(
        &mut self,
        req: &TrackedRequest,
        outcome: Outcome,
        now: Millis,
    ) -> Option<Verdict> {
        if !may_retry(outcome, req.idempotent) {
            return Some(Verdict::Unknown);
        }
        let class = &req.queue_entry.class;
        let reason = if self.policy.is_none() {
            Refusal::UnknownService
        } else if self.queue.class(class).is_none() {
            Refusal::UnknownClass
        } else if req.attempts_made >= MAX_ATTEMPTS {
            Refusal::RetriesExhausted
        } else if now + self.quantile(class, MIN_LATENCY_PERMILLE) >= req.deadline {
            Refusal::DeadlineTooShort
        } else if !self.endpoints.has_usable(req.excluded.as_ref()) {
            Refusal::NoEndpoint
        } else if !outcome.is_not_run() && !self.budget.spend() {
            Refusal::RetriesExhausted
        } else {
            return None;
        };
        Some(final_verdict(req, reason, RETRY_AFTER))
    }

    fn requeue(&mut self, req: TrackedRequest, now: Millis) -> Verdict {
        let id = req.queue_entry.id;
        let queue = self.queue.class(&req.queue_entry.class);
        let max_wait = queue.map_or(Millis::ZERO, |queue| queue.spec.max_wait_ms);
        self.enqueue(req, max_wait, true, now);
        self.dispatch_queued_for(id, now)
    }

    fn end_attempts(&mut self, req: &mut TrackedRequest, outcome: Outcome, now: Millis) {
        let mut outcome = outcome;
        for attempt in req.attempts.drain(..) {
            if let Outcome::Success { latency } = outcome {
                self.record_latency(&req.queue_entry, latency, now);
            }
            self.release(&req.queue_entry.class, &attempt, outcome, now);
            outcome = Outcome::Abandoned;
        }
    }

    fn release(&mut self, class: &ClassName, attempt: &Attempt, outcome: Outcome, now: Millis) {
        if let Some(queue) = self.queue.class_mut(class) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
        self.endpoints.end(attempt, outcome, now);
    }
}
