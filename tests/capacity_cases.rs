//! Tests for workers whose capacity shrinks and grows while they run.

mod scheduler_support;

use std::collections::{BTreeMap, BTreeSet};

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Batch, Command, JobSpec, RunCompletion, RunOutcome, RunStatus, Scheduler, StartCommand,
    StartResponse, StepSpec, WorkerReport,
};
use scheduler_support::*;

const MEMORY: u64 = 64_000;

fn simple_job(queue: &str, tasks: u32, cpu: u64) -> JobSpec {
    job(queue, vec![step(tasks, cpu, 1000)])
}

fn set_capacity(sched: &mut Scheduler, at: usize, cpu: u64, now: Millis) {
    sched.set_entry(entry(at, 1, cpu, MEMORY), now);
}

/// Plans and commits; the workers confirm all starts.
fn start_all(sched: &mut Scheduler, revision: u64, now: Millis) -> Vec<StartCommand> {
    let started = starts(&plan_and_commit(sched, revision, now));
    for start in &started {
        respond(sched, start, StartResponse::Started, now);
    }
    started
}

fn running_status(start: &StartCommand, percent: u32, gauge: u64) -> RunStatus {
    RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: String::new(),
        percent,
        gauge,
    }
}

fn report_running(runs: &[(&StartCommand, u32, u64)]) -> WorkerReport {
    let running = runs
        .iter()
        .map(|(start, percent, gauge)| running_status(start, *percent, *gauge))
        .collect();
    WorkerReport {
        running,
        ..WorkerReport::default()
    }
}

/// Guards against a start that was planned before its worker shrank and exceeds the capacity when
/// it is sent.
#[test]
fn a_shrunk_worker_gets_no_start_beyond_its_capacity() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 4, 2000), Millis(0));
    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("a record waits");

    set_capacity(&mut sched, 1, 5000, Millis(10));
    sched.on_commit(&batch, 1, Millis(20));
    let sent = starts(&sched.take_commands());
    register(&mut sched, entry(2, 1, 8000, MEMORY), Millis(30));
    let moved = starts(&plan_and_commit(&mut sched, 2, Millis(30)));

    assert_eq!(sent.len(), 2, "{sent:?}");
    assert!(moved.iter().all(|start| start.worker == worker_id(2)));
    assert_eq!(moved.len(), 2, "tasks that were put back start elsewhere");
}

/// Guards against an unanswered start that is repeated on a worker that has shrunk since: if the
/// worker has not executed it, the repetition exceeds the capacity.
#[test]
fn an_unanswered_start_is_not_repeated_beyond_the_capacity() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 2, 4000), Millis(0));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    respond(&mut sched, &sent[0], StartResponse::Started, Millis(5));
    respond(&mut sched, &sent[1], StartResponse::Unknown, Millis(500));

    set_capacity(&mut sched, 1, 4000, Millis(600));
    sched.tick(Millis(1000));
    let commands = sched.take_commands();

    assert!(starts(&commands).is_empty(), "{commands:?}");
    let stopped: Vec<_> = stops(&commands).into_iter().map(|stop| stop.task).collect();
    assert_eq!(stopped, [sent[1].task.clone()]);
}

/// Guards against a repetition that is withheld although the run fits the shrunk worker.
#[test]
fn an_unanswered_start_is_repeated_within_the_capacity() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 1, 4000), Millis(0));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    respond(&mut sched, &sent[0], StartResponse::Unknown, Millis(500));

    set_capacity(&mut sched, 1, 4000, Millis(600));
    sched.tick(Millis(1000));
    let commands = sched.take_commands();

    assert_eq!(starts(&commands).len(), 1, "{commands:?}");
    assert!(stops(&commands).is_empty(), "{commands:?}");
}

/// Guards against a gang of which some members start and wait for the others in vain, because one
/// member's worker has shrunk since the gang was planned.
#[test]
fn a_gang_whose_member_no_longer_fits_is_put_back_as_a_whole() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 4000, MEMORY), Millis(0));
    register(&mut sched, entry(2, 1, 4000, MEMORY), Millis(0));
    let gang = StepSpec {
        gang: true,
        ..step(2, 4000, 1000)
    };
    submit(&mut sched, "a", job("urgent", vec![gang]), Millis(0));
    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("a record waits");

    set_capacity(&mut sched, 2, 1000, Millis(10));
    sched.on_commit(&batch, 1, Millis(20));
    let commands = sched.take_commands();
    for stop in stops(&commands) {
        sched.on_stop_response(&stop, true, Millis(25));
    }
    deliver_report(
        &mut sched,
        &worker_id(1),
        1,
        Millis(30),
        WorkerReport::default(),
    );
    set_capacity(&mut sched, 2, 4000, Millis(40));
    let again = starts(&plan_and_commit(&mut sched, 2, Millis(40)));

    let started: Vec<_> = starts(&commands)
        .into_iter()
        .map(|start| start.task)
        .collect();
    let stopped: Vec<_> = stops(&commands).into_iter().map(|stop| stop.task).collect();
    assert_eq!(started, stopped, "members that have started are stopped");
    assert_eq!(again.len(), 2, "the gang starts once it fits again");
}

