//! Tests for workers that start again under their id before the leader knows.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobView, PollPlan, QueueTable, RunCompletion, RunOutcome, RunStatus, Scheduler,
    StartAnswer, StartCommand, StartResponse, WorkerReport,
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

/// Returns a leader with two runs on worker 1, the end of one of which is durable at 500 ms and not
/// acknowledged, and a report that lists the other.
fn with_durable_end() -> (Scheduler, WorkerReport) {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let spec = job("urgent", vec![step(2, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(0));
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    for start in &sent {
        respond(&mut sched, start, StartResponse::Started, Millis(5));
    }
    let listing = WorkerReport {
        running: vec![RunStatus {
            task: sent[1].task.clone(),
            run: 1,
            checkpoint: String::new(),
            percent: 0,
            gauge: 0,
        }],
        ..WorkerReport::default()
    };
    let report = WorkerReport {
        ended: vec![RunCompletion {
            sequence: 1,
            task: sent[0].task.clone(),
            run: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        }],
        ..listing.clone()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(500), report);
    plan_and_commit(&mut sched, 2, Millis(500));
    (sched, listing)
}

/// Submits a job of one task and returns its start.
fn start_another(sched: &mut Scheduler, now: Millis) -> StartCommand {
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(sched, "b", spec, now);
    starts(&plan_and_commit(sched, 3, now)).remove(0)
}

/// Guards against a task that starts again after its end was acknowledged: the first poll of a new
/// incarnation acknowledges completions of the former one, and the worker drops its own, of which
/// the leader does not know (soak seed 24).
#[test]
fn a_poll_after_a_silence_acknowledges_nothing() {
    let (mut sched, listing) = with_durable_end();

    let before = last_acknowledged(&mut sched, Millis(600));
    sched.on_poll_failure(&worker_id(1), 1, "silent");
    let silent = last_acknowledged(&mut sched, Millis(1500));
    deliver_report(&mut sched, &worker_id(1), 1, Millis(1600), listing);
    let after = last_acknowledged(&mut sched, Millis(1700));

    assert_eq!((before, silent, after), (1, 0, 1));
}

/// Guards against a task that starts again after its end was acknowledged: polls repeat an
/// acknowledgement that the worker has had, and the next incarnation of the worker drops its own
/// completions, which nobody has read.
#[test]
fn an_acknowledgement_is_sent_once() {
    let (mut sched, listing) = with_durable_end();

    let first = last_acknowledged(&mut sched, Millis(600));
    deliver_report(&mut sched, &worker_id(1), 1, Millis(610), listing);
    let second = last_acknowledged(&mut sched, Millis(700));

    assert_eq!((first, second), (1, 0));
}

/// Guards against the same where a start is unanswered: the next incarnation of the worker may have
/// executed it and ended the run by the time the acknowledgement arrives (soak seed 24).
#[test]
fn no_acknowledgement_is_sent_beside_an_unanswered_start() {
    let (mut sched, _) = with_durable_end();

    let start = start_another(&mut sched, Millis(550));
    let beside = sched.poll_plan(&worker_id(1), Millis(600));
    let late = last_acknowledged(&mut sched, Millis(1000));
    respond(&mut sched, &start, StartResponse::Started, Millis(1010));
    let after = last_acknowledged(&mut sched, Millis(1020));

    assert!(matches!(beside, PollPlan::Pause(_)), "{beside:?}");
    assert_eq!((late, after), (0, 1));
}

/// Guards against a run that counts as one of the incarnation that the leader knows although the
/// next has executed its start: acknowledgements for the former would then cover its end.
#[test]
fn a_start_answered_with_a_clock_that_began_anew_is_in_doubt() {
    let (mut sched, _) = with_durable_end();
    let start = start_another(&mut sched, Millis(600));
    let answer = |clock: u64| StartAnswer {
        response: StartResponse::Started,
        clock: Some(Millis(clock)),
    };

    let same = answer(598).for_command(&start);
    let other = answer(60).for_command(&start);
    respond(&mut sched, &start, other, Millis(605));
    let acknowledged = last_acknowledged(&mut sched, Millis(610));

    assert_eq!(
        (same, other),
        (StartResponse::Started, StartResponse::Unknown)
    );
    assert_eq!(acknowledged, 0);
}

/// Time at which the leader of these tests has long forgotten its takeover.
const LATE: u64 = 60_000;

/// Returns a leader with a start on worker 1 that worker 1 may have executed after a restart that
/// the leader has not noticed; worker 2 has room for the task.
fn with_start_across_restart() -> (Scheduler, StartCommand) {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(LATE));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(LATE));
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(LATE))).remove(0);
    respond(
        &mut sched,
        &start,
        StartResponse::Unknown,
        Millis(LATE + 10),
    );
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(LATE + 20));
    sched.set_entry(entry(1, 2, 8000, 8000), Millis(LATE + 50));
    (sched, start)
}

