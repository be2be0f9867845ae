//! Tests for workers that start again under their id before the leader knows.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    PollPlan, RunCompletion, RunOutcome, Scheduler, StartResponse, WorkerReport,
};
use scheduler_support::*;

fn last_acknowledged(sched: &mut Scheduler, now: Millis) -> u64 {
    match sched.poll_plan(&worker_id(1), now) {
        PollPlan::Call {
            last_acknowledged, ..
        } => last_acknowledged,
        other => panic!("no poll: {other:?}"),
    }
}

/// Guards against a task that starts again after its end was acknowledged: the first poll of a new
/// incarnation acknowledges completions of the former one, and the worker drops its own, of which
/// the leader does not know (soak seed 24).
#[test]
fn a_poll_after_a_silence_acknowledges_nothing() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(2, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    for start in &sent {
        respond(&mut sched, start, StartResponse::Started, Millis(5));
    }
    let report = WorkerReport {
        ended: vec![RunCompletion {
            sequence: 1,
            task: sent[0].task.clone(),
            run: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        }],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(500), report);
    plan_and_commit(&mut sched, 2, Millis(500));

    let before = last_acknowledged(&mut sched, Millis(600));
    sched.on_poll_failure(&worker_id(1), "silent");
    let silent = last_acknowledged(&mut sched, Millis(1500));
    deliver_report(
        &mut sched,
        &worker_id(1),
        1,
        Millis(1600),
        WorkerReport::default(),
    );
    submit(
        &mut sched,
        "b",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(1600),
    );
    plan_and_commit(&mut sched, 3, Millis(1600));
    let after = last_acknowledged(&mut sched, Millis(1700));

    assert_eq!((before, silent, after), (1, 0, 1));
}
