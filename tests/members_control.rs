//! Cost of the control plane against its targets.

use sapphirecroft::bench::control::run_control;

/// Guards against a report that measures nothing. Processor time is not checked, because tests
/// run unoptimised on a busy machine.
#[test]
#[ignore = "takes long without optimisation; run with --release -- --ignored --nocapture"]
fn control_plane_stays_within_its_traffic() {
    let report = run_control(1);

    println!("{report}");
    assert!(report.heads.request > 0 && report.heads.answer > 0);
    let planned = report.rows.iter().find(|row| row.members == 37);
    assert!(planned.is_some_and(|row| row.calm_bytes <= 6144.0 && row.outage_bytes <= 6144.0));
    let takeovers = report.rows.iter().map(|row| row.takeover);
    assert!(
        takeovers
            .clone()
            .all(|takeover| takeover.is_some_and(|at| at.0 < 10_000))
    );
}
