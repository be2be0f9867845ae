//! Queueing of requests that wait for a slot.

use super::{
    MIN_LATENCY_PERMILLE, RETRY_AFTER, Refusal, RequestId, SERVICE_TIME_PERMILLE, Service,
    TrackedRequest, Verdict, final_verdict, refuse,
};
use crate::prelude::*;

/// Queued requests that may be skipped because they exclude the only free endpoint.
const MAX_SKIPPED: usize = 16;

/// Assumed wait of a request whose class cannot be expected to be served.
const UNSERVED_CLASS_WAIT: Millis = Millis::from_secs(60);

impl Service {
    /// Ends queued requests whose wait has expired, and sends those for which a slot is free.
    pub fn tick(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.advance(now);
        while let Some(&(at, id)) = self.wait_expiries.first()
            && at <= now
        {
            self.wait_expiries.pop_first();
            if let Some(req) = self.requests.remove(&id) {
                self.queue.remove(&req.queue_entry);
                let verdict = self.too_late_verdict(&req);
                self.pending_verdicts.push((id, verdict));
            }
        }
        self.dispatch_queued(now)
    }

    /// Forwards a new request to a peer, queues it, or refuses it if it cannot be served in time.
    pub(super) fn enqueue_or_refuse(
        &mut self,
        req: TrackedRequest,
        forwarded: bool,
        now: Millis,
    ) -> Verdict {
        let (class, team) = (&req.queue_entry.class, &req.queue_entry.team);
        let usable = self.endpoints.has_usable(None) || self.endpoints.is_available(now);
        let wait = self.expected_wait(class, team);
        let here = usable.then(|| wait.unwrap_or(UNSERVED_CLASS_WAIT));
        let backlog = self.backlog();
        if !forwarded && let Some(peer) = self.peers.choose(here, backlog, &mut self.rng, now) {
            return Verdict::Forward(peer);
        }
        if !usable {
            let readmission = self.endpoints.next_probe(now).map(|at| at.since(now));
            return refuse(Refusal::NoEndpoint, readmission.unwrap_or(RETRY_AFTER));
        }
        let Some(queue) = self.queue.class(class) else {
            return refuse(Refusal::UnknownClass, RETRY_AFTER);
        };
        let max_wait = queue.spec.max_wait_ms;
        let wait = match wait {
            Some(wait) if wait <= max_wait && self.queue.has_room(class, team) => wait,
            longer => return refuse(Refusal::QueueFull, longer.unwrap_or(max_wait)),
        };
        let service = self.quantile(class, SERVICE_TIME_PERMILLE);
        if now + wait + service > req.deadline {
            return refuse(Refusal::DeadlineTooShort, wait.max(Millis(1)));
        }
        let id = req.queue_entry.id;
        self.enqueue(req, max_wait, false, now);
        self.dispatch_queued_for(id, now)
    }

    /// Sends queued requests and returns the verdict on `id`. The next tick returns the other
    /// verdicts.
    pub(super) fn dispatch_queued_for(&mut self, id: RequestId, now: Millis) -> Verdict {
        let mut out = self.dispatch_queued(now);
        let own = out.iter().position(|(held, _)| *held == id);
        let verdict = own.map_or(Verdict::Wait, |at| out.remove(at).1);
        self.pending_verdicts = out;
        verdict
    }

    /// Adds a request to the end of its team's queue, or to the front.
    pub(super) fn enqueue(
        &mut self,
        mut req: TrackedRequest,
        max_wait: Millis,
        front: bool,
        now: Millis,
    ) {
        let until = req.deadline.min(now + max_wait);
        req.waits_until = Some(until);
        self.wait_expiries.insert((until, req.queue_entry.id));
        self.queue.push(&req.queue_entry, front);
        self.requests.insert(req.queue_entry.id, req);
    }

    /// Sends queued requests while slots are free. Returns the new verdicts and the pending ones.
    pub(super) fn dispatch_queued(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.dispatch_due = false;
        let mut out = std::mem::take(&mut self.pending_verdicts);
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED
            && !self.queue.is_empty()
            && self.endpoints.is_available(now)
        {
            let mean = self.latency.mean();
            let Some(id) = self.queue.pop(mean, self.slot_counts()) else {
                break;
            };
            let Some(mut req) = self.requests.remove(&id) else {
                continue;
            };
            if self.is_too_late(&req, now) {
                self.remove_from_queue(&req);
                out.push((id, self.too_late_verdict(&req)));
            } else if let Some(pick) = self.start_attempt(&mut req, now) {
                self.remove_from_queue(&req);
                req.waits_until = None;
                self.queue.charge(&req.queue_entry, true, mean, now);
                self.requests.insert(id, req);
                out.push((id, Verdict::Send(pick)));
            } else {
                skipped.push(req);
            }
        }
        for req in skipped.into_iter().rev() {
            self.queue.push(&req.queue_entry, true);
            self.requests.insert(req.queue_entry.id, req);
        }
        out
    }

    fn is_too_late(&self, req: &TrackedRequest, now: Millis) -> bool {
        let floor = self.quantile(&req.queue_entry.class, MIN_LATENCY_PERMILLE);
        req.waits_until.is_some_and(|until| until <= now) || now + floor > req.deadline
    }

    fn too_late_verdict(&self, req: &TrackedRequest) -> Verdict {
        let wait = self.expected_wait(&req.queue_entry.class, &req.queue_entry.team);
        let retry_after = wait.unwrap_or(RETRY_AFTER).max(Millis(1));
        final_verdict(req, Refusal::WaitedTooLong, retry_after)
    }
}