/// Guards against a best-effort task on a worker whose reserved CPU exceeds the capacity: a start
/// leaves the worker above its capacity, whatever the task itself reserves.
#[test]
fn a_worker_above_its_capacity_gets_no_best_effort_task() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    let serving = StepSpec {
        long_running: true,
        image: "s".to_string(),
        tail_target: Some(Millis(50)),
        ..step(1, 8000, 1000)
    };
    submit(&mut sched, "s", job("urgent", vec![serving]), Millis(0));
    start_all(&mut sched, 1, Millis(0));

    set_capacity(&mut sched, 1, 6000, Millis(10));
    let best_effort = StepSpec {
        best_effort: true,
        image: "f".to_string(),
        ..step(1, 500, 1000)
    };
    submit(
        &mut sched,
        "f",
        job("patient", vec![best_effort]),
        Millis(10),
    );
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(20)));

    assert!(started.is_empty(), "{started:?}");
}

/// Guards against runs that are stopped in vain: on a worker above its capacity the end of a run
/// frees less than its reservation. One run there has worked less than the run elsewhere, two have
/// worked more.
#[test]
fn preemption_counts_only_what_a_shrunk_worker_frees() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(2, 1, 4000, MEMORY), Millis(0));
    submit(&mut sched, "b", simple_job("patient", 1, 4000), Millis(0));
    start_all(&mut sched, 1, Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(1000));
    submit(
        &mut sched,
        "a",
        simple_job("patient", 2, 4000),
        Millis(1000),
    );
    start_all(&mut sched, 2, Millis(1000));
    set_capacity(&mut sched, 1, 4000, Millis(1010));

    submit(&mut sched, "c", simple_job("urgent", 1, 4000), Millis(2500));
    let stopped = stops(&plan_and_commit(&mut sched, 3, Millis(2500)));

    let workers: Vec<_> = stopped.iter().map(|stop| stop.worker.clone()).collect();
    assert_eq!(workers, [worker_id(2)]);
}

/// Guards against a claim of resources that a shrunk worker will not have: the task would wait for
/// them instead of preempting a run elsewhere.
#[test]
fn a_stopping_run_of_a_shrunk_worker_frees_no_more_than_the_capacity() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 1, 4000), Millis(0));
    submit(&mut sched, "b", simple_job("urgent", 1, 4000), Millis(0));
    start_all(&mut sched, 1, Millis(0));
    set_capacity(&mut sched, 1, 4000, Millis(10));
    sched.cancel(&id("b"), Millis(10), Timestamp(10));
    register(&mut sched, entry(2, 1, 4000, MEMORY), Millis(10));
    submit(&mut sched, "c", simple_job("patient", 1, 4000), Millis(10));
    start_all(&mut sched, 2, Millis(10));

    submit(&mut sched, "d", simple_job("urgent", 1, 4000), Millis(20));
    let stopped = stops(&plan_and_commit(&mut sched, 3, Millis(20)));

    let workers: Vec<_> = stopped.iter().map(|stop| stop.worker.clone()).collect();
    assert_eq!(workers, [worker_id(2)]);
}

/// Guards against a successor that fills a worker to its former capacity, or that does not count
/// the runs that the former leader has recorded.
#[test]
fn a_successor_counts_recorded_runs_against_the_present_capacity() {
    let mut first = leader(Millis(0));
    register(&mut first, entry(1, 1, 8000, MEMORY), Millis(0));
    let spec = simple_job("urgent", 4, 2000);
    submit(&mut first, "a", spec.clone(), Millis(0));
    first.plan(Millis(0));
    let batch = first.next_batch(1).expect("a record waits");
    let record = decode_record(&batch.writes[0].value);

    let mut second = leader(Millis(100));
    second.add_job(
        id("a"),
        spec,
        Some((record, 3)),
        Millis(100),
        Timestamp(100),
    );
    submit(&mut second, "b", simple_job("urgent", 4, 1000), Millis(100));
    second.set_entry(entry(1, 1, 3000, MEMORY), Millis(100));
    deliver_report(
        &mut second,
        &worker_id(1),
        1,
        Millis(110),
        WorkerReport::default(),
    );
    let started = starts(&plan_and_commit(&mut second, 4, Millis(120)));

    let used: u64 = started
        .iter()
        .map(|start| {
            if start.task.job == id("a") {
                2000
            } else {
                1000
            }
        })
        .sum();
    assert_eq!(used, 3000, "{started:?}");
}

