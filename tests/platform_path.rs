//! The whole path on the platform's protocol: real daemons as processes against stand-ins.

mod platform_support;

use std::collections::BTreeMap;

use platform_support::{Site, call, config, eventually, one_step};
use serde_json::json;

/// Fails if a task was started more than once.
fn assert_started_once(site: &Site, job: &str, tasks: usize) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (task, _) in site.started() {
        if task.starts_with(job) {
            *runs.entry(task).or_default() += 1;
        }
    }
    assert_eq!(runs.len(), tasks, "{runs:?}");
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

/// Guards against a path that does not hold together: a job of two steps, seen at every daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_its_steps_once_and_is_seen_everywhere() {
    let site = Site::start("path", 2, 3).await;
    let body = json!({"spec": "x", "steps": [
        {"count": 3, "cpu": 1000, "memMb": 1000, "estimateMs": 400},
        {"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 400, "after": [0]},
    ]});

    let status = site.submit(0, "00000000000000a1", &body).await;
    let again = site.submit(1, "00000000000000a1", &body).await;
    for daemon in 0..3 {
        site.wait_state(daemon, "00000000000000a1", "completed")
            .await;
    }

    assert_eq!((status, again), (200, 200));
    assert_started_once(&site, "00000000000000a1", 5);
    assert_eq!(site.state(2, "00000000000000ff").await, "410");
}

/// Guards against work that is lost or doubled when the leader is killed or its key is taken away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_goes_on_once_without_the_leader() {
    let mut site = Site::start("kill", 2, 3).await;

    let first = site.submit(0, "00000000000000b1", &one_step(20, 400)).await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    site.store.remove("sapphirecroft/leader");
    let second = site.submit(1, "00000000000000b2", &one_step(20, 400)).await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    site.daemons[0].kill();
    for id in ["00000000000000b1", "00000000000000b2"] {
        site.wait_state(1, id, "completed").await;
    }
    site.daemons[1].terminate();
    let third = site.submit(2, "00000000000000b3", &one_step(4, 400)).await;
    site.wait_state(2, "00000000000000b3", "completed").await;

    assert_eq!((first, second, third), (200, 200, 200));
    for (id, tasks) in [("b1", 20), ("b2", 20), ("b3", 4)] {
        assert_started_once(&site, &format!("00000000000000{id}"), tasks);
    }
}

/// Guards against answers that are lost after the call took effect: a doubled job or task, or a
/// job that is refused although it is stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_double_nothing() {
    let site = Site::start("lost", 2, 2).await;
    for worker in &site.workers {
        worker.lose_starts(2);
    }
    site.store.lose_writes(1);

    let status = site.submit(0, "00000000000000c1", &one_step(8, 400)).await;
    site.wait_state(1, "00000000000000c1", "completed").await;

    assert_eq!(status, 200);
    assert_started_once(&site, "00000000000000c1", 8);
}

/// Guards against a daemon that accepts work while the store is away, or stays away after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_is_refused_and_survived() {
    let site = Site::start("outage", 2, 2).await;
    site.store.set_down(true);
    eventually("a daemon notices the outage", || async {
        site.submit(0, "00000000000000d1", &one_step(1, 400)).await == 503
    })
    .await;
    site.store.set_down(false);

    eventually("the job is accepted after the outage", || async {
        site.submit(0, "00000000000000d2", &one_step(2, 400)).await == 200
    })
    .await;
    site.wait_state(1, "00000000000000d2", "completed").await;

    assert_started_once(&site, "00000000000000d2", 2);
}

/// Guards against starts without a ticket, or on workers that a queue's policy does not allow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_queue_with_advice_uses_the_workers_that_it_names() {
    let site = Site::start("advice", 3, 1).await;
    let body = json!({"spec": "advised", "steps": [
        {"count": 4, "cpu": 1000, "memMb": 1000, "estimateMs": 400},
        {"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 400, "after": [0]},
    ]});

    let path = "/advised/00000000000000f1";
    let (status, _) = call(site.daemons[0].front, "POST", path, &body.to_string()).await;
    site.wait_state(0, "00000000000000f1", "completed").await;

    assert_eq!(status, 200);
    assert_started_once(&site, "00000000000000f1", 6);
    let elsewhere = site.workers[1..]
        .iter()
        .map(|worker| worker.started().len());
    assert_eq!(elsewhere.sum::<usize>(), 0);
}

/// Guards against requests that are answered by an older version of the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_configuration_is_in_force_within_two_seconds() {
    let site = Site::start("config", 1, 2).await;
    let mut cfg = config(7);
    cfg["routes"][0]["prefix"] = json!("/other/");

    site.store.put("op/config", &cfg);
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let mut seen = Vec::new();
    for daemon in &site.daemons {
        seen.push(call(daemon.front, "GET", "/queue/", "").await.0);
        seen.push(call(daemon.front, "GET", "/other/", "").await.0);
    }

    assert_eq!(seen, [404, 200, 404, 200]);
}

/// Guards against entries and bodies that cannot be read: they must cost nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_and_harms_nothing() {
    let site = Site::start("bad", 1, 1).await;
    site.store.put("servers/i-strange", &json!({"service": 7}));
    site.store.put("op/config", &json!({"version": "seven"}));

    let bad = site
        .submit(0, "00000000000000e1", &json!({"steps": []}))
        .await;
    let good = site.submit(0, "00000000000000e2", &one_step(1, 400)).await;
    site.wait_state(0, "00000000000000e2", "completed").await;

    assert_eq!((bad, good), (400, 200));
}
