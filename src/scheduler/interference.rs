//! Learns by image how much tasks that fill slow down tasks that serve.
//!
//! The slack of a serving task is its target over its tail latency; below 1 the target is missed.
//! Tails grow as in a queue, so slack falls in proportion to the processors that each best-effort
//! image uses, whatever the task's own load. That load swings within seconds, so the model learns
//! from changes of slack between two readings of one run, by recursive least squares with a prior.

use std::collections::HashMap;

/// Most images that fill which the model tells apart; further ones share the last coefficient.
const MAX_IMAGES: usize = 24;

/// Slack that is expected of an unknown serving image beside nothing.
const PRIOR_SLACK: f64 = 2.5;

/// Weight of a new reading in the mean slack of a serving image; it spans several swings of load.
const SLACK_GAIN: f64 = 0.02;

/// Coefficient that is expected of an unknown pair: most are calm, a quarter loses about 6.
const PRIOR_COEFFICIENT: f64 = 2.0;

/// Variance of that expectation.
const PRIOR_VARIANCE: f64 = 7.0;

/// Variance of a change of slack that load explains, within half a second.
const LOAD_VARIANCE: f64 = 0.04;

/// Relative variance of two readings of a tail, of about 8% each.
const READING_VARIANCE: f64 = 0.013;

/// Variance added to a coefficient with each reading, so that the model follows changes.
const DRIFT_VARIANCE: f64 = 0.0005;

/// Changes of use below this share of a worker's processors teach nothing.
const LEAST_CHANGE: f64 = 0.005;

/// Difference of coefficients at which two serving images count as wholly different.
const DIFFERENT: f64 = 2.0;

/// Uses of processors by tasks that fill, as shares of the worker's capacity by place of image.
pub(super) type Uses = Vec<(usize, f64)>;

/// The learned model.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Interference {
    /// Places of images that fill.
    images: HashMap<String, usize>,
    /// Places of serving images in `models`.
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

/// How far one best-effort image disturbs each serving image, by the places of these.
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

impl Interference {
    /// Tells whether all parts have the size that this version of the program uses.
    pub fn is_valid(&self) -> bool {
        self.images.values().all(|at| *at < MAX_IMAGES)
            && self.serving.values().all(|at| *at < self.models.len())
            && self.models.iter().all(|model| {
                model.mean.len() == MAX_IMAGES
                    && model.covariance.len() == MAX_IMAGES
                    && model.covariance.iter().all(|row| row.len() == MAX_IMAGES)
            })
    }

    /// Learns from two readings of one run of image `serving`: the slacks and what was used.
    pub fn learn(&mut self, serving: &str, before: (f64, &Uses), after: (f64, &Uses)) {
        let mut x = vec![0.0; MAX_IMAGES];
        for (at, share) in after.1 {
            x[*at] += share;
        }
        for (at, share) in before.1 {
            x[*at] -= share;
        }
        for change in &mut x {
            if change.abs() < LEAST_CHANGE {
                *change = 0.0;
            }
        }
        let level = (before.0 + after.0) / 2.0;
        let noise = LOAD_VARIANCE + READING_VARIANCE * level * level;
        self.model_mut(serving).learn(&x, before.0 - after.0, noise);
    }

    /// Notes the slack that a run of image `serving` would have beside nothing.
    pub fn note_slack(&mut self, serving: &str, slack: f64) {
        let model = self.model_mut(serving);
        model.slack += SLACK_GAIN * (slack - model.slack);
    }

    /// Mean slack of a serving image beside nothing.
    pub fn mean_slack(&self, serving: Option<usize>) -> f64 {
        serving
            .and_then(|at| self.models.get(at))
            .map_or(PRIOR_SLACK, |model| model.slack)
    }

    /// Slack that a serving image loses to these uses.
    pub fn loss(&self, serving: Option<usize>, uses: &Uses) -> f64 {
        let one = |(at, share): &(usize, f64)| self.coefficient(serving, *at) * share;
        uses.iter().map(one).sum()
    }

    /// Coefficient of a pair, by their places; it never speaks for less disturbance than none.
    pub fn coefficient(&self, serving: Option<usize>, image: usize) -> f64 {
        serving
            .and_then(|at| self.models.get(at))
            .and_then(|model| model.mean.get(image))
            .map_or(PRIOR_COEFFICIENT, |mean| mean.max(0.0))
    }

    /// Coefficients of one best-effort image, for all serving images at once.
    pub fn noise(&self, image: &str) -> Noise {
        let known = match self.images.get(image) {
            Some(at) => {
                let models = self.models.iter();
                models.map(|model| model.mean[*at].max(0.0)).collect()
            }
            None => Vec::new(),
        };
        Noise { known }
    }

    /// How different two serving images are in what disturbs them, from 0 to 1.
    pub fn difference(&self, a: &str, b: &str) -> f64 {
        match (self.place(a), self.place(b)) {
            (Some(a), Some(b)) if a == b => 0.0,
            (Some(a), Some(b)) => {
                let known = self.images.values().map(|at| {
                    (self.coefficient(Some(a), *at) - self.coefficient(Some(b), *at)).abs()
                });
                (known.fold(0.0, f64::max) / DIFFERENT).min(1.0)
            }
            _ => f64::from(u8::from(a != b)),
        }
    }

    /// Index of a serving image, if anything is known of it.
    pub fn place(&self, serving: &str) -> Option<usize> {
        self.serving.get(serving).copied()
    }

    /// Index of a best-effort image; a new one gets the next.
    pub fn filling_place(&mut self, image: &str) -> usize {
        if let Some(at) = self.images.get(image) {
            return *at;
        }
        let next = self.images.len().min(MAX_IMAGES - 1);
        self.images.insert(image.to_string(), next);
        next
    }

    fn model_mut(&mut self, serving: &str) -> &mut Model {
        let at = match self.place(serving) {
            Some(at) => at,
            None => {
                self.serving.insert(serving.to_string(), self.models.len());
                self.models.push(Model::default());
                self.models.len() - 1
            }
        };
        &mut self.models[at]
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
    /// One step of recursive least squares; features that are zero are skipped.
    fn learn(&mut self, x: &[f64], y: f64, noise: f64) {
        let set: Vec<usize> = (0..x.len()).filter(|i| x[*i] != 0.0).collect();
        if set.is_empty() {
            return;
        }
        for &i in &set {
            self.covariance[i][i] += DRIFT_VARIANCE;
        }
        let gain: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| set.iter().map(|&i| row[i] * x[i]).sum())
            .collect();
        let spread: f64 = set.iter().map(|&i| x[i] * gain[i]).sum::<f64>() + noise;
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
