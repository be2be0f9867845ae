//! Regression tests for the scheduler, each with one leader and a few workers.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    JobSpec, JobView, QueueTable, RunCompletion, RunOutcome, RunStatus, Scheduler, StartResponse,
    TaskKey, WorkerReport,
};
use scheduler_support::*;

fn completion(sequence: u64, task: &TaskKey, run: u32, outcome: RunOutcome) -> RunCompletion {
    RunCompletion {
        sequence,
        task: task.clone(),
        run,
        outcome,
        checkpoint: String::new(),
    }
}

fn running_status(task: &TaskKey, run: u32) -> RunStatus {
    RunStatus {
        task: task.clone(),
        run,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    }
}

/// Guards against a start that a successor does not know of, because it is sent before its record
/// is durable.
#[test]
fn a_start_follows_its_durable_record() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );

    sched.plan(Millis(0));
    let before = sched.take_commands();
    let batch = sched.next_batch(1).expect("a record waits");
    sched.on_commit(&batch, 5, Millis(10));
    let after = starts(&sched.take_commands());

    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
    let record = decode_record(&batch.writes[0].value);
    assert_eq!(record.tasks[0].run, 1);
    assert_eq!(
        record.tasks[0].place.as_ref().map(|place| &place.worker),
        Some(&after[0].worker)
    );
}

/// Guards against transactions that exceed the store's limit of 32 entries.
#[test]
fn a_batch_fits_one_transaction() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 80_000, 80_000), Millis(0));
    for at in 0..40 {
        submit(
            &mut sched,
            &format!("j{at}"),
            job("urgent", vec![step(1, 100, 100)]),
            Millis(0),
        );
    }

    sched.plan(Millis(0));
    let batch = sched.next_batch(1).expect("records wait");

    assert!(
        2 * batch.writes.len() < 32,
        "{} records",
        batch.writes.len()
    );
}

/// Guards against a dead worker whose runs never expire, because every retry of an unanswered start
/// extends the lease.
#[test]
fn retried_starts_do_not_delay_the_expiry() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    let mut restarted = None;

    for now in (0..12_000).step_by(250).map(Millis) {
        respond(&mut sched, &start, StartResponse::Unknown, now);
        sched.on_poll_failure(&start.worker, start.incarnation, "silent");
        sched.tick(now);
        if now == Millis(3000) {
            register(&mut sched, entry(2, 2, 8000, 8000), now);
        }
        let others = starts(&plan_and_commit(&mut sched, 2, now));
        if others.iter().any(|other| other.worker == worker_id(2)) {
            restarted = Some(now);
            break;
        }
    }

    let restarted = restarted.expect("the task starts elsewhere");
    assert!(
        restarted > RUN_LEASE,
        "restarted at {restarted}, before its lease ended"
    );
    assert!(restarted < Millis(7000), "restarted only at {restarted}");
}

/// Guards against runs that stay reserved on an incarnation although another one answers at its
/// address.
#[test]
fn a_dead_incarnation_releases_its_runs_at_once() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(5));
    register(&mut sched, entry(2, 2, 8000, 8000), Millis(10));

    sched.mark_worker_dead(&worker_id(1), 1, Millis(20));
    let again = starts(&plan_and_commit(&mut sched, 2, Millis(20)));

    assert_eq!(again.len(), 1);
    assert_eq!((again[0].worker.clone(), again[0].run), (worker_id(2), 2));
}

/// Guards against a count of pending jobs that omits jobs whose runs were recorded but never
/// started.
#[test]
fn a_recorded_run_does_not_count_as_started() {
    let mut first = leader(Millis(0));
    register(&mut first, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut first,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    first.plan(Millis(0));
    let batch = first.next_batch(1).expect("a record waits");
    let record = decode_record(&batch.writes[0].value);

    let mut second = leader(Millis(100));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    second.add_job(
        id("a"),
        spec,
        Some((record, 3)),
        Millis(100),
        Timestamp(100),
    );

    assert_eq!(second.pending("urgent"), 1);
    assert_eq!(second.view(&id("a")), Some(JobView::Queued));
}

/// Guards against a long-running task that finds no memory, because less urgent best-effort tasks
/// hold it.
#[test]
fn urgent_tasks_preempt_best_effort_tasks_for_memory() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 64_000, 10_000), Millis(0));
    let mut best_effort_step = step(1, 4000, 8000);
    best_effort_step.best_effort = true;
    best_effort_step.checkpoints = true;
    submit(
        &mut sched,
        "fill",
        job("patient", vec![best_effort_step]),
        Millis(0),
    );
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(5));
    let mut long_running_step = step(1, 4000, 8000);
    long_running_step.long_running = true;
    submit(
        &mut sched,
        "last",
        job("urgent", vec![long_running_step]),
        Millis(10),
    );

    let stop = stops(&plan_and_commit(&mut sched, 2, Millis(10))).remove(0);
    sched.on_stop_response(&stop, true, Millis(12));
    let early = starts(&plan_and_commit(&mut sched, 3, Millis(13)));
    let end = completion(1, &stop.task, stop.run, RunOutcome::Interrupted);
    let report = WorkerReport {
        ended: vec![end],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &stop.worker, 1, Millis(50), report);
    let started = starts(&plan_and_commit(&mut sched, 4, Millis(60)));

    assert_eq!(stop.task.job, id("fill"));
    assert!(
        early.is_empty(),
        "resources count as free only once the completion is reported"
    );
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, id("last"));
}

