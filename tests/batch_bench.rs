//! The placement benchmark as a check, for release builds.
//!
//! `cargo test --release --test batch_bench -- --ignored --nocapture` prints the table.

use sapphirecroft::bench::run_placement;

/// Guards against decisions whose cost grows with the fleet, and against placement that gains
/// nothing over the simple policies.
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
