//! Jobs that cannot be placed must not keep others from being placed.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    JobRecord, Phase, QueueTable, RunCompletion, RunOutcome, RunStatus, Scheduler, StartCommand,
    StartResponse, StepSpec, TaskRecord, WorkerReport,
};
use scheduler_support::*;

/// Time between two ticks.
const TICK: u64 = 100;

fn with_label(label: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        requires: Some(label.to_string()),
        ..step
    }
}

fn long_running(step: StepSpec) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step
    }
}

/// Submits `count` jobs, each with a step that is made from its number.
fn submit_all(sched: &mut Scheduler, count: usize, step: impl Fn(usize) -> StepSpec) {
    for at in 0..count {
        let spec = job("urgent", vec![step(at)]);
        submit(sched, &format!("j{at:03}"), spec, Millis(0));
    }
}

/// Ticks and plans until a job starts; returns the number of rounds.
fn rounds_until_start(sched: &mut Scheduler, name: &str, most: u64) -> Option<u64> {
    for round in 1..=most {
        let now = Millis(round * TICK);
        sched.tick(now);
        let started = starts(&plan_and_commit(sched, round, now));
        for start in &started {
            respond(sched, start, StartResponse::Started, now);
        }
        if started.iter().any(|start| start.task.job == id(name)) {
            return Some(round);
        }
    }
    None
}

/// Guards against steps with labels that no worker has: each takes a failed search, and a round
/// that begins with the same jobs each time never comes to the jobs behind them.
#[test]
fn steps_without_a_worker_do_not_block_other_jobs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit_all(&mut sched, 100, |at| {
        with_label(&format!("label-{at}"), long_running(step(1, 1000, 1000)))
    });
    let last = job("patient", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "last", last, Millis(0));

    let rounds = rounds_until_start(&mut sched, "last", 50);

    let rounds = rounds.expect("the job starts");
    assert!(rounds <= 10, "it started only in round {rounds}");
}

/// Guards against steps whose bound per worker is reached on all workers: they fail for a reason of
/// their own, and must not use up every round.
#[test]
fn steps_at_their_bound_per_worker_do_not_block_other_jobs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 64_000), Millis(0));
    submit_all(&mut sched, 50, |_| StepSpec {
        max_per_worker: Some(1),
        ..long_running(step(2, 100, 100))
    });
    let last = job("patient", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "last", last, Millis(0));

    let rounds = rounds_until_start(&mut sched, "last", 50);

    let rounds = rounds.expect("the job starts");
    assert!(rounds <= 5, "it started only in round {rounds}");
}

/// Guards against a job that is passed over in each round, because a gang before it held resources
/// for a moment and did not fit as a whole.
#[test]
fn a_gang_that_does_not_fit_does_not_block_other_jobs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 4000, 8000), Millis(0));
    let gang = StepSpec {
        gang: true,
        ..step(6, 1000, 1000)
    };
    submit(&mut sched, "gang", job("urgent", vec![gang]), Millis(0));
    let single = job("patient", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "single", single, Millis(0));

    let rounds = rounds_until_start(&mut sched, "single", 10);

    assert_eq!(rounds, Some(1));
}

/// Guards against jobs that wait for long and fit nowhere: each took a search although the search
/// of another had failed with the same request, and the jobs behind them were never tried.
#[test]
fn overdue_jobs_that_fit_nowhere_do_not_block_other_jobs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit_all(&mut sched, 100, |_| step(1, 9000, 1000));
    plan_and_commit(&mut sched, 1, Millis(0));
    let late = Millis(5000);
    let last = job("patient", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "last", last, late);

    let started = starts(&plan_and_commit(&mut sched, 2, late));

    assert_eq!(started.len(), 1);
}

