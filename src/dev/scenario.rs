//! The course of a check: load, batch jobs and faults, one after the other.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Answer, Ask, DevInstance, Installation, LoadClient, Promise, Reported};
use crate::prelude::*;

/// Pause between two requests of the steady load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// Time between two faults.
const STEP: Duration = Duration::from_secs(3);

/// Length of the outage of the key-value service.
const OUTAGE: Duration = Duration::from_secs(6);

/// Longest time until all batch tasks have finished after the last fault.
const BATCH_LIMIT: Duration = Duration::from_secs(20);

/// Seed of the load.
const SEED: u64 = 7;

/// What a run of the scenario saw.
pub(super) struct Seen {
    pub(super) installation: Installation,
    pub(super) answers: Vec<Answer>,
    pub(super) versions: Vec<Vec<Version>>,
    pub(super) bundle_time: Option<Duration>,
    pub(super) leaving: (usize, Millis),
    pub(super) graceful: Promise,
    pub(super) tasks: u32,
    pub(super) finished: u32,
}

/// Addresses of entry processes that take requests, and what callers were told.
#[derive(Default)]
struct Shared {
    addrs: Mutex<Vec<String>>,
    answers: Mutex<Vec<Answer>>,
    stop: AtomicBool,
}

/// Runs load and faults against an installation.
pub(super) struct Scenario {
    installation: Installation,
    shared: Arc<Shared>,
    versions: Vec<Vec<Version>>,
}

impl Scenario {
    pub(super) fn new(installation: Installation) -> Self {
        let versions = vec![Vec::new(); installation.entries.len()];
        Self {
            installation,
            shared: Arc::default(),
            versions,
        }
    }

    pub(super) async fn run(mut self) -> Result<Seen, DevError> {
        self.publish_addrs();
        let load = tokio::spawn(steady_load(
            self.shared.clone(),
            self.installation.platform.site,
        ));
        let tasks = self.submit_jobs().await?;
        tokio::time::sleep(STEP).await;

        let leaving = self.leave_endpoint();
        tokio::time::sleep(STEP).await;

        let bundle_time = self.roll_out().await?;
        self.silence_connections();
        self.drain_worker().await?;
        tokio::time::sleep(STEP).await;

        let graceful = self.stop_entry().await;
        tokio::time::sleep(STEP).await;

        self.kill_entry();
        tokio::time::sleep(STEP).await;

        self.outage().await;
        let finished = self.until_finished(tasks).await;
        self.note_versions();

        self.shared.stop.store(true, Ordering::SeqCst);
        let _ = load.await;
        let answers = std::mem::take(&mut *self.shared.answers.lock());
        Ok(Seen {
            installation: self.installation,
            answers,
            versions: self.versions,
            bundle_time,
            leaving,
            graceful,
            tasks,
            finished,
        })
    }

    fn publish_addrs(&self) {
        let addrs = self
            .installation
            .entries
            .iter()
            .map(|entry| entry.callers_addr().to_string());
        *self.shared.addrs.lock() = addrs.collect();
    }

    fn note_versions(&mut self) {
        for (seen, entry) in self.versions.iter_mut().zip(&self.installation.entries) {
            seen.push(entry.daemon().bundle_version());
        }
    }

    /// Marks an endpoint as leaving in the VM list.
    fn leave_endpoint(&self) -> (usize, Millis) {
        let leaving = self.installation.platform.workers.len() - 1;
        let worker = &self.installation.platform.workers[leaving];
        self.installation.platform.vms.set_leaving(&worker.vm);
        (leaving, worker.endpoint.now())
    }

