//! Random histories of faults against an oracle that watches every start.

mod scheduler_support;

use scheduler_support::sim::Sim;

/// Histories that every run of the tests plays.
const HISTORIES: u64 = 60;

/// Faulty and calm part of a history, in milliseconds.
const FAULTY: u64 = 30_000;
const CALM: u64 = 90_000;

/// Guards against tasks in two places, starts after a noted end, workers over their capacity,
/// steps out of order, attempts beyond the bound, and work that never ends, when leaders are
/// replaced while they act, workers are cut or die, and answers are lost or late.
#[test]
fn no_history_of_faults_breaks_a_rule() {
    let count = std::env::var("SCHEDULER_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(HISTORIES);
    let first = std::env::var("SCHEDULER_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    for seed in first..first + count {
        let mut sim = Sim::new(seed);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            sim.play(FAULTY, CALM);
            sim.unfinished()
        }));
        match played {
            Ok(unfinished) => {
                assert!(
                    unfinished.is_empty(),
                    "seed {seed}: unfinished {unfinished:?}"
                );
                assert!(sim.starts > 0, "seed {seed}: nothing ran");
            }
            Err(err) => {
                eprintln!("seed {seed}");
                std::panic::resume_unwind(err);
            }
        }
    }
}
