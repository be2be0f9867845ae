//! Runs of workers that do not answer, across changes of the leader.

mod scheduler_support;

use std::collections::BTreeMap;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobRecord, JobSpec, PollPlan, RunStatus, Scheduler, SilentWorker, StartResponse,
    TaskKey, WorkerReport,
};
use scheduler_support::*;

/// Longest time from the last renewal of a lease to the release of the runs, with a margin for one
/// tick.
const LEASE_EXPIRY: u64 = 5945 + 300 + 100;

/// What a successor reads from the store.
struct Stored {
    spec: JobSpec,
    record: (JobRecord, u64),
}

/// Returns a leader whose only worker runs a task, and what the store knows of it.
fn with_run(now: u64) -> (Scheduler, Stored) {
    let now = Millis(now);
    let mut sched = leader(now);
    register(&mut sched, entry(1, 1, 8000, 8000), now);
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec.clone(), now);
    sched.plan(now);
    let batch = sched.next_batch(1).expect("a record");
    sched.on_commit(&batch, 1, now);
    let start = starts(&sched.take_commands()).remove(0);
    respond(&mut sched, &start, StartResponse::Started, now);
    let record = (decode_record(&batch.writes[0].value), 1);
    (sched, Stored { spec, record })
}

/// Returns a successor that has taken over at `now` and knows no entry of worker 1.
fn successor(stored: &Stored, silent: &[SilentWorker], now: u64) -> Scheduler {
    let mut sched = leader(Millis(now));
    sched.add_job(
        id("a"),
        stored.spec.clone(),
        Some(stored.record.clone()),
        Millis(now),
        Timestamp(now),
    );
    sched.restore_silence(silent);
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(now));
    sched
}

/// Lets worker 1 stay silent from `from`; returns the time at which its task starts on worker 2.
fn restart_elsewhere(sched: &mut Scheduler, from: u64) -> u64 {
    for now in (from..from + 20_000).step_by(100) {
        sched.on_poll_failure(&worker_id(1), 1, "silent");
        sched.tick(Millis(now));
        let report = WorkerReport::default();
        deliver_report(sched, &worker_id(2), 1, Millis(now), report);
        if !starts(&plan_and_commit(sched, 2, Millis(now))).is_empty() {
            return now;
        }
    }
    panic!("the task has not started again");
}

/// Lets worker 1 miss polls from `from` to `to`; returns what is stored of it then.
fn declare_silent(sched: &mut Scheduler, from: u64, to: u64) -> Vec<SilentWorker> {
    let mut stored = Vec::new();
    for now in (from..to).step_by(100) {
        sched.on_poll_failure(&worker_id(1), 1, "silent");
        if let Some(silent) = sched.silence_to_write(Millis(now)) {
            sched.on_silence_written(&silent, Millis(now));
            stored = silent;
        }
    }
    stored
}

