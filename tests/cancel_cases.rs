//! Cancellations of jobs whose submissions are on their way to the store, with real daemons.

mod platform_support;

use std::sync::Arc;
use std::time::Duration;

use platform_support::{Site, call, eventually, one_step_job};

const JOB: &str = "00000000000000d7";

/// Time by which a submission has been repeated, and its late write has taken effect.
const SETTLED: Duration = Duration::from_secs(4);

async fn cancel(site: &Site, daemon: usize, id: &str) -> u16 {
    let path = format!("/queue/{id}");
    call(site.daemons[daemon].frontend, "DELETE", &path, "")
        .await
        .0
}

/// Submits a job whose write the store carries out late, and waits until the store has it.
async fn submit_late(site: &Arc<Site>) -> tokio::task::JoinHandle<u16> {
    site.store
        .delay_intake_writes(1, Duration::from_millis(1500));
    let own = site.clone();
    let submission =
        tokio::spawn(async move { own.submit(0, JOB, &one_step_job(2, 60_000)).await });
    eventually("the write of the job is on its way", || async {
        site.store.intake_writes_to_delay() == 0
    })
    .await;
    submission
}

/// Guards against a job that runs on after its cancel was answered: the submission waited for the
/// store, the cancel found no job and left no trace, and the job was stored afterwards (review case
/// 8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_cancel_was_answered_is_not_stored_afterwards() {
    let site = Arc::new(Site::start("cancel-first", 2, 3).await);
    let submission = submit_late(&site).await;

    let cancelled = cancel(&site, 1, JOB).await;
    let submitted = submission.await.expect("a status");
    tokio::time::sleep(SETTLED).await;

    assert_eq!((cancelled, submitted), (410, 503));
    assert_eq!(site.starts(), []);
    assert_eq!(site.state(2, JOB).await, "410");
}

/// Guards against a job that a caller submits again at another daemon after its cancel was answered,
/// and against a cancelled job that is shown although nobody has handed it in.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_that_follows_its_cancel_is_refused() {
    let site = Site::start("cancel-repeat", 1, 2).await;

    let cancels = [
        cancel(&site, 0, JOB).await,
        cancel(&site, 1, JOB).await,
        cancel(&site, 1, JOB).await,
    ];
    let state = site.state(0, JOB).await;
    let submitted = site.submit(1, JOB, &one_step_job(2, 400)).await;
    site.store.remove("sapphirecroft/leader");
    let again = site.submit(0, JOB, &one_step_job(2, 400)).await;
    tokio::time::sleep(SETTLED).await;

    assert_eq!(cancels, [410; 3]);
    assert_eq!((state.as_str(), submitted, again), ("410", 503, 503));
    assert_eq!(site.starts(), []);
}

/// Guards against a cancel of an accepted job that is taken for one of an unknown job while the
/// store loses answers, and against a repeated one that is answered differently.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_job_is_cancelled_although_answers_are_lost() {
    let site = Site::start("cancel-lost", 1, 2).await;
    let submitted = site.submit(0, JOB, &one_step_job(2, 60_000)).await;

    site.store.drop_write_responses(1);
    let cancelled = cancel(&site, 1, JOB).await;
    site.wait_for_state(0, JOB, "cancelled").await;
    let again = cancel(&site, 0, JOB).await;
    let repeated = site.submit(1, JOB, &one_step_job(2, 60_000)).await;
    let worker = site.workers[0].clone();
    eventually("the runs are stopped", || async { !worker.runs(JOB) }).await;

    assert_eq!(
        (submitted, cancelled, again, repeated),
        (200, 200, 200, 200)
    );
    assert_eq!(site.state(1, JOB).await, "cancelled");
}
