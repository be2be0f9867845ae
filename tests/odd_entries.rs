//! Odd entries among those of the workers, as another writer may leave them.

mod platform_support;
mod scheduler_support;

use std::collections::BTreeMap;
use std::time::Duration;

use platform_support::{CAPACITY, Site, one_step_job};
use sapphirecroft::entry::PlatformFormat;
use sapphirecroft::platform::JsonFormat;
use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{Repeat, Scheduler};
use scheduler_support::{id, job, leader, step, submit};
use serde_json::{Value, json};

/// A later start than any clock shows.
const FAR_FUTURE_MS: u64 = 9_000_000_000_000_000_000;

/// A valid entry of a worker that does not exist.
fn entry() -> Value {
    json!({
        "service": "work", "address": "127.0.0.1:9", "zone": "z", "version": "1", "slots": 8,
        "state": "ready", "warmupLeftMs": 0, "labels": ["a", "r1"], "seq": 1,
        "capacity": {"cpu": CAPACITY.0, "memMb": CAPACITY.1, "gpu": 0}, "born": 5,
    })
}

fn with(field: &str, value: Value) -> Value {
    let mut entry = entry();
    entry[field] = value;
    entry
}

/// Entries that name no worker to use.
fn odd_entries() -> BTreeMap<&'static str, Value> {
    let mut nested = json!(0);
    for _ in 0..100 {
        nested = json!([nested]);
    }
    let mut without_capacity = entry();
    without_capacity
        .as_object_mut()
        .expect("object")
        .remove("capacity");
    BTreeMap::from([
        ("nested", with("labels", nested)),
        ("no-capacity", without_capacity),
        (
            "cpu",
            with("capacity", json!({"cpu": u64::MAX, "memMb": 1, "gpu": 0})),
        ),
        (
            "float",
            with(
                "capacity",
                json!({"cpu": 1.7e308, "memMb": 1.7e308, "gpu": 0}),
            ),
        ),
        (
            "memory",
            with("capacity", json!({"cpu": 1000, "memMb": 1e300, "gpu": 0})),
        ),
        (
            "negative",
            with("capacity", json!({"cpu": -1, "memMb": 1000, "gpu": 0})),
        ),
        ("port", with("address", json!("127.0.0.1:70000"))),
        ("no-port", with("address", json!("127.0.0.1:0"))),
        ("state", with("state", json!("odd"))),
        ("service", with("service", json!(7))),
        ("born", with("born", json!(1.5))),
    ])
}

/// Guards against an odd entry that is taken for a worker: its figures overflow sums over the fleet
/// and end the term of each leader, or make it the cheapest worker.
#[test]
fn odd_entries_name_no_worker() {
    let decode = |value: &Value| JsonFormat.worker("servers/i-9", value.to_string().as_bytes());

    for (name, value) in odd_entries() {
        let decoded = decode(&value);
        assert!(decoded.is_err(), "{name}: {decoded:?}");
    }
    assert!(decode(&entry()).is_ok());
}

/// Guards against a leader that ends when it computes the objective of a job with figures at the
/// limit of their type, or the time of its last occurrence.
#[test]
fn figures_of_a_job_do_not_overflow() {
    let mut sched: Scheduler = leader(Millis(0));
    let mut endless = step(1, 1000, 1000);
    endless.estimate = Millis(u64::MAX);
    let mut odd = job("urgent", vec![endless]);
    odd.repeat = Some(Repeat {
        count: 3,
        first: Timestamp(u64::MAX - 1),
        interval: Millis(u64::MAX / 2),
    });

    submit(&mut sched, "odd", odd, Millis(0));
    sched.plan(Millis(10));
    sched.tick(Millis(20));

    assert!(sched.view(&id("odd")).is_some());
}

/// Guards against daemons that end, stop following the workers, or never finish reading them, while
/// odd entries lie between theirs; also after a change of the leader, which reads all of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_complete_beside_odd_entries() {
    let mut site = Site::start("odd", 2, 2).await;
    for (name, value) in odd_entries() {
        site.store.put(&format!("servers/a-{name}"), &value);
    }
    for key in [
        "servers/b c",
        "servers/d#e",
        "servers/f&after=x",
        "servers/g%2",
        "servers/ü",
    ] {
        site.store.put(key, &entry());
    }
    site.store.put_text("servers/h", "no base64!");
    site.store
        .put(&format!("servers/{}", "i".repeat(150)), &entry());

    let first = site
        .submit(0, "00000000000000c1", &one_step_job(6, 200))
        .await;
    site.wait_for_state(1, "00000000000000c1", "completed")
        .await;
    site.store.remove("sapphirecroft/leader");
    let second = site
        .submit(1, "00000000000000c2", &one_step_job(6, 200))
        .await;
    site.wait_for_state(0, "00000000000000c2", "completed")
        .await;

    assert_eq!((first, second), (200, 200));
    assert!(
        !site
            .daemons
            .iter_mut()
            .any(|daemon| daemon.restart_if_exited())
    );
}

/// Guards against runs that start again beside themselves because another writer has replaced the
/// entry of their worker, with a start of the worker that lies in the future.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_entry_does_not_end_the_runs_of_its_worker() {
    let site = Site::start("replaced", 2, 1).await;
    site.submit(0, "00000000000000c3", &one_step_job(8, 2500))
        .await;
    tokio::time::sleep(Duration::from_millis(800)).await;

    for worker in &site.workers {
        let mut odd = worker.entry(worker.addr);
        odd["born"] = json!(FAR_FUTURE_MS);
        site.store.put(&format!("servers/{}", worker.id), &odd);
    }
    site.wait_for_state(0, "00000000000000c3", "completed")
        .await;

    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (task, _) in site.starts() {
        *runs.entry(task).or_default() += 1;
    }
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
