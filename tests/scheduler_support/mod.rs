//! Fixtures for tests of the scheduler: jobs, workers and one leader without I/O.
#![allow(dead_code)]

pub mod sim;

use std::collections::BTreeMap;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobRecord, JobSpec, Queue, QueueTable, Scheduler, StartCommand, StartResponse,
    StepSpec, StopCommand, Timing, WorkerEntry, WorkerReport,
};

pub const RUN_LEASE: Millis = Millis(5800);
pub const LONGEST_LEASE: Millis = Millis(6000);
/// Time after the last renewal of its key beyond which a leader grants no lease.
pub const LEASE_HORIZON: Millis = Millis(8100);
pub const FORMER_LEASES: Millis = Millis(8303);
/// Time after a takeover by which the leases of a former leader that nobody can ask have expired.
pub const TAKEOVER_EXPIRY: Millis = Millis(11_700);
pub const SERVICE: &str = "service";

pub fn timing() -> Timing {
    Timing {
        run_lease: RUN_LEASE,
        longest_lease: LONGEST_LEASE,
        former_leases: FORMER_LEASES,
        ended_retention: Millis(140_000),
        violation_after: Millis(4000),
    }
}

pub fn queue(name: &str, priority: u32, max_attempts: u32) -> Queue {
    Queue {
        name: name.to_string(),
        host: "host".to_string(),
        prefix: format!("/{name}/"),
        service: SERVICE.to_string(),
        priority,
        max_attempts,
        stretch_permille: 2000,
        target_latency: Millis(1000),
        advice: None,
    }
}

pub fn queues() -> Arc<QueueTable> {
    let all = [queue("urgent", 0, 2), queue("patient", 2, 4)];
    Arc::new(QueueTable {
        version: 1,
        queues: all
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect::<BTreeMap<_, _>>(),
        max_body: 262_144,
        ..QueueTable::default()
    })
}

pub fn id(text: &str) -> JobId {
    text.parse().expect("valid id")
}

pub fn worker_id(at: usize) -> WorkerId {
    format!("w{at}").parse().expect("valid id")
}

pub fn step(tasks: u32, cpu: u64, memory: u64) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources::new(cpu, memory, 0),
        estimate: Millis(1000),
        ..StepSpec::default()
    }
}

pub fn job(queue: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: queue.to_string(),
        payload: "payload".to_string(),
        steps,
        ..JobSpec::default()
    }
}

pub fn entry(at: usize, incarnation: u64, cpu: u64, memory: u64) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(at),
        incarnation,
        service: SERVICE.to_string(),
        address: format!("127.0.0.1:{}", 9000 + at),
        capacity: Resources::new(cpu, memory, 0),
        labels: vec!["a".to_string(), "r1".to_string()],
        draining: false,
    }
}

pub fn leader(now: Millis) -> Scheduler {
    Scheduler::new(timing(), 7, queues(), now)
}

/// Registers a worker, which answers under the leader's fencing token with an empty report.
pub fn register(sched: &mut Scheduler, entry: WorkerEntry, now: Millis) {
    let (id, incarnation) = (entry.id.clone(), entry.incarnation);
    sched.set_entry(entry, now);
    deliver_report(sched, &id, incarnation, now, WorkerReport::default());
}

/// Delivers a report that the leader requested at `now`.
pub fn deliver_report(
    sched: &mut Scheduler,
    id: &WorkerId,
    incarnation: u64,
    now: Millis,
    report: WorkerReport,
) {
    let report = WorkerReport {
        incarnation,
        clock: now,
        ..report
    };
    sched.on_report(id, now, now, Timestamp(now.0), &report);
}

pub fn submit(sched: &mut Scheduler, name: &str, spec: JobSpec, now: Millis) {
    sched.add_job(id(name), spec, None, now, Timestamp(now.0));
}

/// Plans and commits all records; returns the commands of the leader.
pub fn plan_and_commit(sched: &mut Scheduler, revision: u64, now: Millis) -> Vec<Command> {
    sched.plan(now);
    while let Some(batch) = sched.next_batch(1) {
        sched.on_commit(&batch, revision, now);
    }
    sched.take_commands()
}

pub fn starts(commands: &[Command]) -> Vec<StartCommand> {
    commands
        .iter()
        .filter_map(|command| match command {
            Command::Start(start) => Some(start.clone()),
            _ => None,
        })
        .collect()
}

pub fn stops(commands: &[Command]) -> Vec<StopCommand> {
    commands
        .iter()
        .filter_map(|command| match command {
            Command::Stop(stop) => Some(stop.clone()),
            _ => None,
        })
        .collect()
}

pub fn respond(sched: &mut Scheduler, start: &StartCommand, response: StartResponse, now: Millis) {
    sched.on_start_response(start, response, now);
}

pub fn decode_record(value: &[u8]) -> JobRecord {
    rmp_serde::from_slice(value).expect("record decodes")
}
