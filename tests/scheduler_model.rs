//! Random fault histories, checked by an oracle at every start.

mod scheduler_support;

use scheduler_support::sim::Sim;

/// Number of histories in a run of this test.
const HISTORIES: u64 = 60;

/// Length of the faulty and the fault-free part of a history, in milliseconds.
const FAULTY_MS: u64 = 30_000;
const CALM_MS: u64 = 90_000;

/// Guards against tasks on two workers, starts after an acknowledged completion, workers over their
/// capacity, steps out of order, attempts beyond the limit, tasks that go on crashing workers, jobs
/// that fail because of another job's crashes, and jobs that never end. They come
/// about when leaders are replaced while they act, workers are partitioned or die, and responses
/// are lost or delayed.
#[test]
fn random_faults_break_no_invariant() {
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
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            sim.simulate(FAULTY_MS, CALM_MS);
            (sim.unfinished(), sim.failed_without_cause())
        }));
        match outcome {
            Ok((unfinished, failed)) => {
                assert!(
                    unfinished.is_empty(),
                    "seed {seed}: unfinished {unfinished:?}"
                );
                assert!(failed.is_empty(), "seed {seed}: failed {failed:?}");
                assert!(sim.starts > 0, "seed {seed}: nothing ran");
            }
            Err(err) => {
                eprintln!("seed {seed}");
                std::panic::resume_unwind(err);
            }
        }
    }
}
