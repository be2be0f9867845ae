//! Model test of guarantees P1 to P3 under faults: job owners, rack owners, workers and the store
//! in virtual time. P1: no worker is reserved beyond its capacity. P2: no task runs twice at once.
//! P3: evicted work resumes exactly once, and acknowledged work is neither lost nor repeated.
//!
//! `BATCH_SEQUENCES` sets the number of operation sequences of a longer run.

mod batch_support;

use batch_support::sim::{Op, Sim};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// Operation sequences of a normal run.
const SEQUENCES: u32 = 10_000;

/// Threads that share the sequences. Each has its own seed.
const THREADS: u32 = 8;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (100u64..4000).prop_map(Op::Wait),
        3 => (8000u64..25_000).prop_map(Op::Wait),
        8 => (1u32..5, 1u64..6, 500u64..15_000, any::<bool>()).prop_map(
            |(tasks, cores, run_time, checkpoint)| Op::Submit { tasks, cores, run_time, checkpoint }
        ),
        2 => (0usize..8).prop_map(Op::Cancel),
        3 => (0usize..8).prop_map(Op::Evict),
        2 => (1u64..4).prop_map(Op::LoseAnswers),
        1 => (500u64..30_000).prop_map(Op::StoreDown),
        2 => (0usize..8).prop_map(Op::KillMember),
        1 => (0usize..8).prop_map(Op::KillTwo),
        2 => (0usize..8, 200u64..20_000).prop_map(|(n, ms)| Op::PauseMember(n, ms)),
        2 => Just(Op::Join),
        3 => (0usize..8, 500u64..40_000).prop_map(|(n, ms)| Op::Partition(n, ms)),
        1 => (0usize..8).prop_map(Op::KillWorker),
        1 => (0usize..8).prop_map(Op::RestartWorker),
        1 => (0usize..8, any::<bool>()).prop_map(|(n, fail)| Op::FailAll(n, fail)),
        1 => (0usize..8, 0u64..20_000).prop_map(|(n, ms)| Op::IgnoreStop(n, ms)),
        2 => (0u64..200).prop_map(Op::NetworkFaults),
    ]
}

fn run(seed: u64, ops: &[Op]) -> Result<(), String> {
    let mut sim = Sim::new(seed);
    for op in ops {
        sim.apply(op)?;
    }
    sim.settle()
}

fn run_share(thread: u32, cases: u32) -> Result<(), TestError<(u64, Vec<Op>)>> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 100,
        ..Config::default()
    };
    let mut seed = [42u8; 32];
    seed[0] = u8::try_from(thread).expect("few threads");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    TestRunner::new_with_rng(config, rng).run(&(any::<u64>(), vec(op(), 5..30)), |(seed, ops)| {
        run(seed, &ops).map_err(TestCaseError::fail)
    })
}

/// Guards against reservations above capacity, tasks that run twice at once, and lost, repeated or
/// revived work. Random sequences mix process, worker, network and store faults.
#[test]
fn guarantees_hold_under_faults() {
    let sequences = std::env::var("BATCH_SEQUENCES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEQUENCES);
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run_share(thread, sequences.div_ceil(THREADS))))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    });

    for outcome in outcomes {
        if let Err(err) = outcome {
            panic!("{}", describe(&err));
        }
    }
}

/// Formats the reason, then the seed and the operations on one line for a replay.
fn describe(err: &TestError<(u64, Vec<Op>)>) -> String {
    match err {
        TestError::Fail(reason, (seed, ops)) => {
            format!("{reason}\nseed {seed}, operations {ops:?}")
        }
        TestError::Abort(reason) => format!("aborted: {reason}"),
    }
}

/// Guards against a task that never starts: its job owner keeps asking the rack owner with the most
/// free capacity, which has only workers that the task must avoid.
#[test]
fn a_refused_task_is_placed_by_another_rack_owner() {
    use Op::*;
    let submit = |tasks, cores, run_time, checkpoint| Submit {
        tasks,
        cores,
        run_time,
        checkpoint,
    };
    let ops = [
        Wait(184),
        KillMember(4),
        submit(2, 5, 3112, false),
        Wait(1281),
        FailAll(4, true),
        Join,
        Wait(18167),
        submit(4, 3, 4498, false),
        Wait(1918),
        Wait(296),
        KillWorker(2),
        submit(4, 1, 4528, false),
        submit(2, 4, 8841, true),
        FailAll(6, true),
        PauseMember(7, 5682),
        Wait(1716),
        submit(4, 3, 4862, true),
        KillWorker(6),
        Join,
    ];

    assert_eq!(run(1750103720099147749, &ops), Ok(()));
}