/// Ticks and plans; returns all commands.
fn tick(sched: &mut Scheduler, now: u64) -> Vec<Command> {
    sched.tick(Millis(now));
    plan_and_commit(sched, 2, Millis(now))
}

/// Guards against two runs of a task: the expiry of the takeover, long past, was applied to a worker
/// that had started again, and its run counted as lapsed (review case 1).
#[test]
fn a_run_of_a_restarted_worker_does_not_lapse_with_the_takeover() {
    let (mut sched, _) = with_start_across_restart();

    let mut sent = Vec::new();
    for now in (LATE + 100..LATE + 3000).step_by(100) {
        sched.on_poll_failure(&worker_id(1), 2, "silent");
        let commands = tick(&mut sched, now);
        for stop in stops(&commands) {
            sched.on_stop_response(&stop, false, Millis(now + 50));
        }
        sent.extend(commands);
    }

    assert_eq!(starts(&sent).len(), 0);
    let stops = stops(&sent);
    assert!(stops.len() > 2, "the stop is repeated: {}", stops.len());
}

/// Guards against a task that never returns: a worker that started again and stays silent keeps its
/// runs no longer than the longest lease after the restart was noticed.
#[test]
fn a_run_of_a_restarted_silent_worker_ends_with_the_longest_lease() {
    let (mut sched, _) = with_start_across_restart();

    let mut restarted_at = None;
    for now in (LATE + 100..LATE + 10_000).step_by(100) {
        sched.on_poll_failure(&worker_id(1), 2, "silent");
        if !starts(&tick(&mut sched, now)).is_empty() {
            restarted_at.get_or_insert(now);
        }
        // Keeps worker 2 in use.
        let now = Millis(now);
        deliver_report(&mut sched, &worker_id(2), 1, now, WorkerReport::default());
    }

    let wait = restarted_at.expect("a start") - LATE - 50;
    assert!((6150..8200).contains(&wait), "{wait} ms");
}

/// Guards against two runs of a task: a stop that the process before the restart has acknowledged
/// says nothing about the run that the present one has.
#[test]
fn a_stop_acknowledged_before_the_restart_does_not_release_the_run() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(LATE));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(LATE));
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(LATE))).remove(0);
    respond(
        &mut sched,
        &start,
        StartResponse::Refused,
        Millis(LATE + 10),
    );
    let early = stops(&sched.take_commands()).remove(0);
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(LATE + 20));
    sched.set_entry(entry(1, 2, 8000, 8000), Millis(LATE + 50));

    sched.on_stop_response(&early, true, Millis(LATE + 60));
    let now = Millis(LATE + 100);
    deliver_report(&mut sched, &worker_id(1), 2, now, WorkerReport::default());
    let before = starts(&tick(&mut sched, LATE + 110));
    let repeated = stops(&tick(&mut sched, LATE + 400)).remove(0);
    sched.on_stop_response(&repeated, true, Millis(LATE + 410));
    let now = Millis(LATE + 500);
    deliver_report(&mut sched, &worker_id(1), 2, now, WorkerReport::default());
    let after = starts(&tick(&mut sched, LATE + 510));

    assert_eq!((before.len(), after.len()), (0, 1));
}