    /// Rolls out a second bundle and measures until it is in force everywhere.
    async fn roll_out(&mut self) -> Result<Option<Duration>, DevError> {
        self.note_versions();
        let site = self.installation.platform.site;
        let text = site.bundle().replace("per_hour = 120", "per_hour = 121");
        let version = self.installation.operators.roll_out(text).await?;
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(12) {
            self.note_versions();
            let everywhere = self
                .installation
                .entries
                .iter()
                .all(|entry| entry.daemon().bundle_version() >= version);
            if everywhere {
                return Ok(Some(started.elapsed()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(None)
    }

    /// Silences the open connections of every third endpoint.
    fn silence_connections(&self) {
        for worker in self.installation.platform.workers.iter().step_by(3) {
            worker.endpoint.faults.silence_open_connections();
        }
    }

    /// Drains the busiest worker, so that its tasks are evicted and resume elsewhere.
    async fn drain_worker(&self) -> Result<(), DevError> {
        let workers = &self.installation.platform.workers;
        let busiest = workers
            .iter()
            .max_by_key(|worker| worker.agent.inspect(|state| state.reserved().cpu));
        if let Some(worker) = busiest {
            let body = serde_json::json!({ "target": { "worker": worker.vm }, "drained": true });
            self.installation.call_admin("/drain", &body).await?;
        }
        Ok(())
    }

    /// Stops an entry process gracefully while requests are in progress on it.
    async fn stop_entry(&mut self) -> Promise {
        let mut graceful = Promise::new("P8 graceful shutdown cuts off no request");
        let entry = self.installation.entries.remove(0);
        self.versions.remove(0);
        let addr = entry.callers_addr().to_string();
        let site = self.installation.platform.site;
        let client = LoadClient::new();
        let mut requests = JoinSet::new();
        for n in 0..24 {
            let ask = Ask {
                id: format!("graceful-{n}"),
                service: site.service().to_string(),
                class: site.classes()[1].to_string(),
                team: site.teams()[0].to_string(),
                deadline: Millis(8000),
                work: Millis(700),
                answer_bytes: 200_000,
                key: None,
            };
            let (client, addr) = (client.clone(), addr.clone());
            requests.spawn(async move { client.send(&addr, ask).await });
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        self.publish_addrs();
        entry.shutdown().await;
        while let Some(Ok(answer)) = requests.join_next().await {
            let kept = matches!(answer.reported, Reported::Whole | Reported::NotRun);
            graceful.check(kept, || {
                format!("request {} ended as {:?}", answer.ask.id, answer.reported)
            });
            self.shared.answers.lock().push(answer);
        }
        graceful
    }

    /// Kills an entry process with requests and tasks in progress.
    fn kill_entry(&mut self) {
        let entry: DevInstance = self.installation.entries.remove(0);
        self.versions.remove(0);
        entry.kill();
        self.publish_addrs();
    }

    /// Takes the key-value service down for a while; the first write before it loses its answer.
    async fn outage(&mut self) {
        let faults = &self.installation.platform.kv.faults;
        faults.lose_answers(3);
        tokio::time::sleep(Duration::from_secs(1)).await;
        faults.set_down(true);
        tokio::time::sleep(OUTAGE).await;
        faults.set_down(false);
    }

    async fn submit_jobs(&self) -> Result<u32, DevError> {
        let site = self.installation.platform.site;
        let [plan, monitor] = site.batch_classes();
        let [_, team] = site.teams();
        let mut tasks = 0;
        for (n, (class, count, run_ms)) in [
            (plan, 24_u32, 3000_u64),
            (monitor, 12, 15_000),
            (plan, 30, 500),
        ]
        .into_iter()
        .enumerate()
        {
            let body = serde_json::json!({
                "key": format!("check-{n}"),
                "team": team,
                "class": class,
                "kind": format!("{class}-kind"),
                "tasks": count,
                "resources": { "cpu": 4000, "memory": 8000, "accelerators": 0 },
                "run_time": run_ms,
                "can_checkpoint": true,
            });
            self.installation.call_admin("/jobs", &body).await?;
            tasks += count;
        }
        Ok(tasks)
    }

    async fn until_finished(&self, tasks: u32) -> u32 {
        let deadline = Instant::now() + BATCH_LIMIT;
        loop {
            let finished = self.finished().await.unwrap_or_default();
            if finished >= tasks || Instant::now() >= deadline {
                return finished;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    async fn finished(&self) -> Option<u32> {
        let jobs = self
            .installation
            .call_admin("/jobs/list", &serde_json::json!({}))
            .await
            .ok()?;
        let done = jobs
            .as_array()?
            .iter()
            .filter_map(|job| job.get("done")?.as_u64());
        u32::try_from(done.sum::<u64>()).ok()
    }
}

/// Sends requests of all classes, some of them non-idempotent, until told to stop.
async fn steady_load(shared: Arc<Shared>, site: super::Site) {
    let client = LoadClient::new();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut requests = JoinSet::new();
    let mut number = 0_u64;
    while !shared.stop.load(Ordering::SeqCst) {
        number += 1;
        let addrs = shared.addrs.lock().clone();
        let addr = addrs[rng.random_range(0..addrs.len())].clone();
        let class = rng.random_range(0..3_usize);
        let ask = Ask {
            id: format!("load-{number}"),
            service: site.service().to_string(),
            class: site.classes()[class].to_string(),
            team: site.teams()[rng.random_range(0..2)].to_string(),
            deadline: Millis(2000),
            work: Millis(rng.random_range(2..40)),
            answer_bytes: rng.random_range(0..40_000),
            key: number.is_multiple_of(5).then(|| format!("key-{number}")),
        };
        let (client, shared) = (client.clone(), shared.clone());
        requests.spawn(async move {
            let answer = client.send(&addr, ask).await;
            shared.answers.lock().push(answer);
        });
        while requests.try_join_next().is_some() {}
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    while requests.join_next().await.is_some() {}
}
