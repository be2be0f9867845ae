//! Failures of the scheduler that were seen on whole days, each as a short case.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    JobView, RunCompletion, RunOutcome, RunStatus, StartResponse, TaskKey, WorkerReport,
};
use scheduler_support::*;

fn ended(number: u64, task: &TaskKey, run: u32, how: RunOutcome) -> RunCompletion {
    RunCompletion {
        sequence: number,
        task: task.clone(),
        run,
        outcome: how,
        checkpoint: String::new(),
    }
}

fn running(task: &TaskKey, run: u32) -> RunStatus {
    RunStatus {
        task: task.clone(),
        run,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    }
}

/// Guards against starts that a successor would not know of.
#[test]
fn a_start_follows_its_durable_record() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );

    sched.plan(Millis(0));
    let before = sched.take_commands();
    let batch = sched.next_batch().expect("a record waits");
    sched.on_commit(&batch, 5, Millis(10));
    let after = starts(&sched.take_commands());

    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
    let record = record(&batch.writes[0].value);
    assert_eq!(record.tasks[0].run, 1);
    assert_eq!(
        record.tasks[0].place.as_ref().map(|place| &place.worker),
        Some(&after[0].worker)
    );
}

/// Guards against transactions over the store's limit of 32 entries.
#[test]
fn a_batch_fits_one_transaction() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 80_000, 80_000), Millis(0));
    for at in 0..40 {
        submit(
            &mut sched,
            &format!("j{at}"),
            job("urgent", vec![step(1, 100, 100)]),
            Millis(0),
        );
    }

    sched.plan(Millis(0));
    let batch = sched.next_batch().expect("records wait");

    assert!(
        2 * batch.writes.len() < 32,
        "{} records",
        batch.writes.len()
    );
}

/// Guards against a dead worker whose runs never lapse because unanswered starts are repeated.
#[test]
fn repeated_starts_do_not_move_the_lapse() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&settle(&mut sched, 1, Millis(0))).remove(0);
    let mut restarted = None;

    for now in (0..12_000).step_by(250).map(Millis) {
        answer(&mut sched, &start, StartResponse::Unknown, now);
        sched.on_poll_failure(&start.worker, "silent");
        sched.tick(now);
        if now == Millis(3000) {
            join(&mut sched, entry(2, 2, 8000, 8000), now);
        }
        let others = starts(&settle(&mut sched, 2, now));
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

/// Guards against runs that are kept for a life that another one has replaced at its address.
#[test]
fn a_replaced_life_frees_its_runs_at_once() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&settle(&mut sched, 1, Millis(0))).remove(0);
    answer(&mut sched, &start, StartResponse::Started, Millis(5));
    join(&mut sched, entry(2, 2, 8000, 8000), Millis(10));

    sched.mark_worker_dead(&worker_id(1));
    let again = starts(&settle(&mut sched, 2, Millis(20)));

    assert_eq!(again.len(), 1);
    assert_eq!((again[0].worker.clone(), again[0].run), (worker_id(2), 2));
}

/// Guards against a count of waiting jobs that leaves out jobs whose starts were only recorded.
#[test]
fn a_recorded_start_does_not_end_the_wait_of_a_job() {
    let mut first = leader(Millis(0));
    join(&mut first, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut first,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    first.plan(Millis(0));
    let batch = first.next_batch().expect("a record waits");
    let record = record(&batch.writes[0].value);

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

/// Guards against lasting tasks that find no memory beside less urgent tasks that fill.
#[test]
fn urgent_tasks_take_the_memory_of_filling_tasks() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 64_000, 10_000), Millis(0));
    let mut filling = step(1, 4000, 8000);
    filling.best_effort = true;
    filling.checkpoints = true;
    submit(&mut sched, "fill", job("patient", vec![filling]), Millis(0));
    let start = starts(&settle(&mut sched, 1, Millis(0))).remove(0);
    answer(&mut sched, &start, StartResponse::Started, Millis(5));
    let mut lasting = step(1, 4000, 8000);
    lasting.long_running = true;
    submit(&mut sched, "last", job("urgent", vec![lasting]), Millis(10));

    let stop = stops(&settle(&mut sched, 2, Millis(10))).remove(0);
    sched.on_stop_response(&stop.worker, &stop.task, stop.run, true, Millis(12));
    let early = starts(&settle(&mut sched, 3, Millis(13)));
    let end = ended(1, &stop.task, stop.run, RunOutcome::Interrupted);
    let lists = WorkerReport {
        ended: vec![end],
        ..WorkerReport::default()
    };
    report(&mut sched, &stop.worker, 1, Millis(50), lists);
    let started = starts(&settle(&mut sched, 4, Millis(60)));

    assert_eq!(stop.task.job, id("fill"));
    assert!(
        early.is_empty(),
        "room counts as free only once the end is listed"
    );
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, id("last"));
}

