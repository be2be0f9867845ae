//! State of one endpoint as seen by this process.

use super::endpoint_pool::Attempt;
use super::health::Health;
use super::{EndpointShare, Outcome};
use crate::admission::ConcurrencyLimit;
use crate::prelude::*;

/// Weight of the newest answer in the latency estimate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Age at which a latency estimate counts half; the rest is taken from the service's mean.
const ESTIMATE_HALF_LIFE: Millis = Millis::from_secs(5);

/// An endpoint with its requests in progress, latency, limit and health.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Slots held by this process.
    pub share: EndpointShare,
    /// Ejection state.
    pub health: Health,
    limit: ConcurrencyLimit,
    started: Vec<Millis>,
    log_latency: Option<f64>,
    sampled: Millis,
}

impl Endpoint {
    /// Creates the state of an endpoint that has not been used yet.
    pub fn new(share: EndpointShare) -> Self {
        Self {
            limit: ConcurrencyLimit::new(share.slots),
            share,
            health: Health::default(),
            started: Vec::new(),
            log_latency: None,
            sampled: Millis::ZERO,
        }
    }

    /// Applies a change of the share; what was learned is kept unless the address changed.
    pub fn update(&mut self, share: EndpointShare) {
        if share.address != self.share.address {
            self.health = Health::default();
            self.limit = ConcurrencyLimit::new(share.slots);
            self.log_latency = None;
        }
        self.limit.set_slots(share.slots);
        self.share = share;
    }

    /// Takes all slots away; requests in progress go on.
    pub fn retire(&mut self) {
        self.share.slots = 0;
        self.share.leaving = true;
        self.limit.set_slots(0);
    }

    /// Returns the logarithm of the measured latency in milliseconds and when it was measured.
    pub fn measured(&self) -> Option<(f64, Millis)> {
        self.log_latency.map(|log| (log, self.sampled))
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether the endpoint takes new requests at all.
    pub fn is_member(&self) -> bool {
        !self.share.leaving && self.share.slots > 0
    }

    /// Returns the requests that may be in progress, ignoring those that are.
    pub fn capacity(&self) -> u32 {
        if !self.is_member() || self.health.is_ejected() {
            return 0;
        }
        self.limit.get()
    }

    /// Returns the requests that may be sent now.
    pub fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.in_progress())
    }

    /// Tells whether a probe may be sent now.
    pub fn wants_probe(&self, idempotent: bool, now: Millis) -> bool {
        self.is_member()
            && self.in_progress() < self.share.slots
            && self.health.wants_probe(idempotent, now)
    }

    /// Takes a slot.
    pub fn start(&mut self, now: Millis) {
        self.started.push(now);
    }

    /// Frees the slot of an attempt and learns from its outcome.
    pub fn end(&mut self, attempt: &Attempt, outcome: Outcome, typical: f64, now: Millis) {
        let in_progress = self.in_progress();
        if let Some(at) = self
            .started
            .iter()
            .position(|held| *held == attempt.started)
        {
            self.started.swap_remove(at);
        }
        match outcome {
            Outcome::Success { latency } => {
                self.learn(latency, typical, now);
                self.limit.record(latency, in_progress, now);
            }
            Outcome::Stalled => self.limit.record_stall(),
            _ => {}
        }
        self.health.record(outcome, now);
        if attempt.probe {
            self.health.end_probe(outcome, now);
        }
    }

    /// Returns the expected delay of a new request in milliseconds.
    ///
    /// `typical` is the service's geometric mean of latencies. An estimate loses weight with its
    /// age, and a request that is overdue counts as a sample of its present age.
    pub fn expected_delay(&self, typical: f64, now: Millis) -> f64 {
        let own = self.log_estimate(typical, now).exp();
        let overdue = self.started.iter().map(|at| now.since(*at).get()).max();
        let base = own.max(overdue.unwrap_or(0) as f64);
        let usage = f64::from(self.in_progress()) / f64::from(self.limit.get().max(1));
        base * (1.0 + usage) * self.health.penalty(now)
    }

    /// Returns the logarithm of the estimated latency, which approaches the typical one with age.
    fn log_estimate(&self, typical: f64, now: Millis) -> f64 {
        let typical = typical.ln();
        self.log_latency.map_or(typical, |log| {
            let age = now.since(self.sampled).get() as f64;
            let weight = 0.5_f64.powf(age / ESTIMATE_HALF_LIFE.get() as f64);
            typical + (log - typical) * weight
        })
    }

    /// Averages the logarithm, because single long answers would dominate a plain mean.
    ///
    /// The sample is added to the aged estimate: added to the old one, a single answer after a
    /// long pause would renew an estimate from before the pause.
    fn learn(&mut self, latency: Millis, typical: f64, now: Millis) {
        let sample = (latency.get().max(1) as f64).ln();
        let aged = self.log_latency.map(|_| self.log_estimate(typical, now));
        self.log_latency = Some(match aged {
            Some(log) => log + (sample - log) * SAMPLE_WEIGHT,
            None => sample,
        });
        self.sampled = now;
    }
}
