//! End-to-end tests of the entry daemon: real processes against stand-ins of the platform.

mod platform_support;

use std::collections::BTreeMap;
use std::time::Duration;

use platform_support::{CAPACITY, Site, call, config, crashing_job, eventually, one_step_job};
use serde_json::json;

/// Fails unless the job has this many tasks and each was started exactly once.
fn assert_started_once(site: &Site, job: &str, tasks: usize) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (task, _) in site.starts() {
        if task.starts_with(job) {
            *runs.entry(task).or_default() += 1;
        }
    }
    assert_eq!(runs.len(), tasks, "{runs:?}");
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

/// Guards against a daemon that does not know a job that another daemon accepted, against a
/// repeated submission that starts tasks again, and against steps that do not follow each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn steps_run_once_and_every_daemon_reports_the_state() {
    let site = Site::start("path", 2, 3).await;
    let body = json!({"spec": "x", "steps": [
        {"count": 3, "cpu": 1000, "memMb": 1000, "estimateMs": 400},
        {"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 400, "after": [0]},
    ]});

    let status = site.submit(0, "00000000000000a1", &body).await;
    let again = site.submit(1, "00000000000000a1", &body).await;
    for daemon in 0..3 {
        site.wait_for_state(daemon, "00000000000000a1", "completed")
            .await;
    }

    assert_eq!((status, again), (200, 200));
    assert_started_once(&site, "00000000000000a1", 5);
    assert_eq!(site.state(2, "00000000000000ff").await, "410");
}

/// Guards against tasks that are lost or run twice when leadership changes: the leader key is
/// removed, one daemon is killed and another is shut down while jobs run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_across_leader_failovers() {
    let mut site = Site::start("kill", 2, 3).await;

    let first = site
        .submit(0, "00000000000000b1", &one_step_job(20, 400))
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.remove("sapphirecroft/leader");
    let second = site
        .submit(1, "00000000000000b2", &one_step_job(20, 400))
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.daemons[0].kill();
    for id in ["00000000000000b1", "00000000000000b2"] {
        site.wait_for_state(1, id, "completed").await;
    }
    site.daemons[1].terminate();
    let third = site
        .submit(2, "00000000000000b3", &one_step_job(4, 400))
        .await;
    site.wait_for_state(2, "00000000000000b3", "completed")
        .await;

    assert_eq!((first, second, third), (200, 200, 200));
    for (id, tasks) in [("b1", 20), ("b2", 20), ("b3", 4)] {
        assert_started_once(&site, &format!("00000000000000{id}"), tasks);
    }
}

/// Guards against tasks that run twice, and against jobs that are refused although they are stored,
/// when the response of a worker or the store is lost after the call took effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_responses_start_no_task_twice() {
    let site = Site::start("lost", 2, 2).await;
    for worker in &site.workers {
        worker.drop_start_responses(2);
    }
    site.store.drop_write_responses(1);

    let status = site
        .submit(0, "00000000000000c1", &one_step_job(8, 400))
        .await;
    site.wait_for_state(1, "00000000000000c1", "completed")
        .await;

    assert_eq!(status, 200);
    assert_started_once(&site, "00000000000000c1", 8);
}

/// Guards against a daemon that accepts jobs while the store is unavailable, or that does not
/// recover after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outage_refuses_submissions_and_recovers() {
    let site = Site::start("outage", 2, 2).await;
    site.store.set_down(true);
    eventually("a daemon notices the outage", || async {
        site.submit(0, "00000000000000d1", &one_step_job(1, 400))
            .await
            == 503
    })
    .await;
    site.store.set_down(false);

    eventually("the job is accepted after the outage", || async {
        site.submit(0, "00000000000000d2", &one_step_job(2, 400))
            .await
            == 200
    })
    .await;
    site.wait_for_state(1, "00000000000000d2", "completed")
        .await;

    assert_started_once(&site, "00000000000000d2", 2);
}

/// Guards against starts without a ticket, and against starts on workers that the advice service
/// does not allow for the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn advice_restricts_starts_to_allowed_workers() {
    let site = Site::start("advice", 3, 1).await;
    let body = json!({"spec": "advised", "steps": [
        {"count": 4, "cpu": 1000, "memMb": 1000, "estimateMs": 400},
        {"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 400, "after": [0]},
    ]});

    let path = "/advised/00000000000000f1";
    let (status, _) = call(site.daemons[0].frontend, "POST", path, &body.to_string()).await;
    site.wait_for_state(0, "00000000000000f1", "completed")
        .await;

    assert_eq!(status, 200);
    assert_started_once(&site, "00000000000000f1", 6);
    let elsewhere = site.workers[1..].iter().map(|worker| worker.starts().len());
    assert_eq!(elsewhere.sum::<usize>(), 0);
}

