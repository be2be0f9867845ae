//! Reaction of a batch node to failing workers and jobs, a shrinking fleet, and slowed services.

mod batch_support;

use std::time::Duration;

use batch_support::site::Site;
use batch_support::{bundle, id, job, worker};
use sapphirecroft::batch::{job_id, task_id};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{
    JobPhase, JobRecord, Place, ShardRecord, TaskRecord, TaskState,
};
use sapphirecroft::schema::worker::TaskPhase;
use sapphirecroft::web::encode;
use tokio::time::sleep;

const CORE: Resources = Resources::new(1000, 1000, 0);

fn fail_all(site: &Site, worker: &str, fail: bool) {
    site.agents.0[worker].inspect(|worker| worker.faults.set_fail_all(fail));
}

async fn run_jobs(site: &Site, name: &str, count: usize) {
    for n in 0..count {
        let spec = job(&format!("{name}{n}"), 8, CORE, 2000);
        let id = site.node.submit(spec).await.expect("accepted");
        site.until(&id, |view| view.phase == JobPhase::Done).await;
    }
}

/// Guards against jobs that are parked because one worker fails every task, and against a worker
/// that stays quarantined after it has recovered.
#[tokio::test(start_paused = true)]
async fn a_failing_worker_is_quarantined_and_readmitted() {
    let site = Site::start((0..4).map(worker).collect(), bundle()).await;
    fail_all(&site, "w0", true);

    run_jobs(&site, "bad", 6).await;
    let quarantined = site.node.quarantined();
    fail_all(&site, "w0", false);
    for round in 0..6 {
        sleep(Duration::from_secs(31)).await;
        run_jobs(&site, &format!("good{round}-"), 1).await;
    }

    assert_eq!(quarantined, vec![id("w0")]);
    assert_eq!(site.node.quarantined(), Vec::<VmId>::new());
}

/// Guards against a job that fails everywhere and is retried without end, or gets healthy workers
/// quarantined.
#[tokio::test(start_paused = true)]
async fn a_failing_job_is_parked_with_its_reason() {
    let site = Site::start((0..6).map(worker).collect(), bundle()).await;
    for n in 0..6 {
        fail_all(&site, &format!("w{n}"), true);
    }

    let job = site
        .node
        .submit(job("broken", 2, CORE, 2000))
        .await
        .expect("accepted");
    let view = site
        .until(&job, |view| view.phase == JobPhase::Parked)
        .await;

    assert_eq!(view.parked, 2);
    assert!(
        view.reasons[0].starts_with("failed 4 times, on "),
        "{view:?}"
    );
    assert_eq!(site.starts().len(), 8, "four attempts per task");
    assert_eq!(site.node.quarantined(), Vec::<VmId>::new());
}

/// Guards against a job that stays open without a reason after the only large worker has left the
/// VM list, or stays parked after the worker is back.
#[tokio::test(start_paused = true)]
async fn a_job_is_parked_while_no_worker_is_large_enough() {
    let mut vms: Vec<_> = (0..3).map(worker).collect();
    vms[0].capacity = Resources::new(16_000, 16_000, 0);
    let site = Site::start(vms.clone(), bundle()).await;
    let spec = job("large", 3, Resources::new(12_000, 1000, 0), 20_000);
    let job = site.node.submit(spec).await.expect("accepted");
    site.until(&job, |view| view.assigned == 1).await;

    site.node.set_vms(&vms[1..]);
    let parked = site
        .until(&job, |view| view.phase == JobPhase::Parked)
        .await;
    site.node.set_vms(&vms);

    assert!(
        parked.reason.contains("no worker is that large"),
        "{parked:?}"
    );
    site.until(&job, |view| view.phase == JobPhase::Done).await;
}

/// Guards against eviction without an earlier throttle, and against more evictions than needed,
/// when a service reports a slowdown above the tolerated one.
#[tokio::test(start_paused = true)]
async fn a_slowed_service_causes_throttling_then_eviction() {
    let mut vms: Vec<_> = (0..4).map(worker).collect();
    for vm in &mut vms {
        vm.service = Some(id("booking"));
    }
    let site = Site::start(vms, bundle()).await;
    let job = site
        .node
        .submit(job("a", 1, CORE, 120_000))
        .await
        .expect("accepted");
    site.until(&job, |view| view.assigned == 1).await;
    sleep(Duration::from_secs(4)).await;
    let (vm, task, _) = site.starts()[0].clone();
    let begun = site.agents.0[vm.as_str()].inspect(|worker| worker.state().clock);

    while site.starts().len() < 2 {
        site.node
            .record_service_slowdown(&vm, Permille(2000), Millis::ZERO);
        sleep(Duration::from_secs(1)).await;
    }

    let stopped = site.agents.0[vm.as_str()].inspect(|worker| {
        let stops = worker
            .events()
            .iter()
            .filter(|e| e.phase == TaskPhase::Stopped);
        stops
            .map(|event| (event.task.clone(), event.at - begun))
            .collect::<Vec<_>>()
    });
    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0].0, task);
    let waited = stopped[0].1;
    assert!(
        (Millis(10_000)..Millis(13_000)).contains(&waited),
        "evicted after {waited} ms"
    );
    let last = site.until(&job, |view| view.phase == JobPhase::Done).await;
    assert_eq!(last.done, 1);
}

/// Guards against shard records that exceed the size limit of a value in the store.
#[test]
fn a_full_shard_record_stays_far_below_one_megabyte() {
    let jobs = (0..60u64).map(|number| {
        let id = job_id(31, number);
        let mut spec = job(&format!("submission-key-{number:030}"), 1000, CORE, 60_000);
        spec.labels
            .insert("fleet".to_string(), "northern-sugar-fields".to_string());
        let mut job = JobRecord::new(id.clone(), spec, Millis(1_796_368_603_543));
        job.fresh = 10;
        job.tasks = (0..10)
            .map(|index| TaskRecord {
                index,
                attempt: Attempt(2),
                failures: 1,
                checkpoint: task_id(&id, index).as_str().parse().ok(),
                failed_on: vec!["tulua-rack-17-worker-003".parse().expect("valid")],
                state: TaskState::Assigned(Place {
                    worker: "tulua-rack-17-worker-004".parse().expect("valid"),
                    rack: "tulua-rack-17".parse().expect("valid"),
                }),
            })
            .collect();
        job
    });
    let record = ShardRecord {
        writer: "m-1:1".parse().expect("valid"),
        epoch: Epoch(9),
        next_job: 61,
        jobs: jobs.collect(),
    };

    let len = encode(&record).expect("encodes").len();

    assert!(len < 256 << 10, "600 running tasks take {len} bytes");
}
