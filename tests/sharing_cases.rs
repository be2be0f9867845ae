//! Tasks that fill beside tasks that serve.

mod scheduler_support;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobSpec, RunStatus, Scheduler, StartCommand, StartResponse, StepSpec, WorkerReport,
};
use scheduler_support::*;

fn serving(image: &str) -> JobSpec {
    let one = StepSpec {
        long_running: true,
        image: image.to_string(),
        tail_target: Some(Millis(50)),
        ..step(1, 10_000, 1000)
    };
    job("urgent", vec![one])
}

fn filling(image: &str, tasks: u32) -> JobSpec {
    let one = StepSpec {
        best_effort: true,
        checkpoints: true,
        image: image.to_string(),
        ..step(tasks, 8000, 1000)
    };
    job("patient", vec![one])
}

fn row(start: &StartCommand, percent: u32, gauge: u64) -> RunStatus {
    RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: String::new(),
        percent,
        gauge,
    }
}

/// Starts a serving and a filling job on one worker; returns their starts.
fn together(sched: &mut Scheduler, image: &str) -> (StartCommand, StartCommand) {
    join(sched, entry(1, 1, 64_000, 64_000), Millis(0));
    submit(sched, "serve", serving("s"), Millis(0));
    submit(sched, "fill", filling(image, 1), Millis(0));
    let sent = starts(&settle(sched, 1, Millis(0)));
    for start in &sent {
        answer(sched, start, StartResponse::Started, Millis(5));
    }
    let of = |name: &str| {
        let found = sent.iter().find(|start| start.task.job == id(name));
        found.expect("started").clone()
    };
    (of("serve"), of("fill"))
}

/// Guards against a serving task that is over its target for 4 s by what fills beside it.
#[test]
fn filling_tasks_end_before_a_harm_counts() {
    let mut sched = leader(Millis(0));
    let (serve, fill) = together(&mut sched, "f");
    let mut halted = None;
    let mut stopped = None;

    for now in (500..5000).step_by(500).map(Millis) {
        let running = vec![row(&serve, 100, 400), row(&fill, 20, 8000)];
        let lists = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        report(&mut sched, &serve.worker, 1, now, lists);
        let orders = settle(&mut sched, 2, now);
        let halts = |order: &Command| matches!(order, Command::Pace { percent: 0, .. });
        if orders.iter().any(halts) {
            halted.get_or_insert(now);
        }
        if !stops(&orders).is_empty() {
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

/// Guards against a model that keeps noisy images apart from nothing, or calm ones from all.
#[test]
fn only_noisy_images_are_kept_away() {
    let mut sched = leader(Millis(0));
    let (serve, fill) = together(&mut sched, "noisy");
    for now in (500..10_000).step_by(500).map(Millis) {
        // Short peaks teach the model; they are not long enough to end the run.
        let (tail, used) = if now.0 % 1000 == 0 {
            (45, 8000)
        } else {
            (12, 0)
        };
        let running = vec![row(&serve, 100, tail), row(&fill, 50, used)];
        let lists = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        report(&mut sched, &serve.worker, 1, now, lists);
        settle(&mut sched, 2, now);
    }

    submit(&mut sched, "more", filling("noisy", 4), Millis(10_000));
    let noisy = starts(&settle(&mut sched, 3, Millis(10_000))).len();
    sched.cancel(&id("more"), Millis(10_000), Timestamp(10_000));
    submit(&mut sched, "calm", filling("calm", 1), Millis(10_010));
    let calm = starts(&settle(&mut sched, 4, Millis(10_010))).len();

    assert_eq!(
        noisy, 0,
        "the headroom is used up by the noisy run that is present"
    );
    assert!(calm <= 1);
}

/// Guards against a successor that learns the noisy pairs anew, at the cost of serving tasks.
#[test]
fn a_successor_takes_over_what_was_learned() {
    let mut first = leader(Millis(0));
    let (serve, fill) = together(&mut first, "noisy");
    for now in (500..10_000).step_by(500).map(Millis) {
        let (tail, used) = if now.0 % 1000 == 0 {
            (45, 8000)
        } else {
            (12, 0)
        };
        let running = vec![row(&serve, 100, tail), row(&fill, 50, used)];
        let lists = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        report(&mut first, &serve.worker, 1, now, lists);
    }
    let learned = first.encode_interference().expect("encodes");

    let placed = |learned: Option<&[u8]>| {
        let mut second = leader(Millis(0));
        if let Some(learned) = learned {
            assert!(second.restore_interference(learned));
        }
        join(&mut second, entry(1, 1, 64_000, 64_000), Millis(0));
        submit(&mut second, "serve", serving("s"), Millis(0));
        settle(&mut second, 1, Millis(0));
        submit(&mut second, "fill", filling("noisy", 4), Millis(10));
        starts(&settle(&mut second, 2, Millis(10))).len()
    };

    assert!(placed(Some(&learned)) < placed(None));
    assert!(!leader(Millis(0)).restore_interference(b"not a model"));
}

/// Guards against a filling job that waits for ever because its image disturbs every serving task,
/// with most of the room free.
#[test]
fn a_noisy_job_does_not_wait_for_ever() {
    let mut sched = leader(Millis(0));
    let (serve, fill) = together(&mut sched, "noisy");
    let mut tail = |now: Millis, tail: u64, used: u64| {
        let running = vec![row(&serve, 100, tail), row(&fill, 50, used)];
        let lists = WorkerReport {
            running,
            ..WorkerReport::default()
        };
        report(&mut sched, &serve.worker, 1, now, lists);
        settle(&mut sched, 2, now);
    };
    for now in (500..10_000).step_by(500).map(Millis) {
        if now.0 % 1000 == 0 {
            tail(now, 45, 8000);
        } else {
            tail(now, 25, 0);
        }
    }

    submit(&mut sched, "more", filling("noisy", 1), Millis(10_000));
    let at_once = starts(&settle(&mut sched, 3, Millis(10_000))).len();
    let mut started = None;
    for now in (10_100..13_000).step_by(100).map(Millis) {
        sched.tick(now);
        if !starts(&settle(&mut sched, 4, now)).is_empty() {
            started.get_or_insert(now);
        }
    }

    assert_eq!(at_once, 0, "the noisy image is kept away at first");
    assert!(
        started.is_some_and(|at| at <= Millis(12_500)),
        "started at {started:?}"
    );
}
