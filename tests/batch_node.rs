//! A batch node with in-process stand-ins in virtual time, from submission to the end of a job.

mod batch_support;

use std::collections::BTreeMap;
use std::time::Duration;

use batch_support::site::Site;
use batch_support::{bundle, id, job, worker};
use sapphirecroft::batch::Refusal;
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{JobFilter, JobPhase, JobSpec};

async fn site(workers: usize) -> Site {
    Site::start((0..workers).map(worker).collect(), bundle()).await
}

fn small(key: &str, tasks: u32, run_time: u64) -> JobSpec {
    job(key, tasks, Resources::new(1000, 1000, 0), run_time)
}

/// Guards against a missing step between submission and completion: placement, start, report of the
/// end, or its acknowledgement.
#[tokio::test(start_paused = true)]
async fn a_job_is_submitted_placed_run_and_finished() {
    let site = site(4).await;

    let id = site
        .node
        .submit(small("a", 10, 3000))
        .await
        .expect("accepted");
    let view = site.until(&id, |view| view.phase == JobPhase::Done).await;

    assert_eq!((view.done, view.assigned, view.pending), (10, 0, 0));
    assert_eq!(site.starts().len(), 10);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for server in site.agents.0.values() {
        let left = server.inspect(|worker| worker.state().tasks.len());
        assert_eq!(left, 0, "ended attempts are acknowledged");
    }
}

/// Guards against a second job when a caller retries a submission, and against a key that is reused
/// for another specification.
#[tokio::test(start_paused = true)]
async fn a_repeated_submission_gives_the_same_job() {
    let site = site(2).await;

    let first = site
        .node
        .submit(small("a", 1, 1000))
        .await
        .expect("accepted");
    let second = site
        .node
        .submit(small("a", 1, 1000))
        .await
        .expect("accepted");
    let other = site.node.submit(small("a", 2, 1000)).await;

    assert_eq!(first, second);
    assert!(matches!(other, Err(Refusal::KeyReused { .. })), "{other:?}");
}

/// Guards against accepted jobs that can never start because no worker or quota is large enough.
#[tokio::test(start_paused = true)]
async fn jobs_that_can_never_run_are_refused_with_the_reason() {
    let site = site(2).await;
    let large = job("large", 1, Resources::new(9000, 1000, 0), 1000);
    let mut stranger = small("stranger", 1, 1000);
    stranger.team = id("nobody");
    let many = job("quota", 1, Resources::new(1000, 1000, 1), 1000);

    for (spec, reason) in [
        (large, "that large"),
        (stranger, "no quota"),
        (many, "quota of"),
    ] {
        let refusal = site.node.submit(spec).await.expect_err("refused");

        assert!(
            matches!(&refusal, Refusal::Impossible(text) if text.contains(reason)),
            "{refusal}"
        );
    }
}

/// Guards against tasks that still run or start after an acknowledged cancellation, and against
/// cancellation of jobs that the filter does not match.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let site = site(2).await;
    let mut spec = small("a", 30, 600_000);
    spec.labels.insert("field".to_string(), "north".to_string());
    let id = site.node.submit(spec).await.expect("accepted");
    let other = site
        .node
        .submit(small("b", 1, 5000))
        .await
        .expect("accepted");
    site.until(&id, |view| view.assigned > 10).await;
    let mut filter = JobFilter {
        job: None,
        team: None,
        labels: BTreeMap::new(),
    };
    filter
        .labels
        .insert("field".to_string(), "north".to_string());

    let cancelled = site.node.cancel(&filter).await.expect("cancelled");
    let view = site
        .until(&id, |view| view.phase == JobPhase::Cancelled)
        .await;

    assert_eq!(cancelled, vec![id]);
    assert_eq!((view.cancelled, view.assigned), (30, 0));
    site.until(&other, |view| view.phase == JobPhase::Done)
        .await;
}

/// Guards against acknowledged jobs that are not durable, and against jobs lost or run twice
/// because the response to their write was lost.
#[tokio::test(start_paused = true)]
async fn submissions_are_refused_while_the_store_is_down_and_resolved_after_a_lost_answer() {
    let site = site(2).await;
    site.store.faults.set_down(true);
    let refused = site.node.submit(small("a", 1, 1000)).await;
    site.store.faults.set_down(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.faults.lose_answers(1);

    let accepted = site.node.submit(small("b", 1, 1000)).await;

    assert!(
        matches!(refused, Err(Refusal::NotAccepted(_))),
        "{refused:?}"
    );
    let id = accepted.expect("the write took effect and a read showed it");
    site.until(&id, |view| view.phase == JobPhase::Done).await;
    assert_eq!(site.starts().len(), 1);
}

/// Guards against an evicted task that starts from the beginning instead of its checkpoint, or
/// resumes twice.
#[tokio::test(start_paused = true)]
async fn an_evicted_task_resumes_once_from_its_checkpoint() {
    let site = site(4).await;
    let id = site
        .node
        .submit(small("a", 1, 20_000))
        .await
        .expect("accepted");
    site.until(&id, |view| view.assigned == 1).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let (vm, task, _) = site.starts()[0].clone();

    assert!(site.node.evict(&vm, &task));
    let before = tokio::time::Instant::now();
    site.until(&id, |view| view.phase == JobPhase::Done).await;

    assert_eq!(site.starts().len(), 2);
    let took = before.elapsed().as_secs();
    assert!((8..18).contains(&took), "resumed run took {took} s");
}
