//! Online estimates of how much one kind of task slows another.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Prior mean: slowdown per unit of load of a pair without evidence.
const PRIOR_MEAN: f64 = 0.3;

/// Prior variance of the slowdown per unit of load.
const PRIOR_VARIANCE: f64 = 0.16;

/// Noise variance of one slowdown measurement.
const NOISE_VARIANCE: f64 = 0.01;

/// Upper bound of the estimated slowdown per unit of load.
const MAX_SLOWDOWN: f64 = 4.0;

/// Number of distinct kinds. Later ones share the last index, which bounds memory and time.
const MAX_KINDS: usize = 48;

/// Minimum interval between two decays of a row, to save work when many reports arrive together.
const AGE_STEP: Millis = Millis(1000);

/// A kind of task, numbered in order of appearance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(usize);

/// Load by kind. One unit is all processors of the worker.
pub type Loads = Vec<(Kind, f64)>;

/// Estimates of what slows one kind: means and their covariance, by source kind.
#[derive(Clone, Debug)]
struct Row {
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    updated_at: Millis,
}

/// Slowdown estimates per pair of kinds: recursive least squares with exponential decay.
///
/// The full covariance is kept, because variances alone cannot separate kinds that often run
/// together.
#[derive(Clone, Debug)]
pub struct Interference {
    names: BTreeMap<String, Kind>,
    rows: Vec<Row>,
    half_life: Millis,
}

impl Interference {
    /// Creates estimates without evidence. Every pair has the prior.
    pub fn new(half_life: Millis) -> Self {
        Self {
            names: BTreeMap::new(),
            rows: Vec::new(),
            half_life,
        }
    }

    /// Sets the age at which a measurement counts half.
    pub fn set_half_life(&mut self, half_life: Millis) {
        self.half_life = half_life;
    }

    /// Returns the index of a kind and assigns one to a new kind.
    pub fn kind(&mut self, name: &str) -> Kind {
        if let Some(kind) = self.names.get(name) {
            return *kind;
        }
        if self.rows.len() == MAX_KINDS {
            return Kind(MAX_KINDS - 1);
        }
        let kind = Kind(self.rows.len());
        self.names.insert(name.to_string(), kind);
        self.rows.push(Row::new());
        kind
    }

    /// Returns mean and standard deviation of the slowdown of `victim` per unit of load of
    /// `source`.
    pub fn estimate(&self, victim: Kind, source: Kind, now: Millis) -> (f64, f64) {
        let Some(row) = self.rows.get(victim.0) else {
            return (PRIOR_MEAN, PRIOR_VARIANCE.sqrt());
        };
        let retained = self.retained(row, now);
        let mean = row.means.get(source.0).copied().unwrap_or(PRIOR_MEAN);
        let variance = row
            .covariance
            .get(source.0)
            .and_then(|line| line.get(source.0))
            .copied()
            .unwrap_or(PRIOR_VARIANCE);
        let mean = PRIOR_MEAN + (mean - PRIOR_MEAN) * retained;
        let variance =
            variance * retained * retained + PRIOR_VARIANCE * (1.0 - retained * retained);
        (mean.clamp(0.0, MAX_SLOWDOWN), variance.max(0.0).sqrt())
    }

    /// Returns a cautious estimate of the slowdown that `source` adds to `victim` at this load: the
    /// mean plus `deviations` standard deviations.
    pub fn cost(&self, victim: Kind, source: Kind, load: f64, deviations: f64, now: Millis) -> f64 {
        let (mean, deviation) = self.estimate(victim, source, now);
        (mean + deviations * deviation).min(MAX_SLOWDOWN) * load
    }

    /// Updates the estimates from one measurement; `slowdown` is the added part, zero at full
    /// speed.
    pub fn learn(&mut self, victim: Kind, sources: &[(Kind, f64)], slowdown: f64, now: Millis) {
        let half_life = self.half_life;
        let Some(row) = self.rows.get_mut(victim.0) else {
            return;
        };
        let present: Vec<(usize, f64)> = sources
            .iter()
            .filter(|(_, load)| *load > 0.0)
            .map(|(source, load)| (source.0, *load))
            .collect();
        if present.is_empty() {
            return;
        }
        row.age(half_life, now);
        row.grow(present.iter().map(|(source, _)| source + 1).max());
        row.update(&present, slowdown);
    }

    fn retained(&self, row: &Row, now: Millis) -> f64 {
        decay(now.since(row.updated_at), self.half_life)
    }
}

impl Row {
    fn new() -> Self {
        Self {
            means: Vec::new(),
            covariance: Vec::new(),
            updated_at: Millis::ZERO,
        }
    }

    /// Extends the row to `kinds` source kinds. New ones get the prior.
    fn grow(&mut self, kinds: Option<usize>) {
        let kinds = kinds.unwrap_or_default().max(self.means.len());
        self.means.resize(kinds, PRIOR_MEAN);
        for line in &mut self.covariance {
            line.resize(kinds, 0.0);
        }
        for kind in self.covariance.len()..kinds {
            let mut line = vec![0.0; kinds];
            if let Some(own) = line.get_mut(kind) {
                *own = PRIOR_VARIANCE;
            }
            self.covariance.push(line);
        }
    }

    /// Decays means and covariance towards the prior.
    fn age(&mut self, half_life: Millis, now: Millis) {
        let span = now.since(self.updated_at);
        if span < AGE_STEP {
            return;
        }
        self.updated_at = now;
        let retained = decay(span, half_life);
        for mean in &mut self.means {
            *mean = PRIOR_MEAN + (*mean - PRIOR_MEAN) * retained;
        }
        for (at, line) in self.covariance.iter_mut().enumerate() {
            for (other, value) in line.iter_mut().enumerate() {
                let prior = if at == other { PRIOR_VARIANCE } else { 0.0 };
                *value = *value * retained * retained + prior * (1.0 - retained * retained);
            }
        }
    }

    /// Applies one step of recursive least squares.
    fn update(&mut self, present: &[(usize, f64)], slowdown: f64) {
        let projected: Vec<f64> = self
            .covariance
            .iter()
            .map(|line| {
                let part = |(kind, load): &(usize, f64)| line.get(*kind).map(|v| v * load);
                present.iter().filter_map(part).sum()
            })
            .collect();
        let sum = |values: &[f64]| -> f64 {
            let part = |(kind, load): &(usize, f64)| values.get(*kind).map(|v| v * load);
            present.iter().filter_map(part).sum()
        };
        let innovation_variance = sum(&projected) + NOISE_VARIANCE;
        let error = slowdown - sum(&self.means);
        for (mean, projected) in self.means.iter_mut().zip(&projected) {
            *mean = (*mean + projected / innovation_variance * error).clamp(0.0, MAX_SLOWDOWN);
        }
        for (line, own) in self.covariance.iter_mut().zip(&projected) {
            for (value, other) in line.iter_mut().zip(&projected) {
                *value -= own * other / innovation_variance;
            }
        }
    }
}

/// Returns the weight that evidence retains after a span.
fn decay(span: Millis, half_life: Millis) -> f64 {
    (-(span.0 as f64) / half_life.0.max(1) as f64).exp2()
}
