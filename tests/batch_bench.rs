//! Check of the placement benchmark against its target, for release builds.
//!
//! `cargo test --release --test batch_bench -- --ignored --nocapture` prints the table.

use sapphirecroft::bench::run_placement;

/// Guards against placement decisions whose cost grows with the fleet. The printed table compares
/// the placement with simple policies.
#[test]
#[ignore = "measures time; run it in a release build"]
fn placement_meets_its_targets() {
    let report = run_placement(1);

    println!("{report}");
    assert!(
        report.cost_ratio <= 2.0,
        "a decision costs {} times more",
        report.cost_ratio
    );
}
