//! Ejection, probing and readmission of an endpoint.

use super::Outcome;
use crate::prelude::*;

/// Consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Consecutive stalls after which an endpoint is ejected. Each stall costs its caller a whole
/// timeout, so fewer of them are tolerated than of fast failures.
const MAX_CONSECUTIVE_STALLS: u32 = 2;

/// Failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Number of outcomes before the failure rate counts.
const MIN_OUTCOMES: u32 = 20;

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Duration of the first ejection. It doubles with each further ejection.
const BASE_EJECTION_TIME: Millis = Millis::from_secs(1);

/// Longest ejection.
const MAX_EJECTION_TIME: Millis = Millis::from_secs(60);

/// Time since readmission after which the next ejection has the base duration again.
const EJECTION_RESET_AFTER: Millis = Millis::from_secs(60);

/// Delay after the end of an ejection before a request that is not idempotent may be the probe.
const NON_IDEMPOTENT_PROBE_DELAY: Millis = Millis::from_secs(2);

/// Relative increase of the expected delay of a failing endpoint that may not be ejected.
const FAILING_DELAY_PENALTY: f64 = 4.0;

/// Time in which the increase halves.
const PENALTY_HALF_LIFE: Millis = Millis::from_secs(5);

/// Ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected { until: Millis },
    Probing,
}

/// Health of one endpoint as seen by this process.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    consecutive_stalls: u32,
    failure_rate: f64,
    outcomes: u32,
    ejections: u32,
    state_changed_at: Millis,
    recorded_at: Millis,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            consecutive_failures: 0,
            consecutive_stalls: 0,
            failure_rate: 0.0,
            outcomes: 0,
            ejections: 0,
            state_changed_at: Millis::ZERO,
            recorded_at: Millis::ZERO,
        }
    }
}

impl Health {
    /// Counts the outcome of an attempt.
    pub fn record(&mut self, outcome: Outcome, now: Millis) {
        let failed = match outcome {
            Outcome::Success { .. } => 0.0,
            Outcome::Abandoned => return,
            _ => 1.0,
        };
        self.failure_rate += (failed - self.failure_rate) * OUTCOME_WEIGHT;
        self.recorded_at = now;
        self.outcomes = self.outcomes.saturating_add(1);
        self.consecutive_stalls = match outcome {
            Outcome::Stalled => self.consecutive_stalls + 1,
            _ => 0,
        };
        self.consecutive_failures = if failed > 0.0 {
            self.consecutive_failures + 1
        } else {
            0
        };
    }

    /// Returns whether the outcomes call for an ejection.
    pub fn is_failing(&self) -> bool {
        self.state == State::Healthy
            && (self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                || self.consecutive_stalls >= MAX_CONSECUTIVE_STALLS
                || (self.outcomes >= MIN_OUTCOMES && self.failure_rate > MAX_FAILURE_RATE))
    }

    /// Returns the factor by which failures raise the expected delay of the endpoint.
    ///
    /// It applies to endpoints that are due for ejection but stay in use because too many others
    /// are ejected. It decays so that they are tried again. Fewer failures have no effect, because
    /// an endpoint that is merely avoided would be neither ejected nor probed.
    pub fn penalty(&self, now: Millis) -> f64 {
        if !self.is_failing() {
            return 1.0;
        }
        let age = now.since(self.recorded_at).get() as f64;
        1.0 + FAILING_DELAY_PENALTY * 0.5_f64.powf(age / PENALTY_HALF_LIFE.get() as f64)
    }

    /// Returns whether the endpoint gets no regular requests.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    /// Returns the end of the ejection.
    pub fn ejected_until(&self) -> Option<Millis> {
        match self.state {
            State::Ejected { until } => Some(until),
            State::Healthy | State::Probing => None,
        }
    }

    /// Returns whether a request may be sent as a probe.
    pub fn wants_probe(&self, idempotent: bool, now: Millis) -> bool {
        let delay = if idempotent {
            Millis::ZERO
        } else {
            NON_IDEMPOTENT_PROBE_DELAY
        };
        self.ejected_until()
            .is_some_and(|until| now >= until + delay)
    }

    /// Returns the next time after `now` at which idempotent, or all, requests may be the probe.
    pub fn next_probe(&self, now: Millis) -> Option<Millis> {
        let until = self.ejected_until()?;
        [until, until + NON_IDEMPOTENT_PROBE_DELAY]
            .into_iter()
            .find(|at| *at > now)
    }

    /// Ejects the endpoint for a time that grows with each ejection.
    pub fn eject(&mut self, now: Millis) {
        let reset_count = self.state == State::Healthy
            && now.since(self.state_changed_at) >= EJECTION_RESET_AFTER;
        if reset_count {
            self.ejections = 0;
        }
        let span = BASE_EJECTION_TIME.get() << self.ejections.min(16);
        self.ejections += 1;
        self.state = State::Ejected {
            until: now + Millis(span).min(MAX_EJECTION_TIME),
        };
        self.state_changed_at = now;
    }

    /// Records that a probe was sent.
    pub fn start_probe(&mut self) {
        self.state = State::Probing;
    }

    /// Readmits the endpoint or ejects it again, depending on the outcome of the probe.
    pub fn end_probe(&mut self, outcome: Outcome, now: Millis) {
        if self.state != State::Probing {
            return;
        }
        match outcome {
            Outcome::Success { .. } => self.readmit(now),
            Outcome::Abandoned => self.state = State::Ejected { until: now },
            _ => self.eject(now),
        }
    }

    /// Puts the endpoint back into use and resets its failure counts.
    pub fn readmit(&mut self, now: Millis) {
        self.state = State::Healthy;
        self.state_changed_at = now;
        self.consecutive_failures = 0;
        self.consecutive_stalls = 0;
        self.failure_rate = 0.0;
        self.outcomes = 0;
    }
}
