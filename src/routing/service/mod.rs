//! Decisions on the requests of one service.

mod attempts;
mod queueing;

use std::collections::{BTreeSet, HashMap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::endpoint_pool::EndpointPool;
use super::peers::{Backlog, Peers};
use super::tracked_request::TrackedRequest;
use super::{EndpointShare, IncomingRequest, PeerLoad, RequestId, ServiceLoad, Verdict};
use crate::admission::{LatencyWindow, QueueEntry, Refusal, ServiceQueue, SlotCounts};
use crate::bundle::BundleInForce;
use crate::prelude::*;
use crate::retry::RetryBudget;
use crate::schema::bundle::ServiceSpec;

/// Quantile of a class's latency, in thousandths, below which the remaining time cannot suffice.
const MIN_LATENCY_PERMILLE: u64 = 100;

/// Quantile of a class's latency, in thousandths, that counts as its service time.
const SERVICE_TIME_PERMILLE: u64 = 500;

/// Service time in milliseconds that is assumed before the first response.
const INITIAL_SERVICE_MS: f64 = 10.0;

/// Requests per millisecond that a process without slots is assumed to serve. A nonzero value lets
/// it rank peers by their queues.
const MIN_CAPACITY: f64 = 0.001;

/// Upper limit of the reported time to drain a queue, in milliseconds.
const MAX_DRAIN_MS: f64 = 60_000.0;

/// Retry hint of a refusal that is not caused by load.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Time within which a bundle change takes effect in all processes.
const BUNDLE_PROPAGATION: Millis = Millis::from_secs(8);

/// Specification of the service in the bundle in force.
#[derive(Clone, Debug)]
struct Policy {
    version: Version,
    spec: ServiceSpec,
}

/// Endpoints, peers, queues and retry budget of one service.
#[derive(Debug)]
pub struct Service {
    policy: Option<Policy>,
    endpoints: EndpointPool,
    peers: Peers,
    queue: ServiceQueue,
    budget: RetryBudget,
    latency: LatencyWindow,
    requests: HashMap<RequestId, TrackedRequest>,
    wait_expiries: BTreeSet<(Millis, RequestId)>,
    /// Verdicts from calls that could not return them; the next call that can returns them.
    pending_verdicts: Vec<(RequestId, Verdict)>,
    dispatch_due: bool,
    clock: Millis,
    rng: ChaCha8Rng,
}

impl Service {
    /// Creates a service that refuses requests until a bundle specifies it.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            policy: None,
            endpoints: EndpointPool::new(zone.clone()),
            peers: Peers::new(zone),
            queue: ServiceQueue::default(),
            budget: RetryBudget::new(Permille(0)),
            latency: LatencyWindow::default(),
            requests: HashMap::new(),
            wait_expiries: BTreeSet::new(),
            pending_verdicts: Vec::new(),
            dispatch_due: false,
            clock: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a bundle. Without `spec` the service refuses new and queued requests.
    pub fn configure(&mut self, cfg: &BundleInForce, spec: Option<&ServiceSpec>, now: Millis) {
        self.advance(now);
        let orphans = self.queue.configure(&cfg.bundle.class, &cfg.bundle.team);
        self.refuse_queued(orphans, Refusal::UnknownClass);
        if let Some(spec) = spec {
            match self.policy {
                Some(_) => self.budget.configure(spec.retry_budget_permille),
                None => self.budget = RetryBudget::new(spec.retry_budget_permille),
            }
            self.endpoints
                .set_max_ejected(spec.max_ejected_permille, now);
        } else {
            let waiting = self.wait_expiries.iter().map(|(_, id)| *id).collect();
            self.refuse_queued(waiting, Refusal::UnknownService);
        }
        self.policy = spec.cloned().map(|spec| Policy {
            version: cfg.version,
            spec,
        });
        self.dispatch_due = true;
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, shares: Vec<EndpointShare>, now: Millis) {
        self.advance(now);
        self.endpoints.set(shares, now);
        self.dispatch_due = true;
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, peers: Vec<PeerLoad>, now: Millis) {
        self.advance(now);
        self.peers.set(peers, now);
        self.dispatch_due = true;
    }

    /// Replaces the report of one peer.
    pub fn update_peer(&mut self, peer: PeerLoad, now: Millis) {
        self.advance(now);
        self.peers.update(peer, now);
    }

    /// Records the load that a listed peer reported at `now`.
    pub fn record_peer_load(
        &mut self,
        member: &MemberId,
        free_slots: u32,
        queue_delay: Millis,
        now: Millis,
    ) {
        self.advance(now);
        self.peers.record_load(member, free_slots, queue_delay, now);
    }

    /// Decides on a new request.
    pub fn dispatch(&mut self, req: IncomingRequest, now: Millis) -> Verdict {
        self.advance(now);
        let Some(policy) = &self.policy else {
            return refuse(Refusal::UnknownService, BUNDLE_PROPAGATION);
        };
        let default_class = &policy.spec.default_class;
        let class = req.class.as_ref().unwrap_or(default_class).clone();
        if self.queue.class(&class).is_none() {
            return refuse(Refusal::UnknownClass, BUNDLE_PROPAGATION);
        }
        if req.team.as_ref().is_some_and(|t| !self.queue.has_team(t)) {
            return refuse(Refusal::UnknownTeam, BUNDLE_PROPAGATION);
        }
        let span = req.deadline.unwrap_or(policy.spec.default_deadline_ms);
        let span = span.min(policy.spec.max_deadline_ms);
        if span <= self.quantile(&class, MIN_LATENCY_PERMILLE) {
            return refuse(Refusal::DeadlineTooShort, RETRY_AFTER);
        }
        let mut tracked = TrackedRequest::new(&req, class, now + span);
        if self.queue.is_empty()
            && self
                .queue
                .admits(&tracked.queue_entry.class, self.slot_counts())
            && let Some(pick) = self.start_attempt(&mut tracked, now)
        {
            self.queue
                .charge(&tracked.queue_entry, false, self.latency.mean(), now);
            self.requests.insert(req.id, tracked);
            return Verdict::Send(pick);
        }
        self.enqueue_or_refuse(tracked, req.forwarded, now)
    }

    /// Returns the number of requests in flight at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (VmId, u32)> {
        self.endpoints.in_flight_by_endpoint()
    }

    /// Returns the slowdown of each endpoint; 1000 is the typical latency.
    pub fn slowdowns(&self, now: Millis) -> impl Iterator<Item = (VmId, Permille, Millis)> {
        self.endpoints.slowdowns(now)
    }

    /// Returns the load for heartbeats and metrics.
    pub fn load(&self) -> ServiceLoad {
        let free_slots = self.endpoints.free();
        let queue_delay = match free_slots {
            0 => self.backlog().drain_time,
            _ => Millis::ZERO,
        };
        ServiceLoad {
            free_slots,
            in_progress: self.endpoints.in_flight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            queue_delay,
            p50: self.latency.quantile(500).unwrap_or(Millis::ZERO),
            p99: self.latency.quantile(990).unwrap_or(Millis::ZERO),
            ejected: self.endpoints.ejected(),
        }
    }

    /// Returns the time at which [`Service::tick`] is due next.
    pub fn next_tick(&self) -> Option<Millis> {
        if !self.pending_verdicts.is_empty() || (self.dispatch_due && !self.queue.is_empty()) {
            return Some(self.clock);
        }
        let expiry = self.wait_expiries.first().map(|(at, _)| *at);
        let probe = match self.queue.is_empty() {
            true => None,
            false => self.endpoints.next_probe(self.clock),
        };
        expiry.into_iter().chain(probe).min()
    }

    fn advance(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
        self.latency.advance(now);
        self.queue.advance(now);
    }

    /// Returns a quantile of a class's latency, or zero before the first response.
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

    fn slot_counts(&self) -> SlotCounts {
        SlotCounts {
            free: self.endpoints.free(),
            total: self.endpoints.capacity(),
        }
    }

    fn backlog(&self) -> Backlog {
        let mean = self.latency.mean().unwrap_or(INITIAL_SERVICE_MS);
        let capacity = (f64::from(self.endpoints.capacity()) / mean).max(MIN_CAPACITY);
        let drain_time = (self.queue.len() as f64 + 1.0) / capacity;
        Backlog {
            drain_time: Millis(drain_time.min(MAX_DRAIN_MS).ceil() as u64),
            capacity,
        }
    }

    /// Refuses queued requests that the bundle no longer allows.
    fn refuse_queued(&mut self, ids: Vec<RequestId>, reason: Refusal) {
        for id in ids {
            if let Some(req) = self.requests.remove(&id) {
                self.remove_from_queue(&req);
                let verdict = final_verdict(&req, reason, BUNDLE_PROPAGATION);
                self.pending_verdicts.push((id, verdict));
            }
        }
    }

    fn remove_from_queue(&mut self, req: &TrackedRequest) {
        if let Some(until) = req.waits_until {
            self.wait_expiries.remove(&(until, req.queue_entry.id));
            self.queue.remove(&req.queue_entry);
        }
    }

    fn record_latency(&mut self, queue_entry: &QueueEntry, latency: Millis, now: Millis) {
        self.latency.record(latency, now);
        if let Some(queue) = self.queue.class_mut(&queue_entry.class) {
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

/// Returns the refusal of a request, or [`Verdict::Unknown`] if an endpoint may have run it.
fn final_verdict(req: &TrackedRequest, reason: Refusal, retry_after: Millis) -> Verdict {
    if req.may_have_run {
        return Verdict::Unknown;
    }
    refuse(reason, retry_after)
}
