//! Model of how much each best-effort image slows down each serving image.
//!
//! The slack of a serving task is its target divided by its tail latency; below 1 the target is
//! missed. Tail latency grows as in a queue, so slack falls in proportion to the CPU that each
//! best-effort image uses, whatever the load of the serving task. That load changes within seconds,
//! so the model learns from changes of slack between two readings of one run, by recursive least
//! squares with a prior.

use std::collections::HashMap;

/// Maximum number of best-effort images with a coefficient of their own; further ones share the
/// last coefficient.
const MAX_IMAGES: usize = 24;

/// Expected slack of an unknown serving image without best-effort neighbours.
const PRIOR_SLACK: f64 = 2.5;

/// Weight of a new reading in the mean slack of a serving image; the mean spans several load
/// cycles.
const SLACK_GAIN: f64 = 0.02;

/// Expected coefficient of an unknown pair: most pairs are calm, a quarter have about 6.
const PRIOR_COEFFICIENT: f64 = 2.0;

/// Variance of the expected coefficient.
const PRIOR_VARIANCE: f64 = 7.0;

/// Variance of the change of slack that load causes within half a second.
const LOAD_VARIANCE: f64 = 0.04;

/// Relative variance of the difference of two tail readings with an error of about 8% each.
const READING_VARIANCE: f64 = 0.013;

/// Variance added to a coefficient with each reading, so that the model follows changes.
const DRIFT_VARIANCE: f64 = 0.0005;

/// Share of a worker's CPU below which a change of use is ignored.
const MIN_CHANGE: f64 = 0.005;

/// Difference of coefficients at which two serving images count as entirely different.
const FULL_DIFFERENCE: f64 = 2.0;

/// CPU use of best-effort tasks, as shares of the worker's capacity by image index.
pub(super) type CpuShares = Vec<(usize, f64)>;

