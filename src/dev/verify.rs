//! Compares what callers and workers recorded with the promises.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Answer, DevWorker, Promise, Reported};
use crate::prelude::*;
use crate::schema::worker::TaskPhase;
use crate::standin::WorkerEvent;

/// Slots of an endpoint, over all entry processes.
const SLOTS: usize = 8;

/// Connections of an endpoint, over all entry processes.
const CONNECTIONS: usize = 64;

/// Longest time for which a leaving endpoint may still get new work.
pub const LEAVING_LIMIT: Millis = Millis(3000);

/// Checks what callers were told against what the endpoints ran.
pub fn verify_requests(answers: &[Answer], workers: &[DevWorker]) -> Vec<Promise> {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for worker in workers {
        for (id, _) in worker.endpoint.log().runs {
            *runs.entry(id).or_default() += 1;
        }
    }
    let count = |id: &str| runs.get(id).copied().unwrap_or_default();
    let mut whole = Promise::new("P4 whole answers to their own requests");
    let mut not_run = Promise::new("P5 \"not run\" is true");
    let mut once = Promise::new("P6 non-idempotent requests run at most once");
    for answer in answers {
        let id = &answer.ask.id;
        match answer.reported {
            Reported::Whole => whole.check(true, String::new),
            Reported::Wrong => whole.check(false, || format!("request {id} got a wrong answer")),
            Reported::NotRun => {
                not_run.check(count(id) == 0, || {
                    format!("request {id} ran {} times", count(id))
                });
            }
            Reported::Unknown | Reported::Lost => {}
        }
        if answer.ask.key.is_some() {
            once.check(count(id) <= 1, || {
                format!("request {id} ran {} times", count(id))
            });
        }
    }
    vec![whole, not_run, once]
}

/// Checks the limits of every endpoint.
pub fn verify_limits(workers: &[DevWorker]) -> Promise {
    let mut limits = Promise::new("endpoint limits: 8 in progress, 64 connections");
    for worker in workers {
        let log = worker.endpoint.log();
        let kept = log.max_in_progress <= SLOTS && log.max_connections <= CONNECTIONS;
        limits.check(kept, || {
            format!(
                "{} had {} requests in progress and {} connections",
                worker.vm, log.max_in_progress, log.max_connections
            )
        });
    }
    limits
}

/// Checks that an endpoint ran nothing that started too long after it began to leave.
pub fn verify_leaving(worker: &DevWorker, since: Millis) -> Promise {
    let mut leaving = Promise::new("P7 leaving endpoints get no new work after 3 s");
    let limit = since + LEAVING_LIMIT;
    let late = worker
        .endpoint
        .log()
        .runs
        .into_iter()
        .find(|(_, at)| *at > limit);
    leaving.check(late.is_none(), || {
        let (id, at) = late.unwrap_or_default();
        format!(
            "{} started request {id} {} ms after it began to leave",
            worker.vm,
            at - since
        )
    });
    leaving
}

/// Checks what the workers ran: capacity, one place at a time, resumption from checkpoints.
pub fn verify_tasks(workers: &[DevWorker]) -> Vec<Promise> {
    let mut capacity = Promise::new("P1 no worker is promised more than it has");
    let mut events: Vec<(VmId, WorkerEvent)> = Vec::new();
    for worker in workers {
        let overcommits = worker.agent.inspect(|state| state.overcommits());
        capacity.check(overcommits == 0, || {
            format!(
                "{} refused {overcommits} starts for lack of capacity",
                worker.vm
            )
        });
        let seen = worker.agent.inspect(|state| state.events().to_vec());
        events.extend(seen.into_iter().map(|event| (worker.vm.clone(), event)));
    }
    // Ends sort before starts of the same millisecond, because a new start needs a confirmed end.
    events.sort_by_key(|(_, event)| (event.at, event.phase == TaskPhase::Running));
    let (one_place, resumed) = verify_events(&events);
    vec![capacity, one_place, resumed]
}

fn verify_events(events: &[(VmId, WorkerEvent)]) -> (Promise, Promise) {
    let mut one_place = Promise::new("P2 no task runs in two places at once");
    let mut resumed = Promise::new("P3 evicted work resumes exactly once");
    let mut running: BTreeMap<&TaskId, (&VmId, Attempt)> = BTreeMap::new();
    let mut saved: BTreeMap<&TaskId, &CheckpointId> = BTreeMap::new();
    let mut used: BTreeSet<&CheckpointId> = BTreeSet::new();
    for (vm, event) in events {
        if event.phase != TaskPhase::Running {
            if running
                .get(&event.task)
                .is_some_and(|(_, attempt)| *attempt == event.attempt)
            {
                running.remove(&event.task);
            }
            if let Some(checkpoint) = &event.checkpoint {
                saved.insert(&event.task, checkpoint);
            }
            continue;
        }
        let other = running.insert(&event.task, (vm, event.attempt));
        one_place.check(other.is_none(), || {
            let place = other
                .map(|(place, _)| place.to_string())
                .unwrap_or_default();
            format!("{} started on {vm} while it ran on {place}", event.task)
        });
        if let Some(expected) = saved.get(&event.task) {
            let from = event.checkpoint.as_ref();
            let first = from.is_some_and(|checkpoint| used.insert(checkpoint));
            resumed.check(from == Some(*expected) && first, || {
                format!(
                    "{} resumed from {from:?}, last saved was {expected}",
                    event.task
                )
            });
        }
    }
    (one_place, resumed)
}
