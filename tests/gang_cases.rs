//! Gangs that save checkpoints and start again.

mod scheduler_support;

use std::collections::BTreeSet;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    JobRecord, JobSpec, RunStatus, Scheduler, StartCommand, StartResponse, StepSpec, WorkerReport,
};
use scheduler_support::*;

fn gang_job() -> JobSpec {
    let gang = StepSpec {
        gang: true,
        checkpoints: true,
        ..step(4, 1000, 1000)
    };
    job("urgent", vec![gang])
}

/// Starts a gang on a worker, which lists a checkpoint of its own for each member.
fn with_checkpoints(sched: &mut Scheduler) -> Vec<StartCommand> {
    register(sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(sched, "a", gang_job(), Millis(0));
    let sent = starts(&plan_and_commit(sched, 1, Millis(0)));
    for start in &sent {
        respond(sched, start, StartResponse::Started, Millis(5));
    }
    let running = sent.iter().map(|start| RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: format!("saved-by-{}", start.task.index),
        percent: 40,
        gauge: 0,
    });
    let report = WorkerReport {
        running: running.collect(),
        ..WorkerReport::default()
    };
    deliver_report(sched, &worker_id(1), 1, Millis(500), report);
    sent
}

fn checkpoints(starts: &[StartCommand]) -> BTreeSet<String> {
    let all = starts.iter();
    all.map(|start| start.checkpoint.clone()).collect()
}

/// Guards against a gang whose members end alone: their worker is lost, and each member starts again
/// with its own checkpoint, although all have to carry the same one (review case 9).
#[test]
fn a_gang_of_a_lost_worker_resumes_from_one_checkpoint() {
    let mut sched = leader(Millis(0));
    let sent = with_checkpoints(&mut sched);

    register(&mut sched, entry(2, 1, 8000, 8000), Millis(600));
    sched.mark_worker_dead(&worker_id(1), 1, Millis(600));
    let again = starts(&plan_and_commit(&mut sched, 2, Millis(700)));

    assert_eq!((sent.len(), again.len()), (4, 4));
    let resumed_from = checkpoints(&again);
    assert_eq!(resumed_from.len(), 1, "{resumed_from:?}");
    assert!(!resumed_from.contains(""), "the work of the gang is lost");
}

/// Guards against the same after a change of the leader, also if the former one was of a build that
/// kept a checkpoint for each member.
#[test]
fn a_successor_resumes_a_gang_from_one_checkpoint() {
    let mut sched = leader(Millis(0));
    with_checkpoints(&mut sched);
    sched.mark_worker_dead(&worker_id(1), 1, Millis(600));
    let batch = sched.next_batch(1).expect("a record");
    let record = decode_record(&batch.writes[0].value);
    let mut of_each_member: JobRecord = record.clone();
    for (index, task) in of_each_member.tasks.iter_mut().enumerate() {
        task.checkpoint = match index {
            0 => String::new(),
            _ => format!("saved-by-{index}"),
        };
    }

    for record in [record, of_each_member] {
        let mut successor = leader(Millis(1000));
        register(&mut successor, entry(2, 1, 8000, 8000), Millis(1000));
        let (now, wall) = (Millis(1000), Timestamp(1000));
        successor.add_job(id("a"), gang_job(), Some((record, 2)), now, wall);
        let again = starts(&plan_and_commit(&mut successor, 3, Millis(1100)));

        assert_eq!(again.len(), 4);
        let resumed_from = checkpoints(&again);
        assert_eq!(resumed_from.len(), 1, "{resumed_from:?}");
        assert!(!resumed_from.contains(""), "the work of the gang is lost");
    }
}
