//! Tests of private items of the daemon.

mod config_age;
mod intake_model;
mod terms;
mod terms_model;

use super::shared::LeaderInfo;
use crate::prelude::*;
use crate::scheduler::Timing;

/// Returns time limits as a site of the usual size has them.
fn timing() -> Timing {
    Timing {
        run_lease: Millis(5800),
        longest_lease: Millis(6000),
        former_leases: Millis(8303),
        ended_retention: Millis(140_000),
        violation_after: Millis(4000),
    }
}

fn leader_info(process: u64, incarnation: u64, claim: ClaimNumber) -> LeaderInfo {
    LeaderInfo {
        vm: format!("entry-{process}"),
        address: format!("10.0.0.{process}:7720"),
        incarnation,
        claim,
    }
}

/// Plays a history for each seed below `count` and passes it to `then`; names the seed of one that
/// fails.
fn play_histories<M>(count: u64, play: impl Fn(u64) -> M, mut then: impl FnMut(M)) {
    for seed in 0..count {
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(seed)));
        match played {
            Ok(history) => then(history),
            Err(err) => {
                eprintln!("seed {seed}");
                std::panic::resume_unwind(err);
            }
        }
    }
}
