//! Decisions on the requests of one service.

mod attempts;
mod waiting;

use std::collections::{BTreeSet, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::endpoint_pool::EndpointPool;
use super::peers::{Backlog, Peers};
use super::tracked::Tracked;
use super::{EndpointShare, IncomingRequest, PeerLoad, RequestId, ServiceLoad, Verdict};
use crate::admission::{LatencyWindow, QueueEntry, Refusal, ServiceQueue, SlotCounts};
use crate::bundle::BundleInForce;
use crate::prelude::*;
use crate::retry::RetryBudget;
use crate::schema::bundle::ServiceSpec;

/// Quantile of a class's latency, in thousandths, that a request needs at the very least.
const FLOOR_PERMILLE: u64 = 100;

/// Quantile of a class's latency, in thousandths, that counts as its service time.
const SERVICE_PERMILLE: u64 = 500;

/// Service time that is assumed before the first answer.
const INITIAL_SERVICE_MS: f64 = 10.0;

/// Requests per millisecond that a process without slots is assumed to serve, so that it ranks
/// peers by their queues.
const MIN_CAPACITY: f64 = 0.001;

/// Longest time to drain a queue that is reported, in milliseconds.
const MAX_DRAIN_MS: f64 = 60_000.0;

/// Hint given with a refusal that is not caused by load.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Time within which a bundle change is in effect everywhere.
const BUNDLE_DELAY: Millis = Millis::from_secs(8);

/// Rules of the service in the bundle in force.
#[derive(Clone, Debug)]
struct Policy {
    version: Version,
    spec: ServiceSpec,
}

/// Endpoints, peers, queues and budget of one service.
#[derive(Debug)]
pub struct Service {
    policy: Option<Policy>,
    fleet: EndpointPool,
    peers: Peers,
    queue: ServiceQueue,
    budget: RetryBudget,
    latency: LatencyWindow,
    requests: HashMap<RequestId, Tracked>,
    expiries: BTreeSet<(Millis, RequestId)>,
    /// Verdicts that arose in a call that cannot return them.
    decided: Vec<(RequestId, Verdict)>,
    wake: bool,
    clock: Millis,
    rng: ChaCha8Rng,
}

impl Service {
    /// Creates a service that the bundle does not know yet.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            policy: None,
            fleet: EndpointPool::new(zone.clone()),
            peers: Peers::new(zone),
            queue: ServiceQueue::default(),
            budget: RetryBudget::new(Permille(0)),
            latency: LatencyWindow::default(),
            requests: HashMap::new(),
            expiries: BTreeSet::new(),
            decided: Vec::new(),
            wake: false,
            clock: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a bundle; without `spec` the service takes no more requests.
    pub fn configure(&mut self, cfg: &BundleInForce, spec: Option<&ServiceSpec>, now: Millis) {
        self.advance(now);
        let orphans = self.queue.configure(&cfg.bundle.class, &cfg.bundle.team);
        self.turn_away(orphans, Refusal::UnknownClass);
        if let Some(spec) = spec {
            match self.policy {
                Some(_) => self.budget.configure(spec.retry_budget_permille),
                None => self.budget = RetryBudget::new(spec.retry_budget_permille),
            }
            self.fleet.set_max_ejected(spec.max_ejected_permille, now);
        } else {
            let waiting = self.expiries.iter().map(|(_, id)| *id).collect();
            self.turn_away(waiting, Refusal::UnknownService);
        }
        self.policy = spec.cloned().map(|spec| Policy {
            version: cfg.version,
            spec,
        });
        self.wake = true;
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, shares: Vec<EndpointShare>, now: Millis) {
        self.advance(now);
        self.fleet.set(shares, now);
        self.wake = true;
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, peers: Vec<PeerLoad>, now: Millis) {
        self.advance(now);
        self.peers.set(peers, now);
        self.wake = true;
    }

    /// Replaces the report of one peer.
    pub fn update_peer(&mut self, peer: PeerLoad, now: Millis) {
        self.advance(now);
        self.peers.update(peer, now);
    }

    /// Takes in the load that a listed peer reported at this moment.
    pub fn record_peer_load(
        &mut self,
        member: &MemberId,
        free_slots: u32,
        queue_delay: Millis,
        now: Millis,
    ) {
        self.advance(now);
        self.peers.hear(member, free_slots, queue_delay, now);
    }

    /// Decides on a new request.
    pub fn dispatch(&mut self, req: IncomingRequest, now: Millis) -> Verdict {
        self.advance(now);
        let Some(policy) = &self.policy else {
            return refuse(Refusal::UnknownService, BUNDLE_DELAY);
        };
        let default_class = &policy.spec.default_class;
        let class = req.class.as_ref().unwrap_or(default_class).clone();
        if self.queue.class(&class).is_none() {
            return refuse(Refusal::UnknownClass, BUNDLE_DELAY);
        }
        if req.team.as_ref().is_some_and(|t| !self.queue.has_team(t)) {
            return refuse(Refusal::UnknownTeam, BUNDLE_DELAY);
        }
        let span = req.deadline.unwrap_or(policy.spec.default_deadline_ms);
        let span = span.min(policy.spec.max_deadline_ms);
        if span <= self.quantile(&class, FLOOR_PERMILLE) {
            return refuse(Refusal::DeadlineTooShort, RETRY_AFTER);
        }
        let mut tracked = Tracked::new(&req, class, now + span);
        if self.queue.is_empty()
            && self.queue.admits(&tracked.ticket.class, self.room())
            && let Some(pick) = self.send(&mut tracked, now)
        {
            self.queue
                .charge(&tracked.ticket, false, self.latency.mean(), now);
            self.requests.insert(req.id, tracked);
            return Verdict::Send(pick);
        }
        self.wait(tracked, req.forwarded, now)
    }

    /// Returns the requests in progress at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (VmId, u32)> {
        self.fleet.in_flight_by_endpoint()
    }

    /// Returns how much slower than usual each endpoint answers; 1000 is the usual speed.
    pub fn slowdowns(&self, now: Millis) -> impl Iterator<Item = (VmId, Permille, Millis)> {
        self.fleet.slowdowns(now)
    }

    /// Returns the load for heartbeats and metrics.
    pub fn load(&self) -> ServiceLoad {
        let free_slots = self.fleet.free();
        let queue_delay = match free_slots {
            0 => self.backlog().drain,
            _ => Millis::ZERO,
        };
        ServiceLoad {
            free_slots,
            in_progress: self.fleet.in_progress(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            queue_delay,
            p50: self.latency.quantile(500).unwrap_or(Millis::ZERO),
            p99: self.latency.quantile(990).unwrap_or(Millis::ZERO),
            ejected: self.fleet.ejected(),
        }
    }

    /// Returns the time at which [`Service::tick`] is due.
    pub fn next_tick(&self) -> Option<Millis> {
        if !self.decided.is_empty() || (self.wake && !self.queue.is_empty()) {
            return Some(self.clock);
        }
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let probe = match self.queue.is_empty() {
            true => None,
            false => self.fleet.next_probe(self.clock),
        };
        expiry.into_iter().chain(probe).min()
    }

    fn advance(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
        self.latency.advance(now);
        self.queue.advance(now);
    }

    /// Returns a quantile of a class's latency, or zero before the first answer.
    fn quantile(&self, class: &ClassName, permille: u64) -> Millis {
        self.queue
            .class(class)
            .and_then(|queue| queue.latency.quantile(permille))
            .unwrap_or(Millis::ZERO)
    }

    /// Estimates the wait of a new request while no slot is free.
    fn expected_wait(&self, class: &ClassName, team: &Option<TeamId>) -> Option<Millis> {
        let capacity = self.backlog().capacity;
        self.queue.expected_wait(class, team, capacity)
    }

    fn room(&self) -> SlotCounts {
        SlotCounts {
            free: self.fleet.free(),
            total: self.fleet.capacity(),
        }
    }

    fn backlog(&self) -> Backlog {
        let mean = self.latency.mean().unwrap_or(INITIAL_SERVICE_MS);
        let capacity = (f64::from(self.fleet.capacity()) / mean).max(MIN_CAPACITY);
        let drain = (self.queue.len() as f64 + 1.0) / capacity;
        Backlog {
            drain: Millis(drain.min(MAX_DRAIN_MS).ceil() as u64),
            capacity,
        }
    }

    /// Refuses waiting requests that the bundle no longer allows.
    fn turn_away(&mut self, ids: Vec<RequestId>, reason: Refusal) {
        for id in ids {
            if let Some(req) = self.requests.remove(&id) {
                self.forget_wait(&req);
                let verdict = give_up(&req, reason, BUNDLE_DELAY);
                self.decided.push((id, verdict));
            }
        }
    }

    fn forget_wait(&mut self, req: &Tracked) {
        if let Some(until) = req.waits_until {
            self.expiries.remove(&(until, req.ticket.id));
            self.queue.remove(&req.ticket);
        }
    }

    fn learn(&mut self, ticket: &QueueEntry, latency: Millis, now: Millis) {
        self.latency.record(latency, now);
        if let Some(queue) = self.queue.class_mut(&ticket.class) {
            queue.latency.record(latency, now);
        }
    }
}

fn refuse(reason: Refusal, retry_after: Millis) -> Verdict {
    Verdict::Refuse {
        reason,
        retry_after,
    }
}

/// Ends a request: "not run" is reported only if no attempt may have run.
fn give_up(req: &Tracked, reason: Refusal, retry_after: Millis) -> Verdict {
    if req.may_have_run {
        return Verdict::Unknown;
    }
    refuse(reason, retry_after)
}