/// Occupies three workers with preemptible runs.
fn leader_with_preemptible_runs() -> Scheduler {
    let mut sched = leader(Millis(0));
    for at in 1..=3 {
        register(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    let plan = job("patient", vec![step(3, 8000, 1000)]);
    submit(&mut sched, "plan", plan, Millis(0));
    for start in starts(&plan_and_commit(&mut sched, 1, Millis(0))) {
        respond(&mut sched, &start, StartResponse::Started, Millis(5));
    }
    sched
}

/// Guards against an urgent task for which no run is preempted, because a step with a label that no
/// worker has found none before it.
#[test]
fn a_step_without_a_worker_does_not_end_preemption() {
    let mut sched = leader_with_preemptible_runs();
    let labelled = with_label("none", long_running(step(1, 100, 100)));
    submit(
        &mut sched,
        "first",
        job("urgent", vec![labelled]),
        Millis(10),
    );
    let check = job("urgent", vec![step(1, 8000, 1000)]);
    submit(&mut sched, "second", check, Millis(10));

    let stopped = stops(&plan_and_commit(&mut sched, 2, Millis(10)));

    assert_eq!(stopped.len(), 1);
}

/// Guards against urgent tasks for which no run is preempted, because steps before them use up the
/// preemption searches of every round.
#[test]
fn many_steps_without_a_worker_do_not_end_preemption() {
    let mut sched = leader_with_preemptible_runs();
    submit_all(&mut sched, 25, |at| {
        with_label(&format!("label-{at}"), long_running(step(1, 100, 100)))
    });
    let check = job("urgent", vec![step(1, 8000, 1000)]);
    submit(&mut sched, "second", check, Millis(10));

    let mut stopped = Vec::new();
    for round in 1..=10 {
        let now = Millis(round * TICK);
        sched.tick(now);
        stopped.extend(stops(&plan_and_commit(&mut sched, 1 + round, now)));
    }

    assert!(!stopped.is_empty());
}

/// Guards against a job that waits beside free workers of its service, because the workers of
/// another service are full.
#[test]
fn free_capacity_counts_for_each_service() {
    let mut other = queue("other", 0, 2);
    other.service = "other".to_string();
    let all = [queue("urgent", 0, 2), queue("patient", 2, 4), other];
    let queues = QueueTable {
        version: 1,
        queues: all.map(|queue| (queue.name.clone(), queue)).into(),
        max_body: 262_144,
        ..QueueTable::default()
    };
    let mut sched = Scheduler::new(timing(), 7, Arc::new(queues), Millis(0));
    let mut full = entry(9, 1, 80_000, 80_000);
    full.service = "other".to_string();
    register(&mut sched, full, Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "full",
        job("other", vec![step(1, 80_000, 1000)]),
        Millis(0),
    );
    let waits = job("patient", vec![step(1, 5000, 1000)]);
    start_all(&mut sched, 1, Millis(0));
    submit(&mut sched, "waits", waits, Millis(0));
    let mut stream_runs = Vec::new();
    let mut waits_started = None;
    let mut sequence = 0;

    for round in 1..=30 {
        let now = Millis(round * TICK);
        end_runs(&mut sched, &mut stream_runs, &[], &mut sequence, now);
        let next = job("urgent", vec![step(1, 4000, 1000)]);
        submit(&mut sched, &format!("s{round}"), next, now);
        stream_runs = start_all(&mut sched, 1 + round, now);
        if stream_runs.iter().any(|run| run.task.job == id("waits")) {
            waits_started = Some(now);
            break;
        }
    }

    let at = waits_started.expect("the job starts");
    assert!(at <= Millis(2000), "it started only at {at}");
}

/// Starts a long-running task that holds four fifths of the only worker.
fn full_fleet() -> (Scheduler, Vec<StartCommand>) {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 10_000, 64_000), Millis(0));
    let base = job("urgent", vec![long_running(step(1, 8000, 100))]);
    submit(&mut sched, "base", base, Millis(0));
    let running = start_all(&mut sched, 1, Millis(0));
    (sched, running)
}

/// Runs urgent jobs that take each freed part of the worker for a tenth of a second, until a job
/// has a start or the time is over; returns the time of the start.
fn stream_until_start(
    sched: &mut Scheduler,
    name: &str,
    running: &[StartCommand],
    mut ended: Vec<StartCommand>,
    from: Millis,
) -> Option<Millis> {
    let mut sequence = 0;
    for round in 1..=50 {
        let now = from + Millis(round * TICK);
        end_runs(sched, &mut ended, running, &mut sequence, now);
        for at in 0..2 {
            let next = job("urgent", vec![step(1, 1000, 100)]);
            submit(sched, &format!("s{round}-{at}"), next, now);
        }
        ended = start_all(sched, 10 + round, now);
        if ended.iter().any(|start| start.task.job == id(name)) {
            return Some(now);
        }
    }
    None
}

