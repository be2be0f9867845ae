//! Cost of planning: how often the leader searches the fleet.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{PollPlan, Repeat, Scheduler, StartResponse, WorkerReport};
use scheduler_support::*;

const WORKERS: usize = 40;
const TASKS: u32 = 20;

/// A fleet of which each worker has room for four tasks of `job_of`.
fn fleet() -> Scheduler {
    let mut sched = leader(Millis(0));
    for at in 0..WORKERS {
        register(&mut sched, entry(at, 1, 4000, 4000), Millis(0));
    }
    sched
}

fn submit_jobs(sched: &mut Scheduler, count: usize, best_effort: bool) {
    for at in 0..count {
        let mut tasks = step(TASKS, 1000, 1000);
        tasks.best_effort = best_effort;
        submit(
            sched,
            &format!("j{at:03}"),
            job("urgent", vec![tasks]),
            Millis(0),
        );
    }
}

/// Guards against a search of the whole fleet for each task: on a large fleet the leader spends a
/// quarter of its processor time on planning, and every start waits (SHORT).
#[test]
fn equal_tasks_of_a_step_share_one_search_of_the_fleet() {
    for best_effort in [false, true] {
        let mut sched = fleet();
        submit_jobs(&mut sched, 4, best_effort);

        let started = starts(&plan_and_commit(&mut sched, 1, Millis(10)));

        assert_eq!(started.len(), 4 * TASKS as usize);
        let searches = sched.plan_counts().searches;
        assert!(searches <= 4, "{searches} searches for 4 steps");
    }
}

/// Guards against a search of all runs of the fleet for each urgent task that waits for room.
#[test]
fn equal_tasks_of_a_step_share_one_search_for_preemption() {
    let mut sched = fleet();
    let running = step(4 * WORKERS as u32, 1000, 1000);
    submit(&mut sched, "plan", job("patient", vec![running]), Millis(0));
    for start in starts(&plan_and_commit(&mut sched, 1, Millis(10))) {
        respond(&mut sched, &start, StartResponse::Started, Millis(15));
    }
    let before = sched.plan_counts().searches;
    let check = job("urgent", vec![step(6, 1000, 1000)]);
    submit(&mut sched, "check", check, Millis(20));

    let stopped = stops(&plan_and_commit(&mut sched, 2, Millis(20)));

    assert_eq!(stopped.len(), 6);
    let searches = sched.plan_counts().searches - before;
    assert_eq!(searches, 2, "one for room and one for runs to stop");
}

/// Guards against an occurrence that does not start when it becomes due, because nothing else of its
/// job has changed since the leader looked at its tasks.
#[test]
fn an_occurrence_starts_when_it_is_due_without_another_change() {
    let mut sched = fleet();
    let mut timed = job("urgent", vec![step(1, 1000, 1000)]);
    timed.repeat = Some(Repeat {
        count: 2,
        first: Timestamp(1000),
        interval: Millis(500),
    });
    submit(&mut sched, "timed", timed, Millis(0));

    let started_at = |sched: &mut Scheduler, now| {
        sched.tick(Millis(now));
        starts(&plan_and_commit(sched, now, Millis(now))).len()
    };

    let started = [900, 990, 1000, 1400, 1500].map(|now| started_at(&mut sched, now));
    assert_eq!(started, [0, 0, 1, 0, 1]);
}

/// Returns the pause after the report of a worker with a run.
fn pause_after_report(sched: &mut Scheduler, now: Millis) -> Millis {
    deliver_report(sched, &worker_id(1), 1, now, WorkerReport::default());
    match sched.poll_plan(&worker_id(1), now) {
        PollPlan::Pause(pause) => pause,
        other => panic!("polls at once: {other:?}"),
    }
}

/// Guards against a leader that is short of processor time and goes on polling as often as before,
/// so that starts wait behind polls; and against polls that stay rare afterwards.
#[test]
fn polls_are_rarer_while_timers_of_the_leader_are_late() {
    let mut sched = fleet();
    let calm = pause_after_report(&mut sched, Millis(10));

    (0..100).for_each(|_| sched.record_timer_delay(Millis(50)));
    let busy = pause_after_report(&mut sched, Millis(500));
    (0..1000).for_each(|_| sched.record_timer_delay(Millis(1)));
    let later = pause_after_report(&mut sched, Millis(1000));

    assert!(busy >= calm + Millis(200), "{calm} then {busy} ms");
    // Ends must not wait for long, however busy the leader is.
    assert!(busy <= Millis(500), "{busy} ms");
    assert_eq!(later, calm);
}
