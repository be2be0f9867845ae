//! Completions that arrive after the task has been assigned anew.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{RunCompletion, RunOutcome, StartResponse, WorkerReport};
use scheduler_support::*;

/// Guards against a start of a task that is done: the completion of a run that counted as lost
/// arrives while the next run waits for its record.
#[test]
fn a_late_completion_withdraws_the_planned_run() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(1, 1000, 1000), step(1, 9000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(5));
    for now in (100..10_000).step_by(250).map(Millis) {
        sched.on_poll_failure(&worker_id(1), 1, "silent");
        sched.tick(now);
    }
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(10_000));
    sched.plan(Millis(10_000));

    let late = RunCompletion {
        sequence: 1,
        task: start.task.clone(),
        run: start.run,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let report = WorkerReport {
        ended: vec![late],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(10_010), report);
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(10_020)));

    assert!(started.is_empty(), "started again: {started:?}");
}