/// Guards against a completion that is acknowledged to its worker before the store has it.
#[test]
fn completions_are_acknowledged_once_they_are_durable() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(5));

    let end = completion(1, &start.task, 1, RunOutcome::Done);
    let report = WorkerReport {
        ended: vec![end],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &start.worker, 1, Millis(900), report);
    let unacknowledged = sched.unacknowledged_pause(&start.worker).is_some();
    let shown = sched.view(&id("a"));
    plan_and_commit(&mut sched, 2, Millis(910));

    assert!(unacknowledged);
    assert_eq!(
        shown,
        Some(JobView::Running),
        "a completion that is not durable is not visible"
    );
    assert!(sched.unacknowledged_pause(&start.worker).is_none());
    assert_eq!(sched.view(&id("a")), Some(JobView::Completed));
}

/// Guards against a task whose start is lost after it was answered: it must neither count as
/// running for ever nor start twice.
#[test]
fn a_lost_start_is_replaced_after_a_report_without_the_run() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(2, 1000, 1000)]),
        Millis(0),
    );
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    for start in &sent {
        respond(&mut sched, start, StartResponse::Started, Millis(5));
    }

    let report = WorkerReport {
        running: vec![running_status(&sent[0].task, 1)],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &sent[0].worker, 1, Millis(100), report);
    let again = starts(&plan_and_commit(&mut sched, 2, Millis(110)));

    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].task, again[0].run), (&sent[1].task, 2));
}

/// Guards against a job that is reported as failed before its attempts are used up, or not
/// afterwards.
#[test]
fn a_job_fails_with_its_last_attempt() {
    let mut sched = leader(Millis(0));
    for at in 1..=3 {
        register(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let mut views = Vec::new();

    for attempt in 1..=2u64 {
        let now = Millis(attempt * 1000);
        let start = starts(&plan_and_commit(&mut sched, attempt, now)).remove(0);
        respond(&mut sched, &start, StartResponse::Started, now);
        let end = completion(1, &start.task, start.run, RunOutcome::Failed);
        let report = WorkerReport {
            ended: vec![end],
            ..WorkerReport::default()
        };
        deliver_report(&mut sched, &start.worker, 1, now + Millis(500), report);
        while let Some(batch) = sched.next_batch(1) {
            sched.on_commit(&batch, 10 + attempt, now + Millis(510));
        }
        views.push(sched.view(&id("a")));
    }

    assert_eq!(views, [Some(JobView::Running), Some(JobView::Failed)]);
}

/// Guards against a long-running task that waits behind a long queue although it fits on a worker.
#[test]
fn long_running_tasks_do_not_wait_behind_a_long_queue() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    for at in 0..100 {
        let wide = job("urgent", vec![step(1, 9000, 1000)]);
        submit(&mut sched, &format!("j{at}"), wide, Millis(0));
    }
    let mut long_running_step = step(1, 1000, 1000);
    long_running_step.long_running = true;
    submit(
        &mut sched,
        "last",
        job("urgent", vec![long_running_step]),
        Millis(0),
    );

    let started = starts(&plan_and_commit(&mut sched, 1, Millis(60_000)));

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, id("last"));
}

/// Guards against a completion that its worker drops while the phase of its job is not durable; a
/// successor would start the task again.
#[test]
fn a_completion_is_acknowledged_after_the_phase_of_its_job() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(2, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    for start in &sent {
        respond(&mut sched, start, StartResponse::Started, Millis(5));
    }
    sched.cancel(&id("a"), Millis(10), Timestamp(10));

    let report = WorkerReport {
        ended: vec![completion(1, &sent[0].task, 1, RunOutcome::Done)],
        running: vec![running_status(&sent[1].task, 1)],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &sent[0].worker, 1, Millis(20), report);
    let unacknowledged = sched.unacknowledged_pause(&sent[0].worker).is_some();
    plan_and_commit(&mut sched, 2, Millis(30));

    assert!(unacknowledged, "the cancellation is not durable yet");
    assert!(sched.unacknowledged_pause(&sent[0].worker).is_none());
}

