//! The endpoints of one service, and the choice of an endpoint for a request.

use std::collections::HashMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::endpoint::Endpoint;
use super::{EndpointShare, Outcome};
use crate::prelude::*;

/// Expected delay in milliseconds that an endpoint in another zone must save over one in the zone of
/// this process.
const DISTANCE_PENALTY_MS: f64 = 5.0;

/// Weight of the newest response in the service's typical latency.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Typical latency in milliseconds before the first response.
const INITIAL_LATENCY_MS: f64 = 10.0;

/// A slot taken at an endpoint for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Local time at which the slot was taken.
    pub started: Millis,
    /// Whether the attempt probes an ejected endpoint.
    pub probe: bool,
}

/// Largest slowdown that is reported, in thousandths.
const MAX_SLOWDOWN: f64 = 5000.0;

/// Endpoints of a service with the slots that this process may use.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    zone: ZoneId,
    endpoints: Vec<Endpoint>,
    index: HashMap<VmId, usize>,
    max_ejected: Permille,
    log_typical_latency: f64,
    local: Vec<usize>,
    remote: Vec<usize>,
}

impl EndpointPool {
    /// Creates an empty pool for a process in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            endpoints: Vec::new(),
            index: HashMap::new(),
            max_ejected: Permille(0),
            log_typical_latency: INITIAL_LATENCY_MS.ln(),
            local: Vec::new(),
            remote: Vec::new(),
        }
    }

    /// Changes the share of endpoints that may be ejected at once.
    pub fn set_max_ejected(&mut self, max: Permille, now: Millis) {
        self.max_ejected = max;
        self.enforce_ejection_limit(now);
    }

    /// Replaces the list of endpoints. Endpoints that are no longer listed finish their requests in
    /// flight.
    pub fn set(&mut self, shares: Vec<EndpointShare>, now: Millis) {
        self.endpoints.iter_mut().for_each(Endpoint::retire);
        for share in shares {
            match self.index.get(&share.vm) {
                Some(&at) => self.endpoints[at].update(share),
                None => {
                    self.index.insert(share.vm.clone(), self.endpoints.len());
                    self.endpoints.push(Endpoint::new(share));
                }
            }
        }
        self.endpoints
            .retain(|endpoint| endpoint.share.slots > 0 || endpoint.in_flight() > 0);
        let places = self.endpoints.iter().enumerate();
        self.index = places.map(|(at, e)| (e.share.vm.clone(), at)).collect();
        self.enforce_ejection_limit(now);
    }

    /// Takes a slot for a request at an endpoint whose probe is due, otherwise at the one with the
    /// lower expected delay of two random endpoints.
    pub fn take(
        &mut self,
        excluded: Option<&VmId>,
        idempotent: bool,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<(Attempt, Address)> {
        let probe = self.due_probe(excluded, idempotent, now);
        let at = probe.or_else(|| self.choose(excluded, rng, now))?;
        let endpoint = &mut self.endpoints[at];
        endpoint.start(now);
        if probe.is_some() {
            endpoint.health.start_probe();
        }
        let attempt = Attempt {
            vm: endpoint.share.vm.clone(),
            started: now,
            probe: probe.is_some(),
        };
        Some((attempt, endpoint.share.address))
    }

    /// Frees the slot of an attempt, and ejects the endpoint if it is failing and the ejection
    /// limit allows it.
    pub fn end(&mut self, attempt: &Attempt, outcome: Outcome, now: Millis) {
        let Some(&at) = self.index.get(&attempt.vm) else {
            return;
        };
        if let Outcome::Success { latency } = outcome {
            let sample = (latency.get().max(1) as f64).ln();
            self.log_typical_latency += (sample - self.log_typical_latency) * SAMPLE_WEIGHT;
        }
        let typical = self.log_typical_latency.exp();
        self.endpoints[at].end(attempt, outcome, typical, now);
        if self.endpoints[at].health.is_failing() && self.may_eject() {
            self.endpoints[at].health.eject(now);
        }
    }

    /// Returns the number of requests that may be sent now.
    pub fn free(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::free).sum()
    }

    /// Returns whether a slot is free or a probe is due.
    pub fn is_available(&self, now: Millis) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.free() > 0 || endpoint.wants_probe(true, now))
    }

    /// Returns the number of requests that may be in flight at usable endpoints.
    pub fn capacity(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::capacity).sum()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::in_flight).sum()
    }

    /// Returns the number of requests in flight at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (VmId, u32)> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.in_flight() > 0)
            .map(|endpoint| (endpoint.share.vm.clone(), endpoint.in_flight()))
    }

    /// Returns the slowdown of each endpoint with the age of the measurement.
    ///
    /// A slowdown is relative to the typical latency of the service's endpoints, which is 1000.
    pub fn slowdowns(&self, now: Millis) -> impl Iterator<Item = (VmId, Permille, Millis)> {
        self.endpoints.iter().filter_map(move |endpoint| {
            let (log_latency, sampled) = endpoint.latency_estimate()?;
            let ratio = (log_latency - self.log_typical_latency).exp();
            let slowdown = (ratio * 1000.0).clamp(1000.0, MAX_SLOWDOWN);
            let age = now.since(sampled);
            Some((endpoint.share.vm.clone(), Permille(slowdown as u32), age))
        })
    }

    /// Returns the number of ejected endpoints.
    pub fn ejected(&self) -> u32 {
        let ejected = self.accepting().filter(|e| e.health.is_ejected());
        u32::try_from(ejected.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether an endpoint other than `vm` is in service, ejected or not.
    pub fn has_other(&self, vm: &VmId) -> bool {
        self.endpoints.iter().any(|endpoint| {
            endpoint.share.vm != *vm && endpoint.share.slots > 0 && !endpoint.share.leaving
        })
    }

    /// Returns whether an endpoint other than `excluded` is usable, busy or not.
    pub fn has_usable(&self, excluded: Option<&VmId>) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.capacity() > 0 && Some(&endpoint.share.vm) != excluded)
    }

    /// Returns the next time after `now` at which an ejected endpoint may be probed.
    pub fn next_probe(&self, now: Millis) -> Option<Millis> {
        self.accepting()
            .filter_map(|endpoint| endpoint.health.next_probe(now))
            .min()
    }

    fn accepting(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|e| e.accepts_requests())
    }

    /// Returns the number of endpoints that may be ejected at once.
    fn max_ejected_count(&self) -> u32 {
        let total = self.accepting().count() as u64;
        let most = total * u64::from(self.max_ejected.get()) / 1000;
        u32::try_from(most).unwrap_or(u32::MAX)
    }

    fn may_eject(&self) -> bool {
        self.ejected() < self.max_ejected_count()
    }

    /// Readmits endpoints until no more than allowed are ejected. The endpoints whose ejection ends
    /// first are readmitted first.
    fn enforce_ejection_limit(&mut self, now: Millis) {
        while self.ejected() > self.max_ejected_count() {
            let soonest = self
                .endpoints
                .iter_mut()
                .filter(|endpoint| endpoint.accepts_requests() && endpoint.health.is_ejected())
                .min_by_key(|endpoint| endpoint.health.ejected_until());
            match soonest {
                Some(endpoint) => endpoint.health.readmit(now),
                None => return,
            }
        }
    }

    fn due_probe(&self, excluded: Option<&VmId>, idempotent: bool, now: Millis) -> Option<usize> {
        if self.ejected() == 0 {
            return None;
        }
        self.endpoints.iter().position(|endpoint| {
            endpoint.wants_probe(idempotent, now) && Some(&endpoint.share.vm) != excluded
        })
    }

    /// Chooses the better of two random endpoints in this zone, or the better of two in other zones
    /// if it saves more than [`DISTANCE_PENALTY_MS`].
    fn choose(
        &mut self,
        excluded: Option<&VmId>,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<usize> {
        self.local.clear();
        self.remote.clear();
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.free() == 0 || Some(&endpoint.share.vm) == excluded {
                continue;
            }
            if endpoint.share.zone == self.zone {
                self.local.push(at);
            } else {
                self.remote.push(at);
            }
        }
        let local = self.better_of_two(&self.local, rng, now);
        let remote = self.better_of_two(&self.remote, rng, now);
        match (local, remote) {
            (Some((local, a)), Some((remote, b))) => Some(if a <= b + DISTANCE_PENALTY_MS {
                local
            } else {
                remote
            }),
            (one, other) => one.or(other).map(|(at, _)| at),
        }
    }

    fn better_of_two(
        &self,
        candidates: &[usize],
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<(usize, f64)> {
        let delay = |at: usize| {
            let typical = self.log_typical_latency.exp();
            (at, self.endpoints[at].expected_delay(typical, now))
        };
        let (first, second) = match candidates {
            [] => return None,
            [only] => return Some(delay(*only)),
            _ => {
                let first = rng.random_range(0..candidates.len());
                let step = rng.random_range(1..candidates.len());
                let second = (first + step) % candidates.len();
                (candidates[first], candidates[second])
            }
        };
        let (first, second) = (delay(first), delay(second));
        Some(if first.1 <= second.1 { first } else { second })
    }
}
