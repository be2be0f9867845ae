//! Attempts to answer a request: first, repeated and hedged.

use super::{FLOOR_PERMILLE, RETRY_AFTER, Refusal, RequestId, Service, Tracked, Verdict, give_up};
use crate::prelude::*;
use crate::retry::may_retry;
use crate::routing::endpoint_pool::Attempt;
use crate::routing::{Outcome, Pick};

/// Most attempts of one request, the first included.
const MAX_TRIES: u32 = 4;

impl Service {
    /// Ends a request; `outcome` is that of its oldest attempt.
    pub fn finish(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        self.advance(now);
        self.decided.retain(|(held, _)| *held != id);
        if let Some(mut req) = self.requests.remove(&id) {
            self.forget_wait(&req);
            self.end_attempts(&mut req, outcome, now);
        }
        self.pump(now)
    }

    /// Ends the attempt at `vm` of a hedged request, whose other attempt goes on.
    ///
    /// A request's last attempt is ended by [`Service::finish`] or [`Service::retry`] instead.
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
            let class = req.ticket.class.clone();
            self.release(&class, &attempt, outcome, now);
        }
        self.pump(now)
    }

    /// Ends the attempts of a request and asks for another one.
    pub fn retry(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> (Verdict, Vec<(RequestId, Verdict)>) {
        self.advance(now);
        let Some(mut req) = self.requests.remove(&id) else {
            return (Verdict::Unknown, self.pump(now));
        };
        let undelivered = self.decided.iter().any(|(held, _)| *held == id);
        if req.waits_until.is_some() || undelivered {
            self.requests.insert(id, req);
            return (Verdict::Wait, Vec::new());
        }
        req.may_have_run |= !outcome.is_not_run() || req.attempts.len() > 1;
        req.except = req.attempts.first().map(|attempt| attempt.vm.clone());
        self.end_attempts(&mut req, outcome, now);
        // Silence belongs to a connection; a fresh one to the only endpoint may answer.
        if outcome == Outcome::Stalled {
            req.except = req.except.filter(|vm| self.fleet.has_other(vm));
        }
        let verdict = match self.refuse_resend(&req, outcome, now) {
            Some(refusal) => refusal,
            None => self.requeue(req, now),
        };
        (verdict, self.pump(now))
    }

    /// Starts a second attempt beside the first if a slot is free that nobody waits for.
    pub fn hedge(&mut self, id: RequestId, now: Millis) -> Option<Pick> {
        self.advance(now);
        let allowed = self.policy.as_ref().is_some_and(|p| p.spec.hedge);
        if !allowed || !self.queue.is_empty() || !self.budget.has_retry() {
            return None;
        }
        let mut req = self.requests.remove(&id)?;
        let mut pick = None;
        if req.idempotent && req.attempts.len() == 1 && req.tries < MAX_TRIES {
            req.except = req.attempts.first().map(|attempt| attempt.vm.clone());
            pick = self.send(&mut req, now);
        }
        if pick.is_some() {
            self.budget.spend();
        }
        self.requests.insert(id, req);
        pick
    }

    /// Takes a slot for a request.
    pub(super) fn send(&mut self, req: &mut Tracked, now: Millis) -> Option<Pick> {
        let version = self.policy.as_ref()?.version;
        let (attempt, address) =
            self.fleet
                .take(req.except.as_ref(), req.idempotent, &mut self.rng, now)?;
        let pick = Pick {
            vm: attempt.vm.clone(),
            address,
            deadline: req.deadline,
            version,
        };
        if req.tries == 0 {
            self.budget.earn();
        }
        if let Some(queue) = self.queue.class_mut(&req.ticket.class) {
            queue.in_flight += 1;
        }
        req.tries += 1;
        req.attempts.push(attempt);
        Some(pick)
    }

    /// Returns the verdict on a request that may not be sent again.
    fn refuse_resend(&mut self, req: &Tracked, outcome: Outcome, now: Millis) -> Option<Verdict> {
        if !may_retry(outcome, req.idempotent) {
            return Some(Verdict::Unknown);
        }
        let class = &req.ticket.class;
        let reason = if self.policy.is_none() {
            Refusal::UnknownService
        } else if self.queue.class(class).is_none() {
            Refusal::UnknownClass
        } else if req.tries >= MAX_TRIES {
            Refusal::RetriesExhausted
        } else if now + self.quantile(class, FLOOR_PERMILLE) >= req.deadline {
            Refusal::DeadlineTooShort
        } else if !self.fleet.has_usable(req.except.as_ref()) {
            Refusal::NoEndpoint
        } else if !outcome.is_not_run() && !self.budget.spend() {
            Refusal::RetriesExhausted
        } else {
            return None;
        };
        Some(give_up(req, reason, RETRY_AFTER))
    }

    fn requeue(&mut self, req: Tracked, now: Millis) -> Verdict {
        let id = req.ticket.id;
        let queue = self.queue.class(&req.ticket.class);
        let max_wait = queue.map_or(Millis::ZERO, |queue| queue.spec.max_wait_ms);
        self.enqueue(req, max_wait, true, now);
        self.pump_for(id, now)
    }

    fn end_attempts(&mut self, req: &mut Tracked, outcome: Outcome, now: Millis) {
        let mut outcome = outcome;
        for attempt in req.attempts.drain(..) {
            if let Outcome::Success { latency } = outcome {
                self.learn(&req.ticket, latency, now);
            }
            self.release(&req.ticket.class, &attempt, outcome, now);
            outcome = Outcome::Abandoned;
        }
    }

    fn release(&mut self, class: &ClassName, attempt: &Attempt, outcome: Outcome, now: Millis) {
        if let Some(queue) = self.queue.class_mut(class) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
        self.fleet.end(attempt, outcome, now);
    }
}