/// Guards against a job that is removed while its key stays in the store. Read again, it would
/// count as new and run twice.
#[test]
fn an_ended_job_is_known_until_its_keys_are_removed() {
    let mut sched = leader(Millis(0));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec.clone(), Millis(0));
    sched.cancel(&id("a"), Millis(10), Timestamp(10));
    let late = Millis(500_000);

    let before_durable = sched.expired_jobs(Timestamp(late.0), 10);
    plan_and_commit(&mut sched, 1, Millis(20));
    let early = sched.expired_jobs(Timestamp(1000), 10);
    sched.tick(late);
    submit(&mut sched, "a", spec, late);
    let known = sched.view(&id("a"));
    let expired = sched.expired_jobs(Timestamp(late.0), 10);
    sched.remove_jobs(&expired);

    assert!(before_durable.is_empty() && early.is_empty());
    assert_eq!(known, Some(JobView::Cancelled));
    assert_eq!(expired, [id("a")]);
    assert_eq!(sched.view(&id("a")), None);
}

/// Guards against urgent tasks that wait for one another, because only one worker at a time is
/// preempted for them.
#[test]
fn each_urgent_task_preempts_a_worker() {
    let mut sched = leader(Millis(0));
    for at in 1..=3 {
        register(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    submit(
        &mut sched,
        "plan",
        job("patient", vec![step(3, 8000, 1000)]),
        Millis(0),
    );
    for start in starts(&plan_and_commit(&mut sched, 1, Millis(0))) {
        respond(&mut sched, &start, StartResponse::Started, Millis(5));
    }

    submit(
        &mut sched,
        "check",
        job("urgent", vec![step(3, 8000, 1000)]),
        Millis(10),
    );
    let first = stops(&plan_and_commit(&mut sched, 2, Millis(10)));
    sched.tick(Millis(20));
    let again = stops(&plan_and_commit(&mut sched, 3, Millis(20)));

    assert_eq!(first.len(), 3);
    assert!(
        again.is_empty(),
        "resources that are being freed are not freed twice"
    );
}

/// Guards against a round that skips small tasks because a larger one found no worker.
#[test]
fn a_small_task_starts_although_larger_ones_do_not_fit() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    for (name, cpu) in [("a", 7000), ("b", 7000), ("c", 6000), ("d", 1000)] {
        submit(
            &mut sched,
            name,
            job("urgent", vec![step(1, cpu, 1000)]),
            Millis(0),
        );
    }

    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));

    let jobs: Vec<String> = sent
        .iter()
        .map(|start| start.task.job.to_string())
        .collect();
    assert!(jobs.contains(&"d".to_string()), "{jobs:?}");
    assert_eq!(sent.len(), 2);
}

/// Guards against a start that is sent or retried to a worker that has started to drain since the
/// run was planned.
#[test]
fn a_draining_worker_gets_no_start_that_was_planned_before() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let one = || job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "sent", one(), Millis(0));
    let first = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    respond(&mut sched, &first[0], StartResponse::Unknown, Millis(500));
    deliver_report(
        &mut sched,
        &first[0].worker,
        1,
        Millis(600),
        WorkerReport::default(),
    );
    submit(&mut sched, "planned", one(), Millis(600));
    sched.plan(Millis(600));
    let batch = sched.next_batch(1).expect("a record waits");

    let mut draining = entry(1, 1, 8000, 8000);
    draining.draining = true;
    sched.set_entry(draining, Millis(700));
    sched.on_commit(&batch, 2, Millis(800));
    sched.tick(Millis(1000));
    let commands = plan_and_commit(&mut sched, 3, Millis(1000));

    assert!(starts(&commands).is_empty(), "{commands:?}");
    assert_eq!(stops(&commands).len(), 1, "the unanswered start is stopped");
}

