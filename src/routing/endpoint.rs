//! State of one endpoint as seen by this process.

use super::endpoint_pool::Attempt;
use super::health::Health;
use super::{EndpointShare, Outcome};
use crate::admission::ConcurrencyLimit;
use crate::prelude::*;

/// Weight of the newest response in the latency estimate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Age at which a latency estimate counts half. The other half is the service's typical latency.
const ESTIMATE_HALF_LIFE: Millis = Millis::from_secs(5);

/// An endpoint with its requests in flight, latency estimate, concurrency limit and health.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Slots that are assigned to this process.
    pub share: EndpointShare,
    /// Ejection state.
    pub health: Health,
    limit: ConcurrencyLimit,
    start_times: Vec<Millis>,
    log_latency: Option<f64>,
    sampled_at: Millis,
}

impl Endpoint {
    /// Creates the state of an endpoint that has not been used yet.
    pub fn new(share: EndpointShare) -> Self {
        Self {
            limit: ConcurrencyLimit::new(share.slots),
            share,
            health: Health::default(),
            start_times: Vec::new(),
            log_latency: None,
            sampled_at: Millis::ZERO,
        }
    }

    /// Applies a change of the share. A changed address resets latency, limit and health.
    pub fn update(&mut self, share: EndpointShare) {
        if share.address != self.share.address {
            self.health = Health::default();
            self.limit = ConcurrencyLimit::new(share.slots);
            self.log_latency = None;
        }
        self.limit.set_slots(share.slots);
        self.share = share;
    }

    /// Removes all slots. Requests in flight continue.
    pub fn retire(&mut self) {
        self.share.slots = 0;
        self.share.leaving = true;
        self.limit.set_slots(0);
    }

    /// Returns the natural logarithm of the estimated latency in milliseconds, and the time of the
    /// last sample.
    pub fn latency_estimate(&self) -> Option<(f64, Millis)> {
        self.log_latency.map(|log| (log, self.sampled_at))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.start_times.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the endpoint is in service, regardless of its health and load.
    pub fn accepts_requests(&self) -> bool {
        !self.share.leaving && self.share.slots > 0
    }

    /// Returns the number of requests that may be in flight at the same time.
    pub fn capacity(&self) -> u32 {
        if !self.accepts_requests() || self.health.is_ejected() {
            return 0;
        }
        self.limit.get()
    }

    /// Returns the number of requests that may be sent now.
    pub fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.in_flight())
    }

    /// Returns whether a request may be sent as a probe now.
    pub fn wants_probe(&self, idempotent: bool, now: Millis) -> bool {
        self.accepts_requests()
            && self.in_flight() < self.share.slots
            && self.health.wants_probe(idempotent, now)
    }

    /// Takes a slot for an attempt.
    pub fn start(&mut self, now: Millis) {
        self.start_times.push(now);
    }

    /// Frees the slot of an attempt and updates latency, limit and health by its outcome.
    pub fn end(&mut self, attempt: &Attempt, outcome: Outcome, typical: f64, now: Millis) {
        let in_flight = self.in_flight();
        if let Some(at) = self
            .start_times
            .iter()
            .position(|held| *held == attempt.started)
        {
            self.start_times.swap_remove(at);
        }
        match outcome {
            Outcome::Success { latency } => {
                self.record_latency(latency, typical, now);
                self.limit.record(latency, in_flight, now);
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
    /// `typical` is the geometric mean of the service's latencies in milliseconds. The estimate
    /// loses weight with its age. The age of the oldest request in flight is a lower bound.
    pub fn expected_delay(&self, typical: f64, now: Millis) -> f64 {
        let own = self.log_estimate(typical, now).exp();
        let overdue = self.start_times.iter().map(|at| now.since(*at).get()).max();
        let base = own.max(overdue.unwrap_or(0) as f64);
        let usage = f64::from(self.in_flight()) / f64::from(self.limit.get().max(1));
        base * (1.0 + usage) * self.health.penalty(now)
    }

    /// Returns the logarithm of the estimated latency, which approaches the typical one as the
    /// estimate ages.
    fn log_estimate(&self, typical: f64, now: Millis) -> f64 {
        let typical = typical.ln();
        self.log_latency.map_or(typical, |log| {
            let age = now.since(self.sampled_at).get() as f64;
            let weight = 0.5_f64.powf(age / ESTIMATE_HALF_LIFE.get() as f64);
            typical + (log - typical) * weight
        })
    }

    /// Adds a sample to the mean of the logarithm; a few slow responses would dominate a plain mean.
    ///
    /// The sample is combined with the aged estimate. Combined with the original one, a single
    /// response after a long pause would renew an estimate from before the pause.
    fn record_latency(&mut self, latency: Millis, typical: f64, now: Millis) {
        let sample = (latency.get().max(1) as f64).ln();
        let aged = self.log_latency.map(|_| self.log_estimate(typical, now));
        self.log_latency = Some(match aged {
            Some(log) => log + (sample - log) * SAMPLE_WEIGHT,
            None => sample,
        });
        self.sampled_at = now;
    }
}