/// Guards against an end that is acknowledged to the worker before the store has it.
#[test]
fn ends_are_acknowledged_once_they_are_durable() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&settle(&mut sched, 1, Millis(0))).remove(0);
    answer(&mut sched, &start, StartResponse::Started, Millis(5));

    let end = ended(1, &start.task, 1, RunOutcome::Done);
    let lists = WorkerReport {
        ended: vec![end],
        ..WorkerReport::default()
    };
    report(&mut sched, &start.worker, 1, Millis(900), lists);
    let waits = sched.unacknowledged_pause(&start.worker).is_some();
    let shown = sched.view(&id("a"));
    settle(&mut sched, 2, Millis(910));

    assert!(waits);
    assert_eq!(
        shown,
        Some(JobView::Running),
        "an end that is not durable is not shown"
    );
    assert!(sched.unacknowledged_pause(&start.worker).is_none());
    assert_eq!(sched.view(&id("a")), Some(JobView::Completed));
}

/// Guards against a task whose lost start is counted as running for ever, or started twice.
#[test]
fn a_start_that_never_arrived_is_repeated_after_the_list_shows_it() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(2, 1000, 1000)]),
        Millis(0),
    );
    let sent = starts(&settle(&mut sched, 1, Millis(0)));
    for start in &sent {
        answer(&mut sched, start, StartResponse::Started, Millis(5));
    }

    let lists = WorkerReport {
        running: vec![running(&sent[0].task, 1)],
        ..WorkerReport::default()
    };
    report(&mut sched, &sent[0].worker, 1, Millis(100), lists);
    let again = starts(&settle(&mut sched, 2, Millis(110)));

    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].task, again[0].run), (&sent[1].task, 2));
}

/// Guards against jobs that are shown as failed before their attempts are used up, and after.
#[test]
fn a_job_fails_with_its_last_attempt() {
    let mut sched = leader(Millis(0));
    for at in 1..=3 {
        join(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
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
        let start = starts(&settle(&mut sched, attempt, now)).remove(0);
        answer(&mut sched, &start, StartResponse::Started, now);
        let end = ended(1, &start.task, start.run, RunOutcome::Failed);
        let lists = WorkerReport {
            ended: vec![end],
            ..WorkerReport::default()
        };
        report(&mut sched, &start.worker, 1, now + Millis(500), lists);
        while let Some(batch) = sched.next_batch() {
            sched.on_commit(&batch, 10 + attempt, now + Millis(510));
        }
        views.push(sched.view(&id("a")));
    }

    assert_eq!(views, [Some(JobView::Running), Some(JobView::Failed)]);
}

/// Guards against a lasting task that waits behind a long queue although it fits somewhere.
#[test]
fn lasting_tasks_do_not_wait_behind_a_long_queue() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    for at in 0..100 {
        let wide = job("urgent", vec![step(1, 9000, 1000)]);
        submit(&mut sched, &format!("j{at}"), wide, Millis(0));
    }
    let mut lasting = step(1, 1000, 1000);
    lasting.long_running = true;
    submit(&mut sched, "last", job("urgent", vec![lasting]), Millis(0));

    let started = starts(&settle(&mut sched, 1, Millis(60_000)));

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, id("last"));
}

/// Guards against an end that its worker forgets while the phase of its job is not durable: a
/// successor would start the task again.
#[test]
fn an_end_waits_for_the_phase_of_its_job() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(2, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));
    let sent = starts(&settle(&mut sched, 1, Millis(0)));
    for start in &sent {
        answer(&mut sched, start, StartResponse::Started, Millis(5));
    }
    sched.cancel(&id("a"), Millis(10), Timestamp(10));

    let lists = WorkerReport {
        ended: vec![ended(1, &sent[0].task, 1, RunOutcome::Done)],
        running: vec![running(&sent[1].task, 1)],
        ..WorkerReport::default()
    };
    report(&mut sched, &sent[0].worker, 1, Millis(20), lists);
    let waits = sched.unacknowledged_pause(&sent[0].worker).is_some();
    settle(&mut sched, 2, Millis(30));

    assert!(waits, "the cancellation is not durable yet");
    assert!(sched.unacknowledged_pause(&sent[0].worker).is_none());
}