/// Guards against a task that runs twice: the next incarnation of its worker executes the start,
/// and the response arrives before the leader knows of that incarnation (soak seed 308).
#[test]
fn a_start_that_the_next_incarnation_may_have_executed_is_stopped() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    register(&mut sched, entry(2, 1, 1000, 1000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(5));

    let at = if start.worker == worker_id(1) { 1 } else { 2 };
    sched.set_entry(entry(at, 2, 8000, 8000), Millis(10));
    let commands = plan_and_commit(&mut sched, 2, Millis(10));
    let stop = stops(&commands);
    let early = starts(&commands);
    for stop in &stop {
        sched.on_stop_response(stop, true, Millis(15));
    }
    deliver_report(
        &mut sched,
        &start.worker,
        2,
        Millis(20),
        WorkerReport::default(),
    );
    let later = starts(&plan_and_commit(&mut sched, 3, Millis(30)));

    assert!(early.is_empty(), "{early:?}");
    assert_eq!(stop.len(), 1);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].run, start.run + 1);
}

/// Plans and commits; returns the started runs after the worker has confirmed them.
fn start_all(sched: &mut Scheduler, revision: u64, now: Millis) -> Vec<(TaskKey, u32)> {
    let started = starts(&plan_and_commit(sched, revision, now));
    for start in &started {
        respond(sched, start, StartResponse::Started, now);
    }
    started
        .into_iter()
        .map(|start| (start.task, start.run))
        .collect()
}

/// Runs a queue on one worker with room for two tasks of a second beside a long-running one: first a
/// wide job, then two narrow jobs a second, which alone fill the room. Returns the wide job's state.
fn wide_job_beside_a_stream_of_narrow_ones(seconds: u64) -> Option<JobView> {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 10_000, 64_000), Millis(0));
    let mut base = step(1, 8000, 100);
    base.long_running = true;
    submit(&mut sched, "base", job("urgent", vec![base]), Millis(0));
    let base_runs = start_all(&mut sched, 1, Millis(0));
    let wide = job("patient", vec![step(6, 1000, 100)]);
    submit(&mut sched, "wide", wide, Millis(0));
    let mut finite_runs: Vec<(TaskKey, u32)> = Vec::new();
    let mut sequence = 0;
    for second in 1..=seconds {
        let now = Millis(second * 1000);
        let mut report = WorkerReport::default();
        for (task, run) in &base_runs {
            report.running.push(running_status(task, *run));
        }
        for (task, run) in finite_runs.drain(..) {
            sequence += 1;
            let end = completion(sequence, &task, run, RunOutcome::Done);
            report.ended.push(end);
        }
        deliver_report(&mut sched, &worker_id(1), 1, now, report);
        for at in 0..2 {
            let narrow = JobSpec {
                submitted: Timestamp(now.0),
                ..job("patient", vec![step(1, 1000, 100)])
            };
            submit(&mut sched, &format!("n{second}-{at}"), narrow, now);
        }
        finite_runs = start_all(&mut sched, second + 1, now);
    }
    sched.view(&id("wide"))
}

/// Guards against an order by size, under which the largest jobs never end while smaller ones keep
/// arriving at the rate of the fleet. The objective is 3 s, so a late result has value until 9 s.
#[test]
fn a_wide_job_ends_beside_a_stream_of_narrow_ones() {
    let state = wide_job_beside_a_stream_of_narrow_ones(9);

    assert_eq!(state, Some(JobView::Completed));
}

/// Guards against a long-running task that fails and stays away for tens of seconds, because each
/// freed place goes to a short urgent job.
#[test]
fn a_failed_long_running_task_returns_before_a_short_urgent_job() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 1000, 8000), Millis(0));
    let mut long_running_step = step(1, 1000, 1000);
    long_running_step.long_running = true;
    let long_running = job("urgent", vec![long_running_step]);
    submit(&mut sched, "long", long_running, Millis(0));
    let (task, run) = start_all(&mut sched, 1, Millis(0)).remove(0);
    let short = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "short", short, Millis(10));
    let report = WorkerReport {
        ended: vec![completion(1, &task, run, RunOutcome::Failed)],
        ..WorkerReport::default()
    };

    deliver_report(&mut sched, &worker_id(1), 1, Millis(1000), report);
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(1000)));

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, id("long"));
}

