//! Randomized soak test: real daemon processes under faults that are injected from outside. The
//! guarantees are checked from what callers and workers observe.
//!
//! `SOAK_SEEDS=FIRST..END cargo test --release --test soak` runs these seeds. `SOAK_SECONDS` sets
//! the duration of the faults, `SOAK_DAEMONS` and `SOAK_WORKERS` set the size of the site.

mod platform_support;
mod soak_support;

use soak_support::{Plan, run_soak};

/// Seeds that every CI run uses.
const CI_SEEDS: std::ops::Range<u64> = 1..3;

/// Seeds that have failed before, with the cause of the failure.
const REGRESSION_SEEDS: [u64; 3] = [
    // A start command was executed by the next incarnation of its worker and answered before the
    // leader knew of that incarnation, so the task ran on two workers.
    132, 308,
    // A poll acknowledged completions of the next incarnation of its worker unread, so a completed
    // task started again.
    24,
];

fn env_number(name: &str, fallback: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(fallback, |text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return CI_SEEDS.chain(REGRESSION_SEEDS).collect();
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    let bound = |text: &str| text.parse::<u64>().expect("a number");
    (bound(first)..bound(end)).collect()
}

/// Guards against tasks that are lost or run twice, and against outcomes that callers are not told,
/// under random sequences of faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let plan = Plan {
            seed,
            seconds: env_number("SOAK_SECONDS", 8),
            daemons: env_number("SOAK_DAEMONS", 4) as usize,
            workers: env_number("SOAK_WORKERS", 5) as usize,
        };
        let violations = run_soak(&plan).await;
        println!("seed {seed}: {} broken {violations:?}", violations.len());
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