/// The learned model; a successor of the leader takes it over.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Interference {
    /// Indices of best-effort images.
    images: HashMap<String, usize>,
    /// Indices of serving images in `models`.
    serving: HashMap<String, usize>,
    models: Vec<Model>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Model {
    slack: f64,
    mean: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

/// Coefficients of one best-effort image, by the index of the serving image.
#[derive(Debug)]
pub(super) struct ImageImpact {
    coefficients: Vec<f64>,
}

impl ImageImpact {
    /// Returns the coefficient for a serving image; `None` stands for an unknown image.
    pub fn of(&self, serving: Option<usize>) -> f64 {
        serving
            .and_then(|index| self.coefficients.get(index).copied())
            .unwrap_or(PRIOR_COEFFICIENT)
    }
}

impl Interference {
    /// Returns whether all parts have the size that this version of the program uses.
    pub fn is_valid(&self) -> bool {
        self.images.values().all(|index| *index < MAX_IMAGES)
            && self
                .serving
                .values()
                .all(|index| *index < self.models.len())
            && self.models.iter().all(|model| {
                model.mean.len() == MAX_IMAGES
                    && model.covariance.len() == MAX_IMAGES
                    && model.covariance.iter().all(|row| row.len() == MAX_IMAGES)
            })
    }

    /// Learns from two readings of one run of image `serving`, each the slack and the CPU use of
    /// its best-effort neighbours.
    pub fn learn(&mut self, serving: &str, before: (f64, &CpuShares), after: (f64, &CpuShares)) {
        let mut x = vec![0.0; MAX_IMAGES];
        for (index, share) in after.1 {
            x[*index] += share;
        }
        for (index, share) in before.1 {
            x[*index] -= share;
        }
        for change in &mut x {
            if change.abs() < MIN_CHANGE {
                *change = 0.0;
            }
        }
        let level = (before.0 + after.0) / 2.0;
        let noise = LOAD_VARIANCE + READING_VARIANCE * level * level;
        self.model_mut(serving).learn(&x, before.0 - after.0, noise);
    }

    /// Adds a reading of the slack that image `serving` has without best-effort neighbours.
    pub fn record_slack(&mut self, serving: &str, slack: f64) {
        let model = self.model_mut(serving);
        model.slack += SLACK_GAIN * (slack - model.slack);
    }

    /// Returns the mean slack of a serving image without best-effort neighbours.
    pub fn mean_slack(&self, serving: Option<usize>) -> f64 {
        serving
            .and_then(|index| self.models.get(index))
            .map_or(PRIOR_SLACK, |model| model.slack)
    }

    /// Returns the slack that a serving image loses to this CPU use.
    pub fn loss(&self, serving: Option<usize>, uses: &CpuShares) -> f64 {
        let one = |(index, share): &(usize, f64)| self.coefficient(serving, *index) * share;
        uses.iter().map(one).sum()
    }

    /// Returns the coefficient of a pair of images, which is never negative.
    pub fn coefficient(&self, serving: Option<usize>, image: usize) -> f64 {
        serving
            .and_then(|index| self.models.get(index))
            .and_then(|model| model.mean.get(image))
            .map_or(PRIOR_COEFFICIENT, |mean| mean.max(0.0))
    }

    /// Returns the coefficients of one best-effort image for all serving images.
    pub fn impact(&self, image: &str) -> ImageImpact {
        let coefficients = match self.images.get(image) {
            Some(index) => {
                let models = self.models.iter();
                models.map(|model| model.mean[*index].max(0.0)).collect()
            }
            None => Vec::new(),
        };
        ImageImpact { coefficients }
    }

    /// Returns how differently two serving images react to best-effort images, from 0 to 1.
    pub fn difference(&self, a: &str, b: &str) -> f64 {
        match (self.index_of(a), self.index_of(b)) {
            (Some(a), Some(b)) if a == b => 0.0,
            (Some(a), Some(b)) => {
                let coefficients = self.images.values().map(|index| {
                    (self.coefficient(Some(a), *index) - self.coefficient(Some(b), *index)).abs()
                });
                (coefficients.fold(0.0, f64::max) / FULL_DIFFERENCE).min(1.0)
            }
            _ => f64::from(u8::from(a != b)),
        }
    }

    /// Returns the index of a serving image, if the model knows it.
    pub fn index_of(&self, serving: &str) -> Option<usize> {
        self.serving.get(serving).copied()
    }

    /// Returns the index of a best-effort image; a new image gets the next index.
    pub fn best_effort_index(&mut self, image: &str) -> usize {
        if let Some(index) = self.images.get(image) {
            return *index;
        }
        let next = self.images.len().min(MAX_IMAGES - 1);
        self.images.insert(image.to_string(), next);
        next
    }

    fn model_mut(&mut self, serving: &str) -> &mut Model {
        let index = match self.index_of(serving) {
            Some(index) => index,
            None => {
                self.serving.insert(serving.to_string(), self.models.len());
                self.models.push(Model::default());
                self.models.len() - 1
            }
        };
        &mut self.models[index]
    }
}

impl Default for Model {
    fn default() -> Self {
        let mut covariance = vec![vec![0.0; MAX_IMAGES]; MAX_IMAGES];
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = PRIOR_VARIANCE;
        }
        Self {
            slack: PRIOR_SLACK,
            mean: vec![PRIOR_COEFFICIENT; MAX_IMAGES],
            covariance,
        }
    }
}

impl Model {
    /// Performs one step of recursive least squares; features that are zero are skipped.
    fn learn(&mut self, x: &[f64], y: f64, noise: f64) {
        let nonzero: Vec<usize> = (0..x.len()).filter(|i| x[*i] != 0.0).collect();
        if nonzero.is_empty() {
            return;
        }
        for &i in &nonzero {
            self.covariance[i][i] += DRIFT_VARIANCE;
        }
        let gain: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| nonzero.iter().map(|&i| row[i] * x[i]).sum())
            .collect();
        let innovation_variance: f64 = nonzero.iter().map(|&i| x[i] * gain[i]).sum::<f64>() + noise;
        let error = y - nonzero.iter().map(|&i| x[i] * self.mean[i]).sum::<f64>();
        for i in 0..self.mean.len() {
            if gain[i] == 0.0 {
                continue;
            }
            self.mean[i] += gain[i] * error / innovation_variance;
            for j in 0..self.mean.len() {
                self.covariance[i][j] -= gain[i] * gain[j] / innovation_variance;
            }
        }
    }
}