/// Guards against a job that is forgotten while its key stays in the store: read again, it would
/// be taken for a new one and run twice.
#[test]
fn an_ended_job_is_known_until_its_keys_are_removed() {
    let mut sched = leader(Millis(0));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec.clone(), Millis(0));
    sched.cancel(&id("a"), Millis(10), Timestamp(10));
    let late = Millis(500_000);

    let undurable = sched.expired_jobs(Timestamp(late.0), 10);
    settle(&mut sched, 1, Millis(20));
    let early = sched.expired_jobs(Timestamp(1000), 10);
    sched.tick(late);
    submit(&mut sched, "a", spec, late);
    let known = sched.view(&id("a"));
    let outdated = sched.expired_jobs(Timestamp(late.0), 10);
    sched.remove_jobs(&outdated);

    assert!(undurable.is_empty() && early.is_empty());
    assert_eq!(known, Some(JobView::Cancelled));
    assert_eq!(outdated, [id("a")]);
    assert_eq!(sched.view(&id("a")), None);
}

/// Guards against urgent tasks that wait for one another while only one worker at a time is
/// vacated for them.
#[test]
fn each_urgent_task_has_a_worker_vacated() {
    let mut sched = leader(Millis(0));
    for at in 1..=3 {
        join(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    submit(
        &mut sched,
        "plan",
        job("patient", vec![step(3, 8000, 1000)]),
        Millis(0),
    );
    for start in starts(&settle(&mut sched, 1, Millis(0))) {
        answer(&mut sched, &start, StartResponse::Started, Millis(5));
    }

    submit(
        &mut sched,
        "check",
        job("urgent", vec![step(3, 8000, 1000)]),
        Millis(10),
    );
    let first = stops(&settle(&mut sched, 2, Millis(10)));
    sched.tick(Millis(20));
    let again = stops(&settle(&mut sched, 3, Millis(20)));

    assert_eq!(first.len(), 3);
    assert!(
        again.is_empty(),
        "room that is being made is not made twice"
    );
}

/// Guards against a round that gives up on small tasks because a larger one found no worker.
#[test]
fn a_task_that_fits_starts_behind_larger_ones_that_wait() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    for (name, cpu) in [("a", 7000), ("b", 7000), ("c", 6000), ("d", 1000)] {
        submit(
            &mut sched,
            name,
            job("urgent", vec![step(1, cpu, 1000)]),
            Millis(0),
        );
    }

    let sent = starts(&settle(&mut sched, 1, Millis(0)));

    let jobs: Vec<String> = sent
        .iter()
        .map(|start| start.task.job.to_string())
        .collect();
    assert!(jobs.contains(&"d".to_string()), "{jobs:?}");
    assert_eq!(sent.len(), 2);
}

/// Guards against a start that is sent, or sent again, to a worker that has begun to drain since
/// the start was planned.
#[test]
fn a_draining_worker_gets_no_start_that_was_planned_before() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let one = || job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "sent", one(), Millis(0));
    let first = starts(&settle(&mut sched, 1, Millis(0)));
    answer(&mut sched, &first[0], StartResponse::Unknown, Millis(500));
    report(
        &mut sched,
        &first[0].worker,
        1,
        Millis(600),
        WorkerReport::default(),
    );
    submit(&mut sched, "planned", one(), Millis(600));
    sched.plan(Millis(600));
    let batch = sched.next_batch().expect("a record waits");

    let mut draining = entry(1, 1, 8000, 8000);
    draining.draining = true;
    sched.set_entry(draining, Millis(700));
    sched.on_commit(&batch, 2, Millis(800));
    sched.tick(Millis(1000));
    let orders = settle(&mut sched, 3, Millis(1000));

    assert!(starts(&orders).is_empty(), "{orders:?}");
    assert_eq!(stops(&orders).len(), 1, "the unanswered start is stopped");
}

/// Guards against a task that runs twice because the next life of its worker has carried out the
/// start, and the answer came before the leader knew of that life (soak seed 308).
#[test]
fn a_start_that_the_next_life_may_have_carried_out_is_stopped_there() {
    let mut sched = leader(Millis(0));
    join(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    join(&mut sched, entry(2, 1, 1000, 1000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let start = starts(&settle(&mut sched, 1, Millis(0))).remove(0);
    answer(&mut sched, &start, StartResponse::Started, Millis(5));

    let at = if start.worker == worker_id(1) { 1 } else { 2 };
    sched.set_entry(entry(at, 2, 8000, 8000), Millis(10));
    let orders = settle(&mut sched, 2, Millis(10));
    let stop = stops(&orders);
    let early = starts(&orders);
    for stop in &stop {
        sched.on_stop_response(&stop.worker, &stop.task, stop.run, true, Millis(15));
    }
    report(
        &mut sched,
        &start.worker,
        2,
        Millis(20),
        WorkerReport::default(),
    );
    let later = starts(&settle(&mut sched, 3, Millis(30)));

    assert!(early.is_empty(), "{early:?}");
    assert_eq!(stop.len(), 1);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].run, start.run + 1);
}