/// Guards against a living worker that is given up: an answer of another process at an address that
/// the worker has left says nothing about its present incarnation.
#[test]
fn an_answer_at_the_address_of_the_former_incarnation_ends_no_runs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(LATE));
    register(&mut sched, entry(1, 2, 8000, 8000), Millis(LATE + 50));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec, Millis(LATE + 60));
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(LATE + 60))).remove(0);
    respond(
        &mut sched,
        &start,
        StartResponse::Started,
        Millis(LATE + 70),
    );
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(LATE + 75));

    sched.mark_worker_dead(&worker_id(1), 1, Millis(LATE + 80));
    let commands = tick(&mut sched, LATE + 100);

    assert_eq!(starts(&commands).len(), 0);
}

/// Guards against a cool-down that outlives its cause: a worker that has started again is another
/// process, perhaps of another kind.
#[test]
fn a_cool_down_ends_with_its_incarnation() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(LATE));
    let spec = job("urgent", vec![step(1, 1000, 1000)]);
    submit(&mut sched, "a", spec.clone(), Millis(LATE));
    let start = starts(&plan_and_commit(&mut sched, 1, Millis(LATE))).remove(0);
    respond(
        &mut sched,
        &start,
        StartResponse::Refused,
        Millis(LATE + 10),
    );

    register(&mut sched, entry(1, 2, 8000, 8000), Millis(LATE + 50));
    submit(&mut sched, "b", spec, Millis(LATE + 60));
    let started = starts(&plan_and_commit(&mut sched, 2, Millis(LATE + 60)));

    assert_eq!(started.len(), 1);
}

/// Returns a leader whose configuration names only the service of the tests.
fn leader_of_one_service() -> Scheduler {
    let table = QueueTable {
        services: [SERVICE.to_string()].into(),
        ..(*queues()).clone()
    };
    Scheduler::new(timing(), 7, Arc::new(table), Millis(0))
}

/// Guards against two runs of a task: an entry of another writer, under the id of a worker at work,
/// names a service that the configuration does not and a later start. The runs counted as those of a
/// process that is gone, and the reports of the worker as outdated (review case 2).
#[test]
fn an_entry_of_an_unknown_service_says_nothing_about_its_worker() {
    let mut sched = leader_of_one_service();
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let sent = starts(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    respond(&mut sched, &sent, StartResponse::Started, Millis(5));
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(10));

    let mut foreign = entry(1, 500, 8000, 8000);
    foreign.service = "sorting".to_string();
    let is_usable = sched.set_entry(foreign.clone(), Millis(100));
    let again = starts(&plan_and_commit(&mut sched, 2, Millis(110)));
    let end = RunCompletion {
        sequence: 1,
        task: sent.task.clone(),
        run: sent.run,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let report = WorkerReport {
        ended: vec![end],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(1), 1, Millis(200), report);
    plan_and_commit(&mut sched, 3, Millis(210));

    assert!(!is_usable);
    assert_eq!(again, [], "the worker goes on with its run");
    assert_eq!(sched.view(&id("a")), Some(JobView::Completed));
}

/// Guards against a worker that is not used again after an entry of another writer was replaced by
/// its own, or once the configuration names its service.
#[test]
fn a_worker_is_used_once_its_entry_names_a_known_service() {
    let mut sched = leader_of_one_service();
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let mut foreign = entry(1, 500, 8000, 8000);
    foreign.service = "sorting".to_string();
    let mut other = entry(2, 1, 8000, 8000);
    other.service = "later".to_string();

    sched.set_entry(foreign, Millis(100));
    sched.set_entry(other, Millis(100));
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(110),
    );
    let without_entry = starts(&plan_and_commit(&mut sched, 1, Millis(120)));
    sched.set_entry(entry(1, 1, 8000, 8000), Millis(1100));
    let with_entry = starts(&plan_and_commit(&mut sched, 2, Millis(1110)));
    let mut table = (*queues()).clone();
    table.services = [SERVICE.to_string(), "later".to_string()].into();
    let before = sched.summary().1;
    sched.set_queues(Arc::new(table), Millis(1200));

    assert_eq!(without_entry, []);
    assert_eq!(with_entry.len(), 1);
    assert_eq!((before, sched.summary().1), (1, 2));
}