/// Guards against starts beyond the capacity of workers that have shrunk, across a change of the
/// leader and an outage of the store, and against room that stays unused once they have grown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shrunk_workers_are_not_overfilled() {
    let site = Site::start("shrink", 2, 2).await;
    let submitted = site
        .submit(0, "00000000000000a7", &one_step_job(60, 400))
        .await;

    site.workers[0].set_capacity(1500, CAPACITY.1);
    site.workers[1].set_capacity(0, 0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.remove("sapphirecroft/leader");
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let shrunk_starts = site.workers[1].starts().len();
    for worker in &site.workers {
        worker.set_capacity(CAPACITY.0, CAPACITY.1);
    }
    site.wait_for_state(1, "00000000000000a7", "completed")
        .await;

    assert_eq!(submitted, 200);
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
    assert!(site.workers[1].starts().len() > shrunk_starts);
    assert_started_once(&site, "00000000000000a7", 60);
}

/// Guards against a store outage during which a worker shrinks: nobody learns of it until the store
/// is back, and by then the smaller capacity counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_shrinks_during_a_store_outage_is_not_overfilled() {
    let site = Site::start("shrink-outage", 2, 2).await;
    let submitted = site
        .submit(0, "00000000000000a8", &one_step_job(200, 400))
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    site.store.set_down(true);
    for worker in &site.workers {
        worker.set_capacity(1500, CAPACITY.1);
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    site.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert_eq!(submitted, 200);
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
}

/// Guards against a task that crashes one worker after the other, and against other tasks that are
/// given up because they ran on the same workers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_its_workers_is_given_up() {
    let site = Site::start("crashing", 3, 2).await;

    let crashing = site.submit(0, "00000000000000a9", &crashing_job()).await;
    let other = site
        .submit(1, "00000000000000aa", &one_step_job(30, 400))
        .await;
    site.wait_for_state(0, "00000000000000aa", "completed")
        .await;
    site.wait_for_state(1, "00000000000000a9", "failed").await;

    assert_eq!((crashing, other), (200, 200));
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
}

/// Guards against daemons that still route by an older version of the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_configuration_is_in_force_within_two_seconds() {
    let site = Site::start("config", 1, 2).await;
    let mut cfg = config(7);
    cfg["routes"][0]["prefix"] = json!("/other/");

    site.store.put("op/config", &cfg);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut seen = Vec::new();
    for daemon in &site.daemons {
        seen.push(call(daemon.frontend, "GET", "/queue/", "").await.0);
        seen.push(call(daemon.frontend, "GET", "/other/", "").await.0);
    }

    assert_eq!(seen, [404, 200, 404, 200]);
}

/// Guards against side effects of invalid input: an invalid worker entry, configuration or job must
/// not affect valid jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_rejected_without_side_effects() {
    let site = Site::start("bad", 1, 1).await;
    site.store.put("servers/i-strange", &json!({"service": 7}));
    site.store.put("op/config", &json!({"version": "seven"}));

    let bad = site
        .submit(0, "00000000000000e1", &json!({"steps": []}))
        .await;
    let good = site
        .submit(0, "00000000000000e2", &one_step_job(1, 400))
        .await;
    site.wait_for_state(0, "00000000000000e2", "completed")
        .await;

    assert_eq!((bad, good), (400, 200));
}

/// Guards against a leader that never begins to work, because a large state takes many reads and
/// the failures of all of them count together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_state_is_loaded_although_every_second_read_is_refused() {
    let site = Site::start("pages", 1, 1).await;
    for at in 0..40 {
        site.store
            .put(&format!("servers/i-x{at}"), &json!({"service": 7}));
    }
    site.store.refuse_every_second_page();

    site.store.remove("sapphirecroft/leader");
    site.submit(0, "00000000000000f1", &one_step_job(1, 400))
        .await;
    site.wait_for_state(0, "00000000000000f1", "completed")
        .await;

    assert_started_once(&site, "00000000000000f1", 1);
}

/// Guards against tasks of a lost worker that stay away for long because each new leader begins to
/// wait anew, and against two runs of a task: the worker is only cut off and runs on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_lost_worker_return_in_time_although_all_daemons_die_twice() {
    /// Time from the last disturbance by which a task must run again.
    const MOST: Duration = Duration::from_secs(7);
    let mut site = Site::start("twice", 2, 3).await;
    let body = one_step_job(20, 400);
    let status = site.submit(0, "00000000000000b7", &body).await;
    let lost = site.workers[0].clone();
    eventually("the first worker has a run", || async { lost.runs("") }).await;

    site.worker_links[0].cut(true, true);
    site.store.remove(&format!("servers/{}", lost.id));
    for pause in [500, 4500] {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        for daemon in &mut site.daemons {
            daemon.kill();
            daemon.restart_if_exited();
        }
    }
    let disturbed_at = std::time::Instant::now();
    site.wait_for_state(1, "00000000000000b7", "completed")
        .await;

    assert_eq!(status, 200);
    assert!(
        disturbed_at.elapsed() < MOST,
        "{} ms",
        disturbed_at.elapsed().as_millis()
    );
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
}