/// Guards against a start of a task that is done: its first run ended on a worker that was silent
/// until the leases had lapsed, and the unanswered start of the second run is repeated.
#[test]
fn a_late_completion_stops_the_run_that_replaced_it() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let mut next = step(1, 1000, 1000);
    next.after = vec![0];
    let spec = job("urgent", vec![step(1, 1000, 1000), next]);
    submit(&mut sched, "a", spec, Millis(0));
    let (task, run) = start_all(&mut sched, 1, Millis(0)).remove(0);
    sched.on_poll_failure(&worker_id(1), 1, "silent");
    let lapsed = Millis(7000);
    register(&mut sched, entry(2, 1, 8000, 8000), lapsed);
    sched.tick(lapsed);
    let second = starts(&plan_and_commit(&mut sched, 2, lapsed)).remove(0);
    let now = lapsed + Millis(500);
    respond(&mut sched, &second, StartResponse::Unknown, now);

    let report = WorkerReport {
        ended: vec![completion(1, &task, run, RunOutcome::Done)],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, now, report);
    let after = now + Millis(500);
    sched.tick(after);
    let commands = plan_and_commit(&mut sched, 3, after);

    let again = starts(&commands);
    assert!(again.iter().all(|start| start.task != task), "{commands:?}");
    assert!(stops(&commands).iter().any(|stop| stop.run == second.run));
}

/// Guards against a cancelled job that runs because the leader hears of the cancellation before the
/// job, also if the leader changes in between.
#[test]
fn a_cancellation_that_comes_before_its_job_applies() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));

    let is_known = sched.cancel(&id("a"), Millis(10), Timestamp(10));
    sched.keep_cancel_mark(id("a"), Timestamp(10));
    let spec = job("urgent", vec![step(2, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(20));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(20)));

    assert!(!is_known);
    assert_eq!(sent, []);
    assert_eq!(sched.view(&id("a")), Some(JobView::Cancelled));
    let marks = sched.expired_cancel_marks(Timestamp(1_000_000), 10);
    assert_eq!(marks, [], "the mark belongs to a stored job");
}

/// Guards against a job that is stored again under an id whose old cancellation was removed and that
/// is cancelled at once, and against cancellations of unknown jobs that stay for ever or are removed
/// while a submission may be on its way.
#[test]
fn a_cancellation_of_an_unknown_job_is_kept_for_a_minute() {
    let mut sched = leader(Millis(0));
    sched.keep_cancel_mark(id("a"), Timestamp(10_000));
    sched.keep_cancel_mark(id("b"), Timestamp(30_000));

    let early = sched.expired_cancel_marks(Timestamp(69_999), 10);
    let expired = sched.expired_cancel_marks(Timestamp(70_000), 10);
    sched.drop_cancel_mark(&id("a"));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(80_000));

    assert_eq!((early, expired), (vec![], vec![id("a")]));
    assert_eq!(sched.view(&id("a")), Some(JobView::Queued));
}

/// Guards against an accepted job that never goes on, because its queue was removed from the
/// configuration between two of its steps (review case 3), also after a change of the leader.
#[test]
fn an_accepted_job_outlives_its_queue() {
    let mut spec = job("urgent", vec![step(1, 1000, 1000), step(1, 1000, 1000)]);
    spec.steps[1].after = vec![0];
    spec.accepted_by = Some(queue("urgent", 0, 2));
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(&mut sched, "a", spec.clone(), Millis(0));
    let first = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &first, StartResponse::Started, Millis(5));
    let without_queues = Arc::new(QueueTable {
        version: 2,
        ..QueueTable::default()
    });

    sched.set_queues(without_queues.clone(), Millis(100));
    let report = WorkerReport {
        ended: vec![completion(1, &first.task, 1, RunOutcome::Done)],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(500), report);
    let second = starts(&plan_and_commit(&mut sched, 2, Millis(500)));
    let mut successor = Scheduler::new(timing(), 8, without_queues, Millis(600));
    register(&mut successor, entry(1, 1, 8000, 8000), Millis(600));
    submit(&mut successor, "b", spec, Millis(600));
    let at_successor = starts(&plan_and_commit(&mut successor, 3, Millis(700)));

    assert_eq!(second.len(), 1);
    assert_eq!(second[0].task.step, 1);
    assert_eq!(at_successor.len(), 1);
}

/// Guards against a waiting job that is left out of the count of waiting jobs and shown as running,
/// because a start of it was sent that reached no worker (review case 5).
#[test]
fn a_start_without_an_answer_does_not_count_as_started() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));

    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    let before = (sched.pending("urgent"), sched.view(&id("a")));
    respond(&mut sched, &sent, StartResponse::Unknown, Millis(500));
    let unanswered = (sched.pending("urgent"), sched.view(&id("a")));
    respond(&mut sched, &sent, StartResponse::Started, Millis(600));
    let started = (sched.pending("urgent"), sched.view(&id("a")));

    assert_eq!(before, (1, Some(JobView::Queued)));
    assert_eq!(unanswered, (1, Some(JobView::Queued)));
    assert_eq!(started, (0, Some(JobView::Running)));
}
