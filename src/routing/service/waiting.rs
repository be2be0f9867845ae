//! Requests that wait for a slot.

use super::{
    FLOOR_PERMILLE, RETRY_AFTER, Refusal, RequestId, SERVICE_PERMILLE, Service, Tracked, Verdict,
    give_up, refuse,
};
use crate::prelude::*;

/// Waiting requests that may be passed over because the free endpoint is not for them.
const MAX_PASSED_OVER: usize = 16;

/// Wait of a request whose class has no prospect of being served.
const MAX_WAIT: Millis = Millis::from_secs(60);

impl Service {
    /// Expires waiting requests and sends those for which there is a slot.
    pub fn tick(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.advance(now);
        while let Some(&(at, id)) = self.expiries.first()
            && at <= now
        {
            self.expiries.pop_first();
            if let Some(req) = self.requests.remove(&id) {
                self.queue.remove(&req.ticket);
                let verdict = self.too_late(&req);
                self.decided.push((id, verdict));
            }
        }
        self.pump(now)
    }

    /// Queues a new request, forwards it, or refuses it if it cannot be answered in time.
    pub(super) fn wait(&mut self, req: Tracked, forwarded: bool, now: Millis) -> Verdict {
        let (class, team) = (&req.ticket.class, &req.ticket.team);
        let usable = self.fleet.has_usable(None) || self.fleet.is_available(now);
        let wait = self.expected_wait(class, team);
        let here = usable.then(|| wait.unwrap_or(MAX_WAIT));
        let backlog = self.backlog();
        if !forwarded && let Some(peer) = self.peers.choose(here, backlog, &mut self.rng, now) {
            return Verdict::Forward(peer);
        }
        if !usable {
            let readmission = self.fleet.next_probe(now).map(|at| at.since(now));
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
        let service = self.quantile(class, SERVICE_PERMILLE);
        if now + wait + service > req.deadline {
            return refuse(Refusal::DeadlineTooShort, wait.max(Millis(1)));
        }
        let id = req.ticket.id;
        self.enqueue(req, max_wait, false, now);
        self.pump_for(id, now)
    }

    /// Sends what can be sent and returns the verdict on `id`; the others follow at the next tick.
    pub(super) fn pump_for(&mut self, id: RequestId, now: Millis) -> Verdict {
        let mut out = self.pump(now);
        let own = out.iter().position(|(held, _)| *held == id);
        let verdict = own.map_or(Verdict::Wait, |at| out.remove(at).1);
        self.decided = out;
        verdict
    }

    /// Adds a request to the queue, before those of its team if it has waited already.
    pub(super) fn enqueue(&mut self, mut req: Tracked, max_wait: Millis, front: bool, now: Millis) {
        let until = req.deadline.min(now + max_wait);
        req.waits_until = Some(until);
        self.expiries.insert((until, req.ticket.id));
        self.queue.push(&req.ticket, front);
        self.requests.insert(req.ticket.id, req);
    }

    /// Sends waiting requests while slots are free; returns these and earlier verdicts.
    pub(super) fn pump(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.wake = false;
        let mut out = std::mem::take(&mut self.decided);
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER
            && !self.queue.is_empty()
            && self.fleet.is_available(now)
        {
            let mean = self.latency.mean();
            let Some(id) = self.queue.pop(mean, self.room()) else {
                break;
            };
            let Some(mut req) = self.requests.remove(&id) else {
                continue;
            };
            if self.is_hopeless(&req, now) {
                self.forget_wait(&req);
                out.push((id, self.too_late(&req)));
            } else if let Some(pick) = self.send(&mut req, now) {
                self.forget_wait(&req);
                req.waits_until = None;
                self.queue.charge(&req.ticket, true, mean, now);
                self.requests.insert(id, req);
                out.push((id, Verdict::Send(pick)));
            } else {
                passed_over.push(req);
            }
        }
        for req in passed_over.into_iter().rev() {
            self.queue.push(&req.ticket, true);
            self.requests.insert(req.ticket.id, req);
        }
        out
    }

    fn is_hopeless(&self, req: &Tracked, now: Millis) -> bool {
        let floor = self.quantile(&req.ticket.class, FLOOR_PERMILLE);
        req.waits_until.is_some_and(|until| until <= now) || now + floor > req.deadline
    }

    fn too_late(&self, req: &Tracked) -> Verdict {
        let wait = self.expected_wait(&req.ticket.class, &req.ticket.team);
        let retry_after = wait.unwrap_or(RETRY_AFTER).max(Millis(1));
        give_up(req, Refusal::WaitedTooLong, retry_after)
    }
}