/// Guards against starts that are sent while the entry of a worker has lapsed, and against a start
/// by the former entry once a smaller one is back.
#[test]
fn a_worker_that_shrank_while_its_entry_lapsed_is_not_overfilled() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 4, 2000), Millis(0));
    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("a record waits");

    sched.remove_entry(&worker_id(1));
    set_capacity(&mut sched, 1, 2000, Millis(10));
    sched.on_commit(&batch, 1, Millis(20));
    let mut sent = starts(&sched.take_commands());
    sent.extend(starts(&plan_and_commit(&mut sched, 2, Millis(30))));

    assert_eq!(sent.len(), 1, "{sent:?}");
}

/// Guards against room that stays unused after a worker has grown again, and against runs that are
/// stopped because their worker has shrunk.
#[test]
fn a_grown_worker_is_used_at_once() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 2, 4000), Millis(0));
    let first = start_all(&mut sched, 1, Millis(0));
    set_capacity(&mut sched, 1, 0, Millis(10));
    submit(&mut sched, "b", simple_job("urgent", 2, 4000), Millis(20));
    let running: Vec<_> = first.iter().map(|start| (start, 10, 0)).collect();
    deliver_report(
        &mut sched,
        &worker_id(1),
        1,
        Millis(30),
        report_running(&running),
    );
    let shrunk = plan_and_commit(&mut sched, 2, Millis(30));
    let ended = first
        .iter()
        .zip(1..)
        .map(|(start, sequence)| RunCompletion {
            sequence,
            task: start.task.clone(),
            run: start.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
    let report = WorkerReport {
        ended: ended.collect(),
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(40), report);
    let empty = plan_and_commit(&mut sched, 3, Millis(40));

    set_capacity(&mut sched, 1, 8000, Millis(50));
    let needs_plan = sched.needs_plan();
    let grown = starts(&plan_and_commit(&mut sched, 4, Millis(50)));

    assert!(starts(&shrunk).is_empty() && stops(&shrunk).is_empty());
    assert!(starts(&empty).is_empty());
    assert!(needs_plan);
    assert_eq!(grown.len(), 2);
}

/// Starts a serving and a best-effort task on a worker that shrinks to `cpu` afterwards, and trains
/// the model of interference with readings of both; returns the commands since then and the starts
/// of as many best-effort tasks once the worker has grown again.
fn train_on_shrunk_worker(cpu: u64) -> (Vec<Command>, usize) {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, MEMORY), Millis(0));
    let serving = StepSpec {
        long_running: true,
        image: "s".to_string(),
        tail_target: Some(Millis(50)),
        ..step(1, 10_000, 1000)
    };
    let best_effort = |tasks| StepSpec {
        best_effort: true,
        checkpoints: true,
        image: "f".to_string(),
        ..step(tasks, 8000, 1000)
    };
    let filling = job("patient", vec![best_effort(1)]);
    submit(&mut sched, "s", job("urgent", vec![serving]), Millis(0));
    submit(&mut sched, "f", filling, Millis(0));
    let started: BTreeMap<JobId, StartCommand> = start_all(&mut sched, 1, Millis(0))
        .into_iter()
        .map(|start| (start.task.job.clone(), start))
        .collect();
    let (serving, filling) = (&started[&id("s")], &started[&id("f")]);
    set_capacity(&mut sched, 1, cpu, Millis(100));
    let mut commands = Vec::new();
    for at in 1..20u32 {
        let now = Millis(u64::from(at) * 500);
        let (tail, used) = if at % 2 == 0 { (24, 8000) } else { (12, 0) };
        let report = report_running(&[(serving, 100, tail), (filling, at, used)]);
        deliver_report(&mut sched, &worker_id(1), 1, now, report);
        commands.extend(plan_and_commit(&mut sched, 2, now));
    }

    set_capacity(&mut sched, 1, 64_000, Millis(10_000));
    let more = job("patient", vec![best_effort(5)]);
    submit(&mut sched, "g", more, Millis(10_000));
    let grown = starts(&plan_and_commit(&mut sched, 3, Millis(10_000)));
    (commands, grown.len())
}

