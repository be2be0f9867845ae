//! Learns by image how much tasks that fill raise the tail latency of tasks that serve.
//!
//! The model is linear in the logarithm of the tail: a base for the serving image, and for each
//! image that fills a coefficient times the share of the worker's processors that it uses. It is
//! fitted by recursive least squares with a prior, one small system per serving image.

use std::collections::HashMap;

/// Most images that fill which the model tells apart; further ones share the last coefficient.
const MAX_IMAGES: usize = 24;

/// Tail latency that is expected of an unknown serving image alone, in milliseconds.
const PRIOR_BASE_MS: f64 = 20.0;

/// Coefficient that is expected of an unknown pair: between those of calm and of noisy pairs.
const PRIOR_COEFFICIENT: f64 = 2.5;

/// Variance of that expectation; noisy pairs have coefficients of about 5.
const PRIOR_VARIANCE: f64 = 6.0;

/// Variance of the logarithm of the tail that the model leaves unexplained: serving load swings
/// by half within seconds.
const NOISE_VARIANCE: f64 = 0.25;

/// Variance added to a coefficient with each sample, so that the model follows changes.
const DRIFT_VARIANCE: f64 = 0.0005;

/// A use of processors by tasks of one image that fill, as a share of the worker's capacity.
pub(super) type Usage = (String, f64);

/// The learned model.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Interference {
    images: HashMap<String, usize>,
    /// Places of serving images in `models`.
    serving: HashMap<String, usize>,
    models: Vec<Model>,
}

/// How far one image that fills disturbs each serving image, by the places of these.
pub(super) struct Noise {
    known: Vec<f64>,
}

impl Noise {
    /// Coefficient for the serving image at a place; `None` stands for an unknown image.
    pub fn of(&self, serving: Option<usize>) -> f64 {
        serving
            .and_then(|at| self.known.get(at).copied())
            .unwrap_or(PRIOR_COEFFICIENT)
    }
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Model {
    mean: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

impl Interference {
    /// Tells whether all parts have the size that this version of the program uses.
    pub fn is_sound(&self) -> bool {
        let size = MAX_IMAGES + 1;
        self.images.values().all(|index| *index < size)
            && self.serving.values().all(|at| *at < self.models.len())
            && self.models.iter().all(|model| {
                model.mean.len() == size
                    && model.covariance.len() == size
                    && model.covariance.iter().all(|row| row.len() == size)
            })
    }

    /// Learns from a tail of a task of image `serving` beside these uses.
    pub fn learn(&mut self, serving: &str, tail_ms: u64, uses: &[Usage]) {
        if tail_ms == 0 {
            return;
        }
        let x = self.features(uses);
        let y = (tail_ms as f64).ln();
        let next = self.models.len();
        let at = *self.serving.entry(serving.to_string()).or_insert(next);
        if at == next {
            self.models.push(Model::default());
        }
        self.models[at].learn(&x, y);
    }

    /// Predicts the logarithm of the tail beside these uses.
    pub fn predict(&self, serving: &str, uses: &[Usage]) -> f64 {
        let base = self.base(serving);
        uses.iter().fold(base, |sum, (image, share)| {
            sum + self.coefficient(serving, image) * share
        })
    }

    /// Logarithm of the tail of a serving image alone.
    pub fn base(&self, serving: &str) -> f64 {
        self.model(serving)
            .map_or(PRIOR_BASE_MS.ln(), |model| model.mean[0])
    }

    /// Coefficient of a pair; it never speaks for less disturbance than none.
    pub fn coefficient(&self, serving: &str, image: &str) -> f64 {
        let index = self.images.get(image);
        match (self.model(serving), index) {
            (Some(model), Some(index)) => model.mean[*index].max(0.0),
            _ => PRIOR_COEFFICIENT,
        }
    }

    /// Coefficients of one image that fills, for all serving images at once.
    pub fn noise(&self, image: &str) -> Noise {
        let known = match self.images.get(image) {
            Some(index) => {
                let models = self.models.iter();
                models.map(|model| model.mean[*index].max(0.0)).collect()
            }
            None => Vec::new(),
        };
        Noise { known }
    }

    /// Place of a serving image, if anything is known of it.
    pub fn place(&self, serving: &str) -> Option<usize> {
        self.serving.get(serving).copied()
    }

    fn model(&self, serving: &str) -> Option<&Model> {
        self.models.get(self.place(serving)?)
    }

    fn features(&mut self, uses: &[Usage]) -> Vec<f64> {
        let mut x = vec![0.0; MAX_IMAGES + 1];
        x[0] = 1.0;
        for (image, share) in uses {
            let next = (self.images.len() + 1).min(MAX_IMAGES);
            let index = *self.images.entry(image.clone()).or_insert(next);
            x[index] += share;
        }
        x
    }
}

impl Default for Model {
    fn default() -> Self {
        let size = MAX_IMAGES + 1;
        let mut mean = vec![PRIOR_COEFFICIENT; size];
        mean[0] = PRIOR_BASE_MS.ln();
        let mut covariance = vec![vec![0.0; size]; size];
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = if i == 0 { 1.0 } else { PRIOR_VARIANCE };
        }
        Self { mean, covariance }
    }
}

impl Model {
    /// One step of recursive least squares; features that are zero are skipped.
    fn learn(&mut self, x: &[f64], y: f64) {
        let set: Vec<usize> = (0..x.len()).filter(|i| x[*i] != 0.0).collect();
        for &i in &set {
            self.covariance[i][i] += DRIFT_VARIANCE;
        }
        let gain: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| set.iter().map(|&i| row[i] * x[i]).sum())
            .collect();
        let spread: f64 = set.iter().map(|&i| x[i] * gain[i]).sum::<f64>() + NOISE_VARIANCE;
        let error = y - set.iter().map(|&i| x[i] * self.mean[i]).sum::<f64>();
        for i in 0..self.mean.len() {
            if gain[i] == 0.0 {
                continue;
            }
            self.mean[i] += gain[i] * error / spread;
            for j in 0..self.mean.len() {
                self.covariance[i][j] -= gain[i] * gain[j] / spread;
            }
        }
    }
}
