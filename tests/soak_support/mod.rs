//! Runs the soak test and checks its guarantees.

mod callers;
mod faults;

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use super::platform_support::{Site, call};
use callers::{JobOutcome, SubmittedJob, run_caller, run_leaving_caller};
use faults::Faults;

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// Time after the last fault within which all accepted jobs must complete: leases of 6 s have to
/// expire, an unreachable former leader has to be waited for up to 12 s, and the tasks take a few
/// seconds.
const SETTLE: Duration = Duration::from_secs(45);

/// Parameters of a run.
pub struct Plan {
    pub seed: u64,
    pub seconds: u64,
    pub daemons: usize,
    pub workers: usize,
}

/// Executes a run and returns the violated guarantees.
pub async fn run_soak(plan: &Plan) -> Vec<String> {
    let mut site = Site::start(&format!("soak-{}", plan.seed), plan.workers, plan.daemons).await;
    let frontends = site.daemons.iter().map(|daemon| daemon.frontend).collect();
    let frontends: Arc<Vec<_>> = Arc::new(frontends);
    let jobs: Arc<Mutex<Vec<SubmittedJob>>> = Arc::default();
    let stop = CancellationToken::new();
    let leaving = tokio::spawn(run_leaving_caller(
        ChaCha8Rng::seed_from_u64(plan.seed * 1000 + CALLERS as u64),
        frontends.clone(),
        jobs.clone(),
        stop.clone(),
    ));
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let rng = ChaCha8Rng::seed_from_u64(plan.seed * 1000 + at as u64);
            let (frontends, jobs, stop) = (frontends.clone(), jobs.clone(), stop.clone());
            tokio::spawn(run_caller(at, rng, frontends, jobs, stop))
        })
        .collect();

    let mut faults = Faults::new(plan.seed);
    let until = Instant::now() + Duration::from_secs(plan.seconds);
    while Instant::now() < until {
        faults.inject_next(&mut site).await;
    }
    faults.heal(&mut site).await;
    stop.cancel();
    let mut violations = Vec::new();
    for caller in callers.into_iter().chain([leaving]) {
        if let Err(err) = caller.await {
            violations.push(format!("a caller ended early: {err}"));
        }
    }
    let jobs = jobs.lock().clone();
    let count = |outcome| jobs.iter().filter(|job| job.outcome == outcome).count();
    println!(
        "seed {}: {} jobs accepted, {} refused, {} cancelled, {} unknown; {} starts",
        plan.seed,
        count(JobOutcome::Accepted),
        count(JobOutcome::Refused),
        count(JobOutcome::Cancelled),
        count(JobOutcome::Unknown),
        site.starts().len()
    );
    violations.extend(check_outcomes(&site, &jobs).await);
    violations.extend(check_crashing_jobs(&site, faults.crashing_jobs()).await);
    violations.extend(site.observed.lock().violations.clone());
    if !violations.is_empty() {
        faults.print();
        site.keep_logs();
    }
    violations
}

/// Checks that jobs whose task crashes workers have failed by the end, unless nobody knows them.
/// The workers' observations limit the starts.
async fn check_crashing_jobs(site: &Site, jobs: &[String]) -> Vec<String> {
    let until = Instant::now() + SETTLE;
    let mut violations = Vec::new();
    for id in jobs {
        loop {
            let state = site.state(0, id).await;
            if state == "failed" || state == "410" {
                break;
            }
            if Instant::now() >= until {
                violations.push(format!("crashing job {id} is {state} at the end"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    violations
}

/// Waits until all accepted jobs have completed, then compares the outcomes that callers know with
/// the runs that workers observed.
async fn check_outcomes(site: &Site, jobs: &[SubmittedJob]) -> Vec<String> {
    let until = Instant::now() + SETTLE;
    let mut violations = Vec::new();
    for job in jobs
        .iter()
        .filter(|job| job.outcome == JobOutcome::Accepted)
    {
        for at in 0..site.daemons.len() {
            loop {
                let state = site.state(at, &job.id).await;
                if state == "completed" {
                    break;
                }
                if Instant::now() >= until {
                    violations.push(format!(
                        "job {} is {state} at daemon {at} at the end",
                        job.id
                    ));
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    let started = site.starts();
    let done = site.observed.lock().done.clone();
    for job in jobs {
        let is_of = |task: &String| task.starts_with(&job.id);
        match job.outcome {
            JobOutcome::Accepted => {
                let count = done.iter().filter(|task| is_of(task)).count();
                if count != job.tasks {
                    violations.push(format!(
                        "job {} has {count} of {} tasks done",
                        job.id, job.tasks
                    ));
                }
            }
            JobOutcome::Refused => {
                if started.iter().any(|(task, _)| is_of(task)) {
                    violations.push(format!("job {} was refused and has run", job.id));
                }
            }
            JobOutcome::Cancelled => {
                if site.workers.iter().any(|worker| worker.runs(&job.id)) {
                    violations.push(format!("job {} was cancelled and still runs", job.id));
                }
            }
            JobOutcome::Unknown => {}
        }
        violations.extend(job.violations.iter().cloned());
    }
    let (status, _) = call(site.daemons[0].frontend, "GET", "/queue/", "").await;
    if status != 200 {
        violations.push(format!("the count of waiting jobs is answered by {status}"));
    }
    violations
}
