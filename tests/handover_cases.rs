//! Hand-overs of leadership while the store loses answers, with real daemons.

mod platform_support;

use std::time::{Duration, Instant};

use platform_support::{CAPACITY, Daemon, Site, WorkerStandin, eventually};
use rustix::process::Signal;
use serde_json::{Value, json};

const JOB: &str = "00000000000000c7";

/// Time for which the links to the store are cut: longer than the lease of the leader key.
const STORE_CUT: Duration = Duration::from_millis(2200);

/// Time from the loss of a worker by which its lease has ended.
const LEASE: Duration = Duration::from_millis(5800);

/// Time from the end of a lease by which its tasks are at work elsewhere, besides one change of the
/// leader.
const RESTART: Duration = Duration::from_millis(3000);

/// Number of tasks of the job; a worker has room for all of them.
const TASKS: usize = 4;

/// Work of a task that outlasts every lease.
const LONG_WORK_MS: u64 = 60_000;

/// Returns a job of one step whose tasks each take a tenth of a worker for `work` milliseconds.
fn small_tasks(count: usize, work: u64) -> Value {
    let (cpu, memory) = (CAPACITY.0 / 10, CAPACITY.1 / 10);
    json!({"spec": format!("work={work} cpu={cpu} mem={memory}"), "steps": [
        {"count": count, "cpu": cpu, "memMb": memory, "estimateMs": work},
    ]})
}

/// A site with a worker that is cut off while it runs tasks.
struct SilentWorkerSite {
    site: Site,
    cut_at: Instant,
    /// The worker that is not cut off.
    other: WorkerStandin,
}

async fn with_a_silent_worker(name: &str) -> SilentWorkerSite {
    let site = Site::start(name, 2, 3).await;
    let status = site.submit(0, JOB, &small_tasks(TASKS, LONG_WORK_MS)).await;
    assert_eq!(status, 200);
    eventually("the tasks run", || async { site.starts().len() == TASKS }).await;
    // The lease of the worker is fresh, and the entry processes are older than it.
    tokio::time::sleep(Duration::from_millis(6500)).await;
    let silent = usize::from(!site.workers[0].runs(JOB));
    site.worker_links[silent].cut(true, true);
    let other = site.workers[1 - silent].clone();
    SilentWorkerSite {
        site,
        cut_at: Instant::now(),
        other,
    }
}

/// Terminates the leader and waits until the claim of a successor has lost its response.
async fn hand_over_to_a_lost_claim(site: &Site) {
    let leader = site.leader().await;
    site.store.drop_claim_responses(1);
    site.daemons[leader].signal(Signal::TERM);
    eventually("a claim is executed without a response", || async {
        site.store.claim_responses_to_drop() == 0
    })
    .await;
}

async fn cut_store_links(daemons: &[Daemon]) {
    for daemon in daemons {
        daemon.store_link.cut(true, true);
    }
    tokio::time::sleep(STORE_CUT).await;
    for daemon in daemons {
        daemon.store_link.heal();
    }
}

/// Guards against two runs of a task: a leader hands over, the claim of its successor takes effect
/// without an answer and never becomes a term, and the next leader took the age of the successor's
/// process for the time since the end of all former leases (review case 6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_that_never_became_a_term_does_not_end_the_leases_of_others() {
    let SilentWorkerSite {
        site,
        cut_at,
        other,
    } = with_a_silent_worker("claim-lost").await;

    hand_over_to_a_lost_claim(&site).await;
    cut_store_links(&site.daemons).await;
    eventually("the tasks of the silent worker run elsewhere", || async {
        other.starts().len() == TASKS
    })
    .await;

    let moved_after = cut_at.elapsed();
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
    assert!(
        (LEASE - Duration::from_millis(800)..LEASE + STORE_CUT + RESTART).contains(&moved_after),
        "{} ms",
        moved_after.as_millis()
    );
}

/// Guards against 1.6 s without a leader after a claim whose answer was lost, although the store
/// names a process that works; nothing starts meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_whose_answer_was_lost_is_taken_up() {
    /// Timeout of the claim, the pause before the key is read, and the load of the state; less than
    /// the lease of the leader key from the claim on.
    const MOST: Duration = Duration::from_millis(1500);
    let SilentWorkerSite { site, other, .. } = with_a_silent_worker("taken-up").await;

    hand_over_to_a_lost_claim(&site).await;
    let claimed_at = Instant::now();
    let key = site.store.revision("sapphirecroft/leader");
    let short = small_tasks(1, 100);
    eventually("a job is accepted", || async {
        site.submit(1, "00000000000000c8", &short).await == 200
            || site.submit(2, "00000000000000c8", &short).await == 200
    })
    .await;
    eventually("the job starts", || async {
        let starts = other.starts();
        starts
            .iter()
            .any(|(task, _)| task.starts_with("00000000000000c8"))
    })
    .await;

    let started_after = claimed_at.elapsed();
    assert_eq!(site.store.revision("sapphirecroft/leader"), key);
    assert!(started_after < MOST, "{} ms", started_after.as_millis());
    assert_eq!(site.observed.lock().violations, Vec::<String>::new());
}
