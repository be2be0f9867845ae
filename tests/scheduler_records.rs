//! Order in which the leader writes job records.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    BATCH_RECORDS, RunCompletion, RunOutcome, Scheduler, StartCommand, StartResponse, WorkerReport,
};
use scheduler_support::*;

/// Time from one write to the next.
const WRITE: u64 = 20;

/// Adds a job with one long-running task.
fn submit_long_running(sched: &mut Scheduler, name: &str) {
    let mut one = step(1, 100, 100);
    one.long_running = true;
    submit(sched, name, job("urgent", vec![one]), Millis(0));
}

/// Reports that all started runs have failed, so that their jobs change again.
fn fail_all(sched: &mut Scheduler, started: &[StartCommand], sequence: &mut u64, now: Millis) {
    let ended = started
        .iter()
        .map(|start| {
            *sequence += 1;
            RunCompletion {
                sequence: *sequence,
                task: start.task.clone(),
                run: start.run,
                outcome: RunOutcome::Failed,
                checkpoint: String::new(),
            }
        })
        .collect();
    let report = WorkerReport {
        ended,
        ..WorkerReport::default()
    };
    deliver_report(sched, &worker_id(1), 1, now, report);
}

/// Guards against a task that waits for its record as long as jobs with lower ids keep changing:
/// one write holds 15 records, and a write in the order of ids never reached the last jobs.
#[test]
fn a_job_with_a_high_id_starts_while_others_keep_changing() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 64_000), Millis(0));
    for at in 0..40 {
        submit_long_running(&mut sched, &format!("a{at:02}"));
    }
    submit_long_running(&mut sched, "z");
    let mut sequence = 0;
    let mut started_at = None;

    for write in 1..50 {
        let now = Millis(write * WRITE);
        sched.plan(now);
        let batch = sched.next_batch(1).expect("records wait");
        sched.on_commit(&batch, write, now);
        let started = starts(&sched.take_commands());
        for start in &started {
            respond(&mut sched, start, StartResponse::Started, now);
        }
        if started.iter().any(|start| start.task.job == id("z")) {
            started_at = Some(write);
            break;
        }
        fail_all(&mut sched, &started, &mut sequence, now);
    }

    let writes = started_at.expect("the job with the highest id starts");
    assert!(writes <= 3, "its record was part of write {writes} only");
}

/// Guards against a record that loses its turn because a write of it failed.
#[test]
fn a_record_keeps_its_turn_after_a_failed_write() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 64_000), Millis(0));
    submit_long_running(&mut sched, "z");
    sched.plan(Millis(0));
    let failed = sched.next_batch(1).expect("a record waits");
    for at in 0..40 {
        submit_long_running(&mut sched, &format!("a{at:02}"));
    }
    sched.plan(Millis(WRITE));

    sched.on_commit_failure(&failed);
    let batch = sched.next_batch(1).expect("records wait");

    assert_eq!(batch.writes[0].job, id("z"));
}

/// Guards against a batch that conflicts for ever, because one of its records has been removed.
#[test]
fn a_removed_record_does_not_hold_up_its_batch() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 64_000), Millis(0));
    submit_long_running(&mut sched, "kept");
    submit_long_running(&mut sched, "removed");
    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("records wait");
    sched.on_commit(&batch, 5, Millis(0));
    let started = starts(&sched.take_commands());
    fail_all(&mut sched, &started, &mut 0, Millis(WRITE));
    let batch = sched.next_batch(1).expect("records wait");

    let revisions = [(id("kept"), 7)].into_iter().collect();
    sched.on_commit_conflict(&batch, &revisions);
    let retried = sched.next_batch(1).expect("records wait");

    let expected: Vec<u64> = retried.writes.iter().map(|write| write.revision).collect();
    assert_eq!(expected, [7, 0]);
}

/// Guards against many small writes: beside others in flight, a write has to be full.
#[test]
fn a_further_write_waits_for_a_full_batch() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 64_000), Millis(0));
    for at in 0..BATCH_RECORDS + 5 {
        submit_long_running(&mut sched, &format!("a{at:02}"));
    }
    sched.plan(Millis(0));

    let full = sched.next_batch(BATCH_RECORDS);
    let partial = sched.next_batch(BATCH_RECORDS);
    let rest = sched.next_batch(1);

    assert_eq!(full.map(|batch| batch.writes.len()), Some(BATCH_RECORDS));
    assert_eq!(partial, None);
    assert_eq!(rest.map(|batch| batch.writes.len()), Some(5));
}
