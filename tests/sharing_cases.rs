//! Tests for best-effort tasks that share a worker with serving tasks.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobSpec, RunStatus, Scheduler, StartCommand, StartResponse, StepSpec, WorkerReport,
};
use scheduler_support::*;

fn serving_job(image: &str) -> JobSpec {
    let one = StepSpec {
        long_running: true,
        image: image.to_string(),
        tail_target: Some(Millis(50)),
        ..step(1, 10_000, 1000)
    };
    job("urgent", vec![one])
}

fn best_effort_job(image: &str, tasks: u32) -> JobSpec {
    let one = StepSpec {
        best_effort: true,
        checkpoints: true,
        image: image.to_string(),
        ..step(tasks, 8000, 1000)
    };
    job("patient", vec![one])
}

fn run_status(start: &StartCommand, percent: u32, gauge: u64) -> RunStatus {
    RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: String::new(),
        percent,
        gauge,
    }
}

/// Starts a serving and a best-effort job on one worker; returns both start commands.
fn start_serving_and_best_effort(
    sched: &mut Scheduler,
    image: &str,
) -> (StartCommand, StartCommand) {
    register(sched, entry(1, 1, 64_000, 64_000), Millis(0));
    submit(sched, "serve", serving_job("s"), Millis(0));
    submit(sched, "fill", best_effort_job(image, 1), Millis(0));
    let sent = starts(&plan_and_commit(sched, 1, Millis(0)));
    for start in &sent {
        respond(sched, start, StartResponse::Started, Millis(5));
    }
    let of = |name: &str| {
        let found = sent.iter().find(|start| start.task.job == id(name));
        found.expect("started").clone()
    };
    (of("serve"), of("fill"))
}

/// Guards against a serving task that is over its target for 4 s because of its best-effort
/// neighbours.
#[test]
fn best_effort_tasks_stop_before_a_violation() {
    let mut sched = leader(Millis(0));
    let (serving_start, best_effort_start) = start_serving_and_best_effort(&mut sched, "f");
    let mut halted = None;
    let mut stopped = None;

    for now in (500..5000).step_by(500).map(Millis) {
        let running = vec![
            run_status(&serving_start, 100, 400),
            run_status(&best_effort_start, 20, 8000),
        ];
        let report = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        deliver_report(&mut sched, &serving_start.worker, 1, now, report);
        let commands = plan_and_commit(&mut sched, 2, now);
        let halts = |command: &Command| matches!(command, Command::Pace { percent: 0, .. });
        if commands.iter().any(halts) {
            halted.get_or_insert(now);
        }
        if !stops(&commands).is_empty() {
            stopped.get_or_insert(now);
        }
    }

    assert!(
        halted.is_some_and(|at| at <= Millis(2000)),
        "halted at {halted:?}"
    );
    assert!(
        stopped.is_some_and(|at| at <= Millis(3500)),
        "stopped at {stopped:?}"
    );
}

/// Guards against a model that admits more of a noisy image, or that rejects calm images as well.
#[test]
fn only_noisy_images_are_rejected() {
    let mut sched = leader(Millis(0));
    let (serving_start, best_effort_start) = start_serving_and_best_effort(&mut sched, "noisy");
    for now in (500..10_000).step_by(500).map(Millis) {
        // Short peaks train the model; they are not long enough to stop the run.
        let (tail, used) = if now.0 % 1000 == 0 {
            (45, 8000)
        } else {
            (12, 0)
        };
        let running = vec![
            run_status(&serving_start, 100, tail),
            run_status(&best_effort_start, 50, used),
        ];
        let report = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        deliver_report(&mut sched, &serving_start.worker, 1, now, report);
        plan_and_commit(&mut sched, 2, now);
    }

    submit(
        &mut sched,
        "more",
        best_effort_job("noisy", 4),
        Millis(10_000),
    );
    let noisy = starts(&plan_and_commit(&mut sched, 3, Millis(10_000))).len();
    sched.cancel(&id("more"), Millis(10_000), Timestamp(10_000));
    submit(
        &mut sched,
        "calm",
        best_effort_job("calm", 1),
        Millis(10_010),
    );
    let calm = starts(&plan_and_commit(&mut sched, 4, Millis(10_010))).len();

    assert_eq!(noisy, 0, "the present noisy run uses up the headroom");
    assert!(calm <= 1);
}

/// Guards against a successor that learns the noisy pairs again, at the expense of serving tasks.
#[test]
fn a_successor_restores_the_interference_model() {
    let mut first = leader(Millis(0));
    let (serving_start, best_effort_start) = start_serving_and_best_effort(&mut first, "noisy");
    for now in (500..10_000).step_by(500).map(Millis) {
        let (tail, used) = if now.0 % 1000 == 0 {
            (45, 8000)
        } else {
            (12, 0)
        };
        let running = vec![
            run_status(&serving_start, 100, tail),
            run_status(&best_effort_start, 50, used),
        ];
        let report = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        deliver_report(&mut first, &serving_start.worker, 1, now, report);
    }
    let model = first.encode_interference().expect("encodes");

    let placed = |model: Option<&[u8]>| {
        let mut second = leader(Millis(0));
        if let Some(model) = model {
            assert!(second.restore_interference(model));
        }
        register(&mut second, entry(1, 1, 64_000, 64_000), Millis(0));
        submit(&mut second, "serve", serving_job("s"), Millis(0));
        plan_and_commit(&mut second, 1, Millis(0));
        submit(&mut second, "fill", best_effort_job("noisy", 4), Millis(10));
        starts(&plan_and_commit(&mut second, 2, Millis(10))).len()
    };

    assert!(placed(Some(&model)) < placed(None));
    assert!(!leader(Millis(0)).restore_interference(b"not a model"));
}

/// Guards against a best-effort job that waits for ever because its image slows every serving task
/// down, although most of the capacity is free.
#[test]
fn a_noisy_job_starts_while_capacity_is_free() {
    let mut sched = leader(Millis(0));
    let (serving_start, best_effort_start) = start_serving_and_best_effort(&mut sched, "noisy");
    let mut tail = |now: Millis, tail: u64, used: u64| {
        let running = vec![
            run_status(&serving_start, 100, tail),
            run_status(&best_effort_start, 50, used),
        ];
        let report = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        deliver_report(&mut sched, &serving_start.worker, 1, now, report);
        plan_and_commit(&mut sched, 2, now);
    };
    for now in (500..10_000).step_by(500).map(Millis) {
        if now.0 % 1000 == 0 {
            tail(now, 45, 8000);
        } else {
            tail(now, 25, 0);
        }
    }

    submit(
        &mut sched,
        "more",
        best_effort_job("noisy", 1),
        Millis(10_000),
    );
    let at_once = starts(&plan_and_commit(&mut sched, 3, Millis(10_000))).len();
    let mut started = None;
    for now in (10_100..13_000).step_by(100).map(Millis) {
        sched.tick(now);
        if !starts(&plan_and_commit(&mut sched, 4, now)).is_empty() {
            started.get_or_insert(now);
        }
    }

    assert_eq!(at_once, 0, "the noisy image is rejected at first");
    assert!(
        started.is_some_and(|at| at <= Millis(12_500)),
        "started at {started:?}"
    );
}
