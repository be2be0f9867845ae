//! Ejection, probing and readmission of an endpoint.

use super::Outcome;
use crate::prelude::*;

/// Failures in a row after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Silent requests in a row after which an endpoint is ejected; each one costs its caller a
/// whole time-out, so fewer are tolerated than of fast failures.
const MAX_CONSECUTIVE_SILENT: u32 = 2;

/// Failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Outcomes before the failure rate counts.
const MIN_OUTCOMES: u32 = 20;

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Time of the first ejection; it doubles with each further one.
const BASE_EJECTION: Millis = Millis::from_secs(1);

/// Longest ejection.
const MAX_EJECTION: Millis = Millis::from_secs(60);

/// Time in good health after which the next ejection is short again.
const FORGIVE_AFTER: Millis = Millis::from_secs(60);

/// Wait after which a probe may also be a request that cannot be repeated.
const PROBE_PATIENCE: Millis = Millis::from_secs(2);

/// Increase of the expected delay of a failing endpoint that may not be ejected.
const FAILURE_PENALTY: f64 = 4.0;

/// Time after which half of the increase is left.
const PENALTY_HALF_LIFE: Millis = Millis::from_secs(5);

/// Whether an endpoint may be used.
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
    consecutive: u32,
    silent: u32,
    rate: f64,
    outcomes: u32,
    ejections: u32,
    changed: Millis,
    recorded: Millis,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            consecutive: 0,
            silent: 0,
            rate: 0.0,
            outcomes: 0,
            ejections: 0,
            changed: Millis::ZERO,
            recorded: Millis::ZERO,
        }
    }
}

impl Health {
    /// Counts an outcome.
    pub fn record(&mut self, outcome: Outcome, now: Millis) {
        let failed = match outcome {
            Outcome::Success { .. } => 0.0,
            Outcome::Abandoned => return,
            _ => 1.0,
        };
        self.rate += (failed - self.rate) * OUTCOME_WEIGHT;
        self.recorded = now;
        self.outcomes = self.outcomes.saturating_add(1);
        self.silent = match outcome {
            Outcome::Stalled => self.silent + 1,
            _ => 0,
        };
        self.consecutive = if failed > 0.0 {
            self.consecutive + 1
        } else {
            0
        };
    }

    /// Tells whether the outcomes call for an ejection.
    pub fn is_failing(&self) -> bool {
        self.state == State::Healthy
            && (self.consecutive >= MAX_CONSECUTIVE_FAILURES
                || self.silent >= MAX_CONSECUTIVE_SILENT
                || (self.outcomes >= MIN_OUTCOMES && self.rate > MAX_FAILURE_RATE))
    }

    /// Returns the factor by which failures make the endpoint less attractive.
    ///
    /// It applies to endpoints that are due for ejection but stay in use because too many others
    /// are ejected, and fades so that they are tried again. Lesser failures are not counted, since
    /// an endpoint that is merely avoided would be neither ejected nor probed.
    pub fn penalty(&self, now: Millis) -> f64 {
        if !self.is_failing() {
            return 1.0;
        }
        let age = now.since(self.recorded).get() as f64;
        1.0 + FAILURE_PENALTY * 0.5_f64.powf(age / PENALTY_HALF_LIFE.get() as f64)
    }

    /// Tells whether the endpoint is out of regular use.
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

    /// Tells whether a request may be sent as a probe.
    pub fn wants_probe(&self, idempotent: bool, now: Millis) -> bool {
        let patience = if idempotent {
            Millis::ZERO
        } else {
            PROBE_PATIENCE
        };
        self.ejected_until()
            .is_some_and(|until| now >= until + patience)
    }

    /// Returns the next time after `now` at which more requests may serve as a probe.
    pub fn next_probe(&self, now: Millis) -> Option<Millis> {
        let until = self.ejected_until()?;
        [until, until + PROBE_PATIENCE]
            .into_iter()
            .find(|at| *at > now)
    }

    /// Puts the endpoint out of use for a time that grows with each ejection.
    pub fn eject(&mut self, now: Millis) {
        let forgiven = self.state == State::Healthy && now.since(self.changed) >= FORGIVE_AFTER;
        if forgiven {
            self.ejections = 0;
        }
        let span = BASE_EJECTION.get() << self.ejections.min(16);
        self.ejections += 1;
        self.state = State::Ejected {
            until: now + Millis(span).min(MAX_EJECTION),
        };
        self.changed = now;
    }

    /// Notes that a probe was sent.
    pub fn start_probe(&mut self) {
        self.state = State::Probing;
    }

    /// Readmits the endpoint, or ejects it for longer, after the probe ended.
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

    /// Puts the endpoint back into use without its record of failures.
    pub fn readmit(&mut self, now: Millis) {
        self.state = State::Healthy;
        self.changed = now;
        self.consecutive = 0;
        self.silent = 0;
        self.rate = 0.0;
        self.outcomes = 0;
    }
}
