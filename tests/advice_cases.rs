//! Tests for queues whose policy allows only some workers for a step.

mod scheduler_support;

use std::collections::BTreeMap;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    AdviceRequest, AdviceSettings, Command, QueueTable, Scheduler, StartResponse, Timing,
    WorkerReport,
};
use scheduler_support::*;

const TICKET_VALIDITY: Millis = Millis(3000);

fn leader_with_advice(workers: usize) -> Scheduler {
    let mut one = queue("urgent", 0, 2);
    one.advice = Some(AdviceSettings {
        fixed_latency: Millis(20),
        latency_per_worker: Millis(2),
        ticket_validity: TICKET_VALIDITY,
    });
    let queues = QueueTable {
        version: 1,
        queues: BTreeMap::from([(one.name.clone(), one)]),
        max_body: 1000,
        ..QueueTable::default()
    };
    let timing: Timing = timing();
    let mut sched = Scheduler::new(timing, 7, Arc::new(queues), Millis(0));
    for at in 1..=workers {
        register(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    sched
}

fn advice_requests(commands: &[Command]) -> Vec<AdviceRequest> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::Advise(command) => Some(command.clone()),
        _ => None,
    });
    calls.collect()
}

fn allow(worker: usize) -> Vec<(WorkerId, String)> {
    vec![(worker_id(worker), format!("ticket-{worker}"))]
}

/// Guards against starts without a ticket or on workers that the policy does not allow, and against
/// a call in every round of planning.
#[test]
fn a_step_starts_only_on_allowed_workers() {
    let mut sched = leader_with_advice(3);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(2, 1000, 1000)]),
        Millis(0),
    );

    let first = plan_and_commit(&mut sched, 1, Millis(0));
    sched.tick(Millis(10));
    let again = plan_and_commit(&mut sched, 2, Millis(10));
    let call = advice_requests(&first).remove(0);
    sched.on_advice(&call, Some(&allow(2)), Millis(30));
    let sent = starts(&plan_and_commit(&mut sched, 3, Millis(30)));

    assert!(starts(&first).is_empty() && starts(&again).is_empty());
    assert_eq!(call.workers.len(), 3);
    assert_eq!(call.expected, Millis(26));
    assert!(advice_requests(&again).is_empty(), "one call at a time");
    assert_eq!(sent.len(), 2);
    for start in &sent {
        assert_eq!(start.worker, worker_id(2));
        assert_eq!(start.ticket, "ticket-2");
    }
}

/// Guards against the use of expired tickets, and against new requests for workers that the policy
/// has refused.
#[test]
fn an_expired_ticket_is_requested_again() {
    let mut sched = leader_with_advice(2);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let call = advice_requests(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    sched.on_advice(&call, Some(&allow(2)), Millis(30));
    let late = Millis(30) + TICKET_VALIDITY;
    deliver_report(&mut sched, &worker_id(2), 1, late, WorkerReport::default());

    let commands = plan_and_commit(&mut sched, 2, late);

    assert!(starts(&commands).is_empty());
    assert_eq!(advice_requests(&commands)[0].workers, [worker_id(2)]);
}

/// Guards against a worker that counts as failing, or a task that waits for ever, after a ticket
/// was rejected or the advice service did not answer.
#[test]
fn advice_is_requested_again_after_a_rejection_or_failure() {
    let mut sched = leader_with_advice(1);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let call = advice_requests(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);
    sched.on_advice(&call, None, Millis(100));
    sched.tick(Millis(500));
    let call = advice_requests(&plan_and_commit(&mut sched, 2, Millis(500))).remove(0);
    sched.on_advice(&call, Some(&allow(1)), Millis(530));
    let start = starts(&plan_and_commit(&mut sched, 3, Millis(530))).remove(0);

    respond(&mut sched, &start, StartResponse::NoTicket, Millis(540));
    let stop = stops(&sched.take_commands()).remove(0);
    sched.on_stop_response(&stop, true, Millis(550));
    let now = Millis(560);
    deliver_report(&mut sched, &start.worker, 1, now, WorkerReport::default());
    let commands = plan_and_commit(&mut sched, 4, Millis(600));

    assert_eq!(advice_requests(&commands)[0].workers, [worker_id(1)]);
}

/// Guards against calls that name the same workers each time, of which the step may use none: by the
/// time that the worker with its label is named, the tickets of the first ones have expired.
#[test]
fn advice_is_asked_on_workers_with_the_label_of_the_step() {
    let mut sched = leader_with_advice(100);
    let mut labelled = entry(99, 1, 8000, 8000);
    labelled.labels = vec!["special".to_string(), "r1".to_string()];
    sched.set_entry(labelled, Millis(0));
    let mut special = step(1, 1000, 1000);
    special.requires = Some("special".to_string());
    submit(&mut sched, "a", job("urgent", vec![special]), Millis(0));

    let call = advice_requests(&plan_and_commit(&mut sched, 1, Millis(0))).remove(0);

    assert_eq!(call.workers, [worker_id(99)]);
}
