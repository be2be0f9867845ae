//! The endpoints of one service, and the choice between them.

use std::collections::HashMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::endpoint::Endpoint;
use super::{EndpointShare, Outcome};
use crate::prelude::*;

/// Delay that a remote endpoint must save before it is preferred to a local one.
const DISTANCE_PENALTY_MS: f64 = 5.0;

/// Weight of the newest answer in the service's typical latency.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Typical latency before the first answer.
const INITIAL_LATENCY_MS: f64 = 10.0;

/// A slot taken at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Local time at which the slot was taken.
    pub started: Millis,
    /// Whether it probes an ejected endpoint.
    pub probe: bool,
}

/// Largest slowdown that is reported, in thousandths.
const MAX_SLOWDOWN: f64 = 5000.0;

/// Endpoints of a service with the slots that this process holds there.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    zone: ZoneId,
    endpoints: Vec<Endpoint>,
    index: HashMap<VmId, usize>,
    max_ejected: Permille,
    log_typical: f64,
    near: Vec<usize>,
    far: Vec<usize>,
}

impl EndpointPool {
    /// Creates an empty fleet for a process in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            endpoints: Vec::new(),
            index: HashMap::new(),
            max_ejected: Permille(0),
            log_typical: INITIAL_LATENCY_MS.ln(),
            near: Vec::new(),
            far: Vec::new(),
        }
    }

    /// Changes how many endpoints may be ejected.
    pub fn set_max_ejected(&mut self, max: Permille, now: Millis) {
        self.max_ejected = max;
        self.keep_floor(now);
    }

    /// Replaces the list of endpoints; absent ones finish what they have in progress.
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
            .retain(|endpoint| endpoint.share.slots > 0 || endpoint.in_progress() > 0);
        let places = self.endpoints.iter().enumerate();
        self.index = places.map(|(at, e)| (e.share.vm.clone(), at)).collect();
        self.keep_floor(now);
    }

    /// Takes a slot for a request at the endpoint with the least expected delay of two.
    pub fn take(
        &mut self,
        except: Option<&VmId>,
        idempotent: bool,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<(Attempt, Address)> {
        let probe = self.probe_due(except, idempotent, now);
        let at = probe.or_else(|| self.choose(except, rng, now))?;
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

    /// Frees the slot of an attempt and ejects the endpoint if it fails too often.
    pub fn end(&mut self, attempt: &Attempt, outcome: Outcome, now: Millis) {
        let Some(&at) = self.index.get(&attempt.vm) else {
            return;
        };
        if let Outcome::Success { latency } = outcome {
            let sample = (latency.get().max(1) as f64).ln();
            self.log_typical += (sample - self.log_typical) * SAMPLE_WEIGHT;
        }
        let typical = self.log_typical.exp();
        self.endpoints[at].end(attempt, outcome, typical, now);
        if self.endpoints[at].health.is_failing() && self.may_eject() {
            self.endpoints[at].health.eject(now);
        }
    }

    /// Returns the requests that could be sent now.
    pub fn free(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::free).sum()
    }

    /// Tells whether a slot is free or a probe is due.
    pub fn is_available(&self, now: Millis) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.free() > 0 || endpoint.wants_probe(true, now))
    }

    /// Returns the requests that may be in progress at usable endpoints.
    pub fn capacity(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::capacity).sum()
    }

    /// Returns the requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.endpoints.iter().map(Endpoint::in_progress).sum()
    }

    /// Returns the requests in progress at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> impl Iterator<Item = (VmId, u32)> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.in_progress() > 0)
            .map(|endpoint| (endpoint.share.vm.clone(), endpoint.in_progress()))
    }

    /// Returns how much slower than usual each endpoint answers; 1000 is the usual speed.
    pub fn slowdowns(&self, now: Millis) -> impl Iterator<Item = (VmId, Permille, Millis)> {
        self.endpoints.iter().filter_map(move |endpoint| {
            let (log_latency, sampled) = endpoint.measured()?;
            let ratio = (log_latency - self.log_typical).exp();
            let slowdown = (ratio * 1000.0).clamp(1000.0, MAX_SLOWDOWN);
            let age = now.since(sampled);
            Some((endpoint.share.vm.clone(), Permille(slowdown as u32), age))
        })
    }

    /// Returns the number of ejected endpoints.
    pub fn ejected(&self) -> u32 {
        let ejected = self.members().filter(|e| e.health.is_ejected());
        u32::try_from(ejected.count()).unwrap_or(u32::MAX)
    }

    /// Tells whether another endpoint than `vm` takes requests, be it ejected or not.
    pub fn has_other(&self, vm: &VmId) -> bool {
        self.endpoints.iter().any(|endpoint| {
            endpoint.share.vm != *vm && endpoint.share.slots > 0 && !endpoint.share.leaving
        })
    }

    /// Tells whether a usable endpoint other than `except` exists, be it busy or not.
    pub fn has_usable(&self, except: Option<&VmId>) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.capacity() > 0 && Some(&endpoint.share.vm) != except)
    }

    /// Returns the next time after `now` at which an ejected endpoint takes another probe.
    pub fn next_probe(&self, now: Millis) -> Option<Millis> {
        self.members()
            .filter_map(|endpoint| endpoint.health.next_probe(now))
            .min()
    }

    fn members(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|e| e.is_member())
    }

    /// Returns how many of the endpoints may be ejected at once.
    fn most_ejected(&self) -> u32 {
        let members = self.members().count() as u64;
        let most = members * u64::from(self.max_ejected.get()) / 1000;
        u32::try_from(most).unwrap_or(u32::MAX)
    }

    fn may_eject(&self) -> bool {
        self.ejected() < self.most_ejected()
    }

    /// Readmits endpoints until no more than allowed are ejected, those due soonest first.
    fn keep_floor(&mut self, now: Millis) {
        while self.ejected() > self.most_ejected() {
            let soonest = self
                .endpoints
                .iter_mut()
                .filter(|endpoint| endpoint.is_member() && endpoint.health.is_ejected())
                .min_by_key(|endpoint| endpoint.health.ejected_until());
            match soonest {
                Some(endpoint) => endpoint.health.readmit(now),
                None => return,
            }
        }
    }

    fn probe_due(&self, except: Option<&VmId>, idempotent: bool, now: Millis) -> Option<usize> {
        if self.ejected() == 0 {
            return None;
        }
        self.endpoints.iter().position(|endpoint| {
            endpoint.wants_probe(idempotent, now) && Some(&endpoint.share.vm) != except
        })
    }

    /// Chooses the better of two local endpoints, or of two remote ones if those save more than
    /// the distance costs.
    fn choose(
        &mut self,
        except: Option<&VmId>,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<usize> {
        self.near.clear();
        self.far.clear();
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.free() == 0 || Some(&endpoint.share.vm) == except {
                continue;
            }
            if endpoint.share.zone == self.zone {
                self.near.push(at);
            } else {
                self.far.push(at);
            }
        }
        let near = self.better_of_two(&self.near, rng, now);
        let far = self.better_of_two(&self.far, rng, now);
        match (near, far) {
            (Some((near, a)), Some((far, b))) => Some(if a <= b + DISTANCE_PENALTY_MS {
                near
            } else {
                far
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
            let typical = self.log_typical.exp();
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
