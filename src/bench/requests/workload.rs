//! Arrivals, service times and slow endpoints of a measurement.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Endpoints of the service.
pub const ENDPOINTS: usize = 65;

/// Requests that an endpoint runs at once.
pub const SLOTS: u32 = 8;

/// Availability zones; endpoints and entry processes are spread evenly.
pub const ZONES: usize = 3;

/// One-way delay between zones, in microseconds.
pub const FAR_US: u64 = 5_000;

/// One-way delay within a zone, in microseconds.
pub const NEAR_US: u64 = 250;

/// Time before the measurement, in microseconds.
pub const WARM_UP: u64 = 5_000_000;

/// End of the arrivals, in microseconds.
pub const END: u64 = 20_000_000;

/// Time at which an entry process is killed, in microseconds.
pub const KILL_AT: u64 = 10_000_000;

/// Median of the service time, in microseconds.
const MEDIAN_US: f64 = 60_000.0;

/// Deviation of the logarithm of the service time.
const SIGMA: f64 = 0.8;

/// Endpoints that are slow at a time, of a hundred.
const SLOW_PERCENT: usize = 10;

/// Factor by which a slow endpoint takes longer.
const SLOW_FACTOR: u64 = 3;

/// Time for which the same endpoints are slow, in microseconds.
const PHASE: u64 = 5_000_000;

/// Classes with their part of the arrivals in percent and their deadline in microseconds.
pub const CLASSES: [(&str, u64, u64); 3] = [
    ("urgent", 15, 2_000_000),
    ("normal", 45, 2_000_000),
    ("patient", 40, 10_000_000),
];

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the arrivals and service times.
    pub seed: u64,
    /// Offered load in percent of the capacity.
    pub load: u64,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Time of arrival.
    pub at: u64,
    /// Number from which the entry process is derived.
    pub entry: usize,
    /// Place in [`CLASSES`].
    pub class: usize,
    /// Service time at an endpoint of normal speed.
    pub work: u64,
}

/// Requests and slow phases that all policies have in common.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests in order of arrival.
    pub jobs: Vec<Job>,
    slow: Vec<Vec<usize>>,
}

impl Plan {
    /// Creates a plan.
    pub const fn new(seed: u64, load: u64) -> Self {
        Self { seed, load }
    }
}

impl Workload {
    /// Draws the requests and slow phases of a plan.
    pub fn new(plan: &Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ plan.load);
        let gap_us = 1e6 / (capacity_per_sec() * plan.load as f64 / 100.0);
        let mut jobs = Vec::new();
        let mut at = 0.0;
        loop {
            at += -gap_us * unit(&mut rng).ln();
            if at as u64 >= END {
                break;
            }
            jobs.push(Job {
                at: at as u64,
                entry: rng.random_range(0..usize::MAX),
                class: draw_class(&mut rng),
                work: draw_work(&mut rng),
            });
        }
        let slow = (0..=4 * END / PHASE).map(|_| draw_slow(&mut rng)).collect();
        Self { jobs, slow }
    }

    /// Returns the service time of a request that starts at `now`.
    pub fn service_time(&self, job: &Job, endpoint: usize, now: u64) -> u64 {
        let phase = (now / PHASE) as usize;
        let slow = self.slow.get(phase).is_some_and(|s| s.contains(&endpoint));
        if slow {
            job.work * SLOW_FACTOR
        } else {
            job.work
        }
    }
}

impl Job {
    /// Returns the time by which the answer is due.
    pub fn deadline(&self) -> u64 {
        self.at + CLASSES[self.class].2
    }
}

/// Returns the requests a second that all slots carry when none is ever idle.
pub fn capacity_per_sec() -> f64 {
    let mean_us = MEDIAN_US * (SIGMA * SIGMA / 2.0).exp();
    let slots = ENDPOINTS as f64 * f64::from(SLOTS);
    let slow = (ENDPOINTS * SLOW_PERCENT / 100) as f64 / ENDPOINTS as f64;
    slots * 1e6 / mean_us * (1.0 - slow + slow / SLOW_FACTOR as f64)
}

fn unit(rng: &mut ChaCha8Rng) -> f64 {
    1.0 - rng.random::<f64>()
}

fn draw_class(rng: &mut ChaCha8Rng) -> usize {
    let mut rest = rng.random_range(0..100);
    for (at, (_, percent, _)) in CLASSES.iter().enumerate() {
        if rest < *percent {
            return at;
        }
        rest -= percent;
    }
    CLASSES.len() - 1
}

/// Draws a lognormal service time by the Box-Muller transform.
fn draw_work(rng: &mut ChaCha8Rng) -> u64 {
    let radius = (-2.0 * unit(rng).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * unit(rng)).cos();
    (MEDIAN_US * (SIGMA * normal).exp()) as u64
}

fn draw_slow(rng: &mut ChaCha8Rng) -> Vec<usize> {
    let count = ENDPOINTS * SLOW_PERCENT / 100;
    let mut slow = Vec::new();
    while slow.len() < count {
        let endpoint = rng.random_range(0..ENDPOINTS);
        if !slow.contains(&endpoint) {
            slow.push(endpoint);
        }
    }
    slow
}