/// Guards against a distorted model of interference, and against paces that follow from it, because
/// shares of the processors are computed from a shrunk capacity.
#[test]
fn a_shrunk_capacity_does_not_distort_the_model_of_interference() {
    let whole = train_on_shrunk_worker(64_000);

    let shrunk = train_on_shrunk_worker(0);

    assert_eq!(whole, shrunk);
}

/// Guards against a worker of capacity zero that keeps tasks from other workers.
#[test]
fn an_empty_worker_of_capacity_zero_does_not_keep_others_from_work() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 0, 0), Millis(0));
    register(&mut sched, entry(2, 1, 4000, MEMORY), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 2, 2000), Millis(0));

    let started = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    sched.tick(Millis(3000));

    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|start| start.worker == worker_id(2)));
}

/// Returns a leader that watches entries, with a planned run that waits for its record.
fn leader_with_planned_run() -> (Scheduler, Batch) {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, MEMORY), Millis(0));
    sched.on_entries_watched(&BTreeSet::new(), Millis(0));
    submit(&mut sched, "a", simple_job("urgent", 1, 2000), Millis(0));
    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("a record waits");
    (sched, batch)
}

/// Guards against a start that relies on an entry from before an outage of the store, in which the
/// worker may have shrunk: neither the first answer afterwards nor a full read is recent enough.
#[test]
fn entries_from_before_an_outage_allow_no_start() {
    let (mut sched, batch) = leader_with_planned_run();
    let written = BTreeSet::from([worker_id(1)]);

    sched.on_commit(&batch, 1, Millis(5000));
    let mut early = plan_and_commit(&mut sched, 2, Millis(5000));
    set_capacity(&mut sched, 1, 8000, Millis(5100));
    sched.on_entries_watched(&written, Millis(5100));
    early.extend(plan_and_commit(&mut sched, 3, Millis(5100)));
    sched.set_entry(entry(1, 1, 4000, MEMORY), Millis(5600));
    sched.on_entries_watched(&written, Millis(5600));
    let needs_plan = sched.needs_plan();
    let later = starts(&plan_and_commit(&mut sched, 4, Millis(5600)));

    assert!(starts(&early).is_empty(), "{early:?}");
    assert!(needs_plan);
    assert_eq!(later.len(), 1, "the worker has written its entry again");
}

/// Guards against starts that are withheld although the store answers: workers that have written
/// nothing for a while are used, as long as the watch is answered.
#[test]
fn an_answered_watch_keeps_entries_recent() {
    let (mut sched, batch) = leader_with_planned_run();

    for now in (1500..9000).step_by(1500).map(Millis) {
        sched.on_entries_watched(&BTreeSet::new(), now);
    }
    sched.on_commit(&batch, 1, Millis(9000));
    let started = starts(&sched.take_commands());

    assert_eq!(started.len(), 1);
}

/// Guards against an unanswered start that is repeated, or stopped, while the entry of its worker
/// is old.
#[test]
fn an_unanswered_start_waits_for_a_recent_entry() {
    let (mut sched, batch) = leader_with_planned_run();
    sched.on_commit(&batch, 1, Millis(10));
    let start = starts(&sched.take_commands()).remove(0);
    respond(&mut sched, &start, StartResponse::Unknown, Millis(500));
    let written = BTreeSet::from([worker_id(1)]);

    sched.tick(Millis(4000));
    let during = sched.take_commands();
    sched.on_entries_watched(&written, Millis(4100));
    sched.on_entries_watched(&written, Millis(4500));
    sched.tick(Millis(4500));
    let after = starts(&sched.take_commands());

    assert!(during.is_empty(), "{during:?}");
    assert_eq!(after.len(), 1);
}

/// Guards against a leader that has taken over after an outage of the store and relies on the
/// entries that it has read.
#[test]
fn a_leader_that_distrusts_entries_waits_for_new_ones() {
    let (mut sched, batch) = leader_with_planned_run();

    sched.distrust_entries();
    sched.on_commit(&batch, 1, Millis(10));
    let early = plan_and_commit(&mut sched, 2, Millis(10));
    sched.on_entries_watched(&BTreeSet::from([worker_id(1)]), Millis(1000));
    let later = starts(&plan_and_commit(&mut sched, 3, Millis(1000)));

    assert!(starts(&early).is_empty());
    assert_eq!(later.len(), 1);
}