/// Returns a report that lists the first run of the only task of a job.
fn running(job: &str) -> WorkerReport {
    let status = RunStatus {
        task: TaskKey {
            job: id(job),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    };
    WorkerReport {
        running: vec![status],
        ..WorkerReport::default()
    }
}

/// Guards against tasks of a lost worker that stay away for 12 s after the leader's process was
/// killed, although it renews no lease any more (review case 4).
#[test]
fn the_wait_counts_from_the_end_of_the_former_leader() {
    let (_, stored) = with_run(10_000);
    let mut sched = successor(&stored, &[], 12_000);

    sched.inherit_until(timing().lease_end(Millis(10_500)));
    let restarted_at = restart_elsewhere(&mut sched, 12_100);

    assert!(
        (10_500 + 5945..=10_500 + LEASE_EXPIRY).contains(&restarted_at),
        "{restarted_at}"
    );
}

/// Guards against two runs of a task: a former leader that does not answer may still renew the lease
/// of a worker that only this leader does not reach.
#[test]
fn a_former_leader_that_does_not_answer_counts_as_renewing() {
    let (_, stored) = with_run(10_000);
    let mut sched = successor(&stored, &[], 12_000);

    let restarted_at = restart_elsewhere(&mut sched, 12_100);

    let leases_end = 12_000 + FORMER_LEASES.0;
    assert!(
        (leases_end..=leases_end + 400).contains(&restarted_at),
        "{restarted_at}"
    );
}

/// Guards against a wait that each change of the leader begins anew: the time that a former leader
/// has already waited for a worker counts.
#[test]
fn a_further_change_of_the_leader_does_not_begin_the_wait_anew() {
    let (mut first, stored) = with_run(10_000);

    let silent = declare_silent(&mut first, 10_100, 13_000);
    let second = &mut successor(&stored, &silent, 13_000);
    let silent = declare_silent(second, 13_100, 15_000);
    let mut third = successor(&stored, &silent, 15_000);
    let restarted_at = restart_elsewhere(&mut third, 15_100);

    // Each change adds at most the time since the last write of the terms.
    let expected = 10_000 + LEASE_EXPIRY;
    assert!(
        (expected - 200..=expected + 2 * 1100).contains(&restarted_at),
        "{restarted_at}"
    );
}

/// Guards against two runs of a task: a successor that reads that a worker is silent would release
/// the runs of one that has answered meanwhile.
#[test]
fn a_declared_worker_is_neither_renewed_nor_given_work_until_the_store_names_it_no_more() {
    let (mut sched, _) = with_run(10_000);
    declare_silent(&mut sched, 10_100, 12_000);
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "b", spec, Millis(12_000));

    deliver_report(&mut sched, &worker_id(1), 1, Millis(12_100), running("a"));
    let renews = |sched: &mut Scheduler, now: u64| match sched.poll_plan(&worker_id(1), Millis(now))
    {
        PollPlan::Call { deadline, .. } => deadline.is_some(),
        other => panic!("no poll: {other:?}"),
    };
    let bound = renews(&mut sched, 13_200);
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(13_200))).len();
    let silent = sched.silence_to_write(Millis(13_200)).expect("a change");
    let unwritten = renews(&mut sched, 13_250);
    sched.on_silence_written(&silent, Millis(13_200));
    let free = renews(&mut sched, 13_300);
    let started_later = starts(&plan_and_commit(&mut sched, 3, Millis(13_300))).len();

    assert_eq!(silent, []);
    assert_eq!((bound, unwritten, free), (false, false, true));
    assert_eq!((started, started_later), (0, 1));
}

/// Guards against two runs of a task: a write with an unknown outcome may have declared a worker
/// that answers by now.
#[test]
fn a_declaration_with_an_unknown_outcome_binds_too() {
    let (mut sched, _) = with_run(10_000);
    sched.on_poll_failure(&worker_id(1), 1, "silent");
    let silent = sched.silence_to_write(Millis(11_500)).expect("a change");

    deliver_report(&mut sched, &worker_id(1), 1, Millis(11_600), running("a"));
    let plan = sched.poll_plan(&worker_id(1), Millis(12_700));

    assert_eq!(silent.len(), 1);
    assert!(
        matches!(plan, PollPlan::Call { deadline: None, .. }),
        "{plan:?}"
    );
    assert_eq!(sched.silence_to_write(Millis(12_700)), Some(Vec::new()));
}

/// Guards against a crash that is noticed only when the lease ends: a successor reads the address of
/// a silent worker, whose entry is gone, and finds another process there.
#[test]
fn a_successor_polls_a_silent_worker_at_its_last_address() {
    let (mut first, stored) = with_run(10_000);
    let silent = declare_silent(&mut first, 10_100, 12_000);

    let mut second = successor(&stored, &silent, 12_000);
    let plan = second.poll_plan(&worker_id(1), Millis(12_100));
    second.mark_worker_dead(&worker_id(1), 1, Millis(12_200));
    let commands: Vec<Command> = plan_and_commit(&mut second, 2, Millis(12_300));

    let addresses: BTreeMap<WorkerId, String> = silent
        .iter()
        .map(|one| (one.worker.clone(), one.address.clone()))
        .collect();
    match plan {
        PollPlan::Call { address, .. } => assert_eq!(address, addresses[&worker_id(1)]),
        other => panic!("no poll: {other:?}"),
    }
    assert_eq!(starts(&commands).len(), 1);
}

/// Guards against two runs of a task: a leader without the store, or one that wakes after a
/// suspension, must grant no lease on which its successors do not count.
#[test]
fn a_leader_without_its_key_grants_no_lease_beyond_the_horizon() {
    let (mut sched, _) = with_run(10_000);
    sched.limit_leases(Millis(18_000));
    let mut deadlines = Vec::new();

    for now in [11_000, 12_900, 17_000, 25_000] {
        deliver_report(&mut sched, &worker_id(1), 1, Millis(now), running("a"));
        match sched.poll_plan(&worker_id(1), Millis(now + 1000)) {
            PollPlan::Call { deadline, .. } => deadlines.extend(deadline),
            other => panic!("no poll: {other:?}"),
        }
    }

    // Clocks of workers of these tests show the leader's time.
    let expected = [17_800, 18_000, 18_000, 26_000].map(Millis);
    assert_eq!(deadlines, expected);
}
