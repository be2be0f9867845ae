//! Queues whose policy allows only some workers for a step.

mod scheduler_support;

use std::collections::BTreeMap;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    AdviceRequest, AdviceSettings, Command, QueueTable, Scheduler, StartResponse, Timing,
    WorkerReport,
};
use scheduler_support::*;

const VALID: Millis = Millis(3000);

fn advised_leader(workers: usize) -> Scheduler {
    let mut one = queue("urgent", 0, 2);
    one.advice = Some(AdviceSettings {
        fixed_latency: Millis(20),
        latency_per_worker: Millis(2),
        ticket_validity: VALID,
    });
    let queues = QueueTable {
        version: 1,
        queues: BTreeMap::from([(one.name.clone(), one)]),
        max_body: 1000,
    };
    let timing: Timing = timing();
    let mut sched = Scheduler::new(timing, 7, Arc::new(queues), Millis(0));
    for at in 1..=workers {
        join(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    sched
}

fn asked(orders: &[Command]) -> Vec<AdviceRequest> {
    let calls = orders.iter().filter_map(|order| match order {
        Command::Advise(order) => Some(order.clone()),
        _ => None,
    });
    calls.collect()
}

fn allow(worker: usize) -> Vec<(WorkerId, String)> {
    vec![(worker_id(worker), format!("ticket-{worker}"))]
}

/// Guards against starts without a ticket, on workers that the policy does not allow, and against
/// a call for each round of planning.
#[test]
fn a_step_starts_where_the_policy_allows_it() {
    let mut sched = advised_leader(3);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(2, 1000, 1000)]),
        Millis(0),
    );

    let first = settle(&mut sched, 1, Millis(0));
    sched.tick(Millis(10));
    let again = settle(&mut sched, 2, Millis(10));
    let call = asked(&first).remove(0);
    sched.on_advice(&call, Some(&allow(2)), Millis(30));
    let sent = starts(&settle(&mut sched, 3, Millis(30)));

    assert!(starts(&first).is_empty() && starts(&again).is_empty());
    assert_eq!(call.workers.len(), 3);
    assert_eq!(call.expected, Millis(26));
    assert!(asked(&again).is_empty(), "one call at a time");
    assert_eq!(sent.len(), 2);
    for start in &sent {
        assert_eq!(start.worker, worker_id(2));
        assert_eq!(start.ticket, "ticket-2");
    }
}

/// Guards against tickets that are used after their time, and workers that are asked for again
/// although the policy does not allow them.
#[test]
fn an_outdated_ticket_is_asked_for_again() {
    let mut sched = advised_leader(2);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let call = asked(&settle(&mut sched, 1, Millis(0))).remove(0);
    sched.on_advice(&call, Some(&allow(2)), Millis(30));
    let late = Millis(30) + VALID;
    report(&mut sched, &worker_id(2), 1, late, WorkerReport::default());

    let orders = settle(&mut sched, 2, late);

    assert!(starts(&orders).is_empty());
    assert_eq!(asked(&orders)[0].workers, [worker_id(2)]);
}

/// Guards against a worker that is taken for failing, or a task that waits for ever, because a
/// ticket was rejected or the service did not answer.
#[test]
fn a_rejected_ticket_and_a_silent_service_are_asked_again() {
    let mut sched = advised_leader(1);
    submit(
        &mut sched,
        "a",
        job("urgent", vec![step(1, 1000, 1000)]),
        Millis(0),
    );
    let call = asked(&settle(&mut sched, 1, Millis(0))).remove(0);
    sched.on_advice(&call, None, Millis(100));
    sched.tick(Millis(500));
    let call = asked(&settle(&mut sched, 2, Millis(500))).remove(0);
    sched.on_advice(&call, Some(&allow(1)), Millis(530));
    let start = starts(&settle(&mut sched, 3, Millis(530))).remove(0);

    answer(&mut sched, &start, StartResponse::NoTicket, Millis(540));
    sched.on_stop_response(&start.worker, &start.task, start.run, true, Millis(550));
    let now = Millis(560);
    report(&mut sched, &start.worker, 1, now, WorkerReport::default());
    let orders = settle(&mut sched, 4, Millis(600));

    assert_eq!(asked(&orders)[0].workers, [worker_id(1)]);
}