/// Guards against a long-running task that stays away because other tasks of its job run: the job
/// does not count as idle, and urgent tasks take each freed place.
#[test]
fn a_failed_long_running_task_is_back_soon_although_others_of_its_job_run() {
    let (mut sched, mut running) = full_fleet();
    let lasting = job("patient", vec![long_running(step(2, 1000, 100))]);
    submit(&mut sched, "long", lasting, Millis(0));
    let mut long = start_all(&mut sched, 2, Millis(0));
    let failed = long.remove(0);
    running.extend(long);

    let back = stream_until_start(&mut sched, "long", &running, vec![failed], Millis(1000));

    let back = back.expect("the task starts again");
    assert!(back <= Millis(3000), "it was away until {back}");
}

/// Guards against a long-running task whose wait begins anew with each leader.
#[test]
fn a_new_leader_brings_a_long_running_task_back_first() {
    let (mut sched, running) = full_fleet();
    let record = JobRecord {
        phase: Phase::Active,
        ended: Timestamp(0),
        tasks: vec![TaskRecord {
            run: 1,
            ..TaskRecord::default()
        }],
    };
    let lasting = job("patient", vec![long_running(step(1, 1000, 100))]);
    let from = Millis(20_000);
    sched.add_job(
        id("long"),
        lasting,
        Some((record, 3)),
        from,
        Timestamp(from.0),
    );

    let back = stream_until_start(&mut sched, "long", &running, Vec::new(), from);

    assert_eq!(back, Some(from + Millis(TICK)));
}

/// Guards against new long-running tasks that go before urgent ones on a full fleet, where they may
/// never end.
#[test]
fn a_new_long_running_task_waits_for_urgent_ones_on_a_full_fleet() {
    let (mut sched, running) = full_fleet();
    let filler = job("urgent", vec![step(2, 1000, 100)]);
    submit(&mut sched, "filler", filler, Millis(0));
    let ended = start_all(&mut sched, 2, Millis(0));
    let lasting = job("patient", vec![long_running(step(1, 1000, 100))]);
    submit(&mut sched, "new", lasting, Millis(0));

    let started = stream_until_start(&mut sched, "new", &running, ended, Millis(0));

    assert_eq!(started, None);
}

/// Plans and commits; returns the starts after the worker has confirmed them.
fn start_all(sched: &mut Scheduler, revision: u64, now: Millis) -> Vec<StartCommand> {
    let started = starts(&plan_and_commit(sched, revision, now));
    for start in &started {
        respond(sched, start, StartResponse::Started, now);
    }
    started
}

/// Reports the end of runs of the first worker beside others that go on.
fn end_runs(
    sched: &mut Scheduler,
    ended: &mut Vec<StartCommand>,
    running: &[StartCommand],
    sequence: &mut u64,
    now: Millis,
) {
    let mut report = WorkerReport::default();
    for start in running {
        report.running.push(RunStatus {
            task: start.task.clone(),
            run: start.run,
            checkpoint: String::new(),
            percent: 100,
            gauge: 0,
        });
    }
    for start in ended.drain(..) {
        *sequence += 1;
        report.ended.push(RunCompletion {
            sequence: *sequence,
            task: start.task.clone(),
            run: start.run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
    }
    deliver_report(sched, &worker_id(1), 1, now, report);
}

/// Guards against a gang that goes before urgent jobs as if it had run, because a round that could
/// not place all of its members left their run numbers raised.
#[test]
fn a_gang_that_never_ran_does_not_return_before_urgent_jobs() {
    let mut sched = leader(Millis(0));
    // Most of the CPU is reserved, so that no job counts as overdue.
    register(&mut sched, entry(3, 1, 10_000, 8000), Millis(0));
    let full = job("urgent", vec![step(1, 10_000, 100)]);
    submit(&mut sched, "full", full, Millis(0));
    plan_and_commit(&mut sched, 1, Millis(0));
    register(&mut sched, entry(1, 1, 1000, 8000), Millis(0));
    let mut gang = step(2, 600, 100);
    gang.gang = true;
    gang.long_running = true;
    submit(&mut sched, "gang", job("patient", vec![gang]), Millis(0));
    sched.tick(Millis(0));
    plan_and_commit(&mut sched, 1, Millis(0));
    sched.tick(Millis(100));
    plan_and_commit(&mut sched, 1, Millis(100));

    register(&mut sched, entry(2, 1, 1000, 8000), Millis(4000));
    submit(
        &mut sched,
        "urgent",
        job("urgent", vec![step(1, 600, 100)]),
        Millis(4000),
    );
    sched.tick(Millis(4000));
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(4000)));

    assert!(started.iter().any(|start| start.task.job == id("urgent")));
}
