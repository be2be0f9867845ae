//! How strongly one kind of task slows another, learned from late reports.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Slowdown per unit of load that is assumed of an unknown pair.
const PRIOR_MEAN: f64 = 0.3;

/// Variance of the prior.
const PRIOR_VARIANCE: f64 = 0.16;

/// Variance of one measurement of slowdown.
const NOISE_VARIANCE: f64 = 0.01;

/// Largest slowdown per unit of load.
const MAX_SLOWDOWN: f64 = 4.0;

/// A kind of task, numbered in order of appearance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u32);

/// Load by kind; one unit is all processors of the worker.
pub type Loads = Vec<(Kind, f64)>;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    variance: f64,
    at: Millis,
}

/// Estimates per pair of kinds: a regression whose evidence loses half its weight per half-life.
#[derive(Clone, Debug)]
pub struct Interference {
    names: BTreeMap<String, Kind>,
    pairs: Vec<Vec<Option<Estimate>>>,
    half_life: Millis,
}

impl Interference {
    /// Creates estimates that know nothing.
    pub fn new(half_life: Millis) -> Self {
        Self {
            names: BTreeMap::new(),
            pairs: Vec::new(),
            half_life,
        }
    }

    /// Changes the age at which a measurement counts half.
    pub fn set_half_life(&mut self, half_life: Millis) {
        self.half_life = half_life;
    }

    /// Returns the number of a kind.
    pub fn kind(&mut self, name: &str) -> Kind {
        if let Some(kind) = self.names.get(name) {
            return *kind;
        }
        let kind = Kind(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.insert(name.to_string(), kind);
        self.pairs.push(Vec::new());
        kind
    }

    /// Returns mean and deviation of the slowdown of `victim` per unit of load of `source`.
    pub fn estimate(&self, victim: Kind, source: Kind, now: Millis) -> (f64, f64) {
        let aged = self.aged(victim, source, now);
        (aged.mean, aged.variance.sqrt())
    }

    /// Returns the slowdown that `source` adds to `victim`, with `deviations` on top.
    pub fn cost(&self, victim: Kind, source: Kind, load: f64, deviations: f64, now: Millis) -> f64 {
        let (mean, deviation) = self.estimate(victim, source, now);
        (mean + deviations * deviation).min(MAX_SLOWDOWN) * load
    }

    /// Learns from one measurement: `slowdown` is the added part, zero at full speed.
    pub fn learn(&mut self, victim: Kind, sources: &[(Kind, f64)], slowdown: f64, now: Millis) {
        let aged: Vec<(Kind, f64, Estimate)> = sources
            .iter()
            .filter(|(_, load)| *load > 0.0)
            .map(|(source, load)| (*source, *load, self.aged(victim, *source, now)))
            .collect();
        let expected: f64 = aged.iter().map(|(_, load, e)| load * e.mean).sum();
        let spread: f64 = aged
            .iter()
            .map(|(_, load, e)| load * load * e.variance)
            .sum();
        let error = slowdown - expected;
        for (source, load, estimate) in aged {
            let gain = estimate.variance * load / (spread + NOISE_VARIANCE);
            let next = Estimate {
                mean: (estimate.mean + gain * error).clamp(0.0, MAX_SLOWDOWN),
                variance: estimate.variance * (1.0 - gain * load),
                at: now,
            };
            self.put(victim, source, next);
        }
    }

    /// Returns an estimate whose evidence has aged until `now`.
    fn aged(&self, victim: Kind, source: Kind, now: Millis) -> Estimate {
        let held = index(victim)
            .and_then(|row| self.pairs.get(row))
            .and_then(|row| row.get(index(source)?))
            .copied()
            .flatten();
        let Some(held) = held else {
            return Estimate {
                mean: PRIOR_MEAN,
                variance: PRIOR_VARIANCE,
                at: now,
            };
        };
        let age = now.since(held.at).0 as f64 / self.half_life.0.max(1) as f64;
        let kept = (-age).exp2();
        // Precision is evidence: it decays towards that of the prior, and the mean with it.
        let prior = 1.0 / PRIOR_VARIANCE;
        let evidence = (1.0 / held.variance - prior).max(0.0) * kept;
        let weight = evidence / (evidence + prior);
        let full = (1.0 / held.variance - prior).max(0.0) * held.variance;
        let data_mean = if full > 0.0 {
            (held.mean - PRIOR_MEAN * (1.0 - full)) / full
        } else {
            PRIOR_MEAN
        };
        Estimate {
            mean: (data_mean * weight + PRIOR_MEAN * (1.0 - weight)).clamp(0.0, MAX_SLOWDOWN),
            variance: 1.0 / (evidence + prior),
            at: now,
        }
    }

    fn put(&mut self, victim: Kind, source: Kind, next: Estimate) {
        let (Some(row), Some(column)) = (index(victim), index(source)) else {
            return;
        };
        if let Some(row) = self.pairs.get_mut(row) {
            if row.len() <= column {
                row.resize(column + 1, None);
            }
            if let Some(cell) = row.get_mut(column) {
                *cell = Some(next);
            }
        }
    }
}

fn index(kind: Kind) -> Option<usize> {
    usize::try_from(kind.0).ok()
}
