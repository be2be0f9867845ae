//! One term of leadership, from the claim of the key to its loss.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::committer::run_committer;
use super::config_watch::{RETRY_PAUSE, WATCH_WAIT};
use super::election::{OUTAGE_HOLD, remove_key};
use super::keys::{INTAKE, LEADER, LEARNED, cancel_key, job_key, record_key};
use super::load::{apply_intake, apply_worker, load, load_workers};
use super::ports::{Change, News, Outcome, Transaction};
use super::pump::run_planner;
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::Scheduler;

/// Time between two renewals of the leader's lease: three fit into it besides the first.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// Time for one renewal.
const RENEW_TIMEOUT: Millis = Millis(500);

/// Part of the lease that is left unused, for the delay of orders under way.
const LEASE_MARGIN: Millis = Millis(150);

/// Time between two rounds of what only time changes.
const TICK: Duration = Duration::from_millis(100);

/// Time between two removals of outdated jobs: with `CLEAR_JOBS` 50 jobs a second, more than the
/// largest site accepts.
const CLEAR_EVERY: Duration = Duration::from_millis(200);

/// Jobs in one removal: three keys each, within the store's 32 entries beside the leader's key.
const CLEAR_JOBS: usize = 10;

/// Pause between two watches of the workers, whose heartbeats change many entries a second; a
/// drain must be known within 2 s.
const WORKERS_GATHER: Duration = Duration::from_millis(350);

/// Time between two writes of what was learned, some 30 KB each.
const LEARNED_EVERY: Duration = Duration::from_secs(3);

/// Writers of records; each has one transaction under way.
const COMMITTERS: usize = 2;

/// A leader's state and the signals between its tasks.
pub(super) struct Leader {
    pub shared: Arc<Shared>,
    pub fence: u64,
    pub sched: Mutex<Scheduler>,
    pub dirty: Notify,
    pub changed: Notify,
    pub lost: CancellationToken,
    pub holds: Mutex<HashMap<WorkerId, Arc<Notify>>>,
    valid_until: AtomicU64,
}

impl Leader {
    /// Tells whether the lease still covers orders that are sent now.
    pub fn is_valid(&self) -> bool {
        self.shared.clock.now().0 < self.valid_until.load(Ordering::Relaxed)
    }

    /// Changes the scheduler's state and sends what follows.
    pub fn change(self: &Arc<Self>, f: impl FnOnce(&mut Scheduler, Millis)) {
        let now = self.shared.clock.now();
        f(&mut self.sched.lock(), now);
        self.pump();
    }

    fn extend(&self, until: Millis) {
        let until = until.saturating_sub(LEASE_MARGIN);
        self.valid_until.store(until.0, Ordering::Relaxed);
    }
}

/// Leads until the key is lost or `cancel` fires.
pub(super) async fn lead(
    shared: &Arc<Shared>,
    lease: u64,
    fence: u64,
    valid_until: Millis,
    ttl: Millis,
    cancel: &CancellationToken,
) {
    let Some(queues) = shared.queues.read().clone() else {
        return;
    };
    let began = shared.clock.now();
    let timing = shared.cfg.timing.clone();
    let leader = Arc::new(Leader {
        shared: shared.clone(),
        fence,
        sched: Mutex::new(Scheduler::new(timing, fence, queues, began)),
        dirty: Notify::new(),
        changed: Notify::new(),
        lost: cancel.child_token(),
        holds: Mutex::new(HashMap::new()),
        valid_until: AtomicU64::new(0),
    });
    leader.extend(valid_until);
    shared.metrics.leaderships.inc();
    tracing::info!(fence, "leadership taken");
    let mut tasks = JoinSet::new();
    tasks.spawn(renew(leader.clone(), lease, ttl));
    tasks.spawn(watch_key(leader.clone()));
    let loaded = tokio::select! {
        loaded = load(&leader) => loaded,
        () = leader.lost.cancelled() => None,
    };
    if let Some((intake_at, workers_at)) = loaded {
        let (jobs, workers, runs) = leader.sched.lock().summary();
        let took = shared.clock.now().since(began);
        tracing::info!(fence, jobs, workers, runs, took_ms = took.0, "state loaded");
        // A new configuration may have come in the meantime.
        if let Some(queues) = shared.queues.read().clone() {
            leader.sched.lock().set_queues(queues);
        }
        *shared.leader.write() = Some(leader.clone());
        tasks.spawn(watch_intake(leader.clone(), intake_at));
        tasks.spawn(watch_workers(leader.clone(), workers_at));
        tasks.spawn(tick(leader.clone()));
        tasks.spawn(run_planner(leader.clone()));
        tasks.spawn(keep_learned(leader.clone()));
        tasks.spawn(clear_outdated(leader.clone()));
        for _ in 0..COMMITTERS {
            tasks.spawn(run_committer(leader.clone()));
        }
        leader.pump();
        leader.lost.cancelled().await;
    }
    *shared.leader.write() = None;
    leader.lost.cancel();
    tasks.shutdown().await;
    tracing::info!(fence, "leadership ended");
    if cancel.is_cancelled() {
        hand_over(&leader).await;
    }
}

/// Removes the key, so that a successor need not wait for the lease to run out.
async fn hand_over(leader: &Leader) {
    let removed = remove_key(&leader.shared, leader.fence).await;
    match removed {
        Ok(Outcome::Done(_)) => tracing::info!(fence = leader.fence, "leadership handed over"),
        other => tracing::warn!(fence = leader.fence, ?other, "leader's key not removed"),
    }
}

async fn renew(leader: Arc<Leader>, lease: u64, ttl: Millis) {
    let shared = &leader.shared;
    loop {
        let sent = shared.clock.now();
        let renewed = shared.store.renew(lease, RENEW_TIMEOUT).await;
        shared.note_store("renew", &renewed);
        match renewed {
            Ok(true) => leader.extend(sent + ttl),
            Ok(false) => {
                tracing::warn!(fence = leader.fence, "leader's lease has ended");
                leader.lost.cancel();
                return;
            }
            Err(_) => {}
        }
        let valid = leader.is_valid();
        leader.change(|sched, _| sched.allow_starts(valid));
        let until = Millis(leader.valid_until.load(Ordering::Relaxed));
        if shared.clock.now() > until + OUTAGE_HOLD {
            tracing::warn!(
                fence = leader.fence,
                "store is away for too long; leadership given up"
            );
            leader.lost.cancel();
            return;
        }
        let pause = if renewed.is_ok() {
            RENEW_EVERY
        } else {
            RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Notices that the key was removed or taken, which a renewal does not show.
async fn watch_key(leader: Arc<Leader>) {
    let shared = &leader.shared;
    let mut after = leader.fence;
    loop {
        let watch = shared.store.watch(LEADER, after, WATCH_WAIT).await;
        shared.note_store("watch", &watch);
        match watch {
            Ok(News::Changes(changes, at)) => {
                let taken = changes.iter().any(|change| match change {
                    Change::Put(item) => item.key == LEADER && item.revision != leader.fence,
                    Change::Removed(key) => key == LEADER,
                });
                if taken {
                    tracing::warn!(fence = leader.fence, at, "leader's key is lost");
                    leader.lost.cancel();
                    return;
                }
                after = at;
            }
            Ok(News::Lost) => {
                let read = shared.store.get(LEADER, RENEW_TIMEOUT).await;
                shared.note_store("get", &read);
                match read {
                    Ok((Some(item), at)) if item.revision == leader.fence => after = at,
                    Ok(_) => {
                        tracing::warn!(fence = leader.fence, "leader's key is lost");
                        leader.lost.cancel();
                        return;
                    }
                    Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
                }
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn watch_intake(leader: Arc<Leader>, mut after: u64) {
    let shared = &leader.shared;
    loop {
        let watch = shared.store.watch(INTAKE, after, WATCH_WAIT).await;
        shared.note_store("watch", &watch);
        match watch {
            Ok(News::Changes(changes, at)) => {
                after = at;
                if changes.is_empty() {
                    continue;
                }
                let wall = shared.clock.wall();
                leader.change(|sched, now| {
                    for change in &changes {
                        if let Change::Put(item) = change {
                            apply_intake(sched, item, None, now, wall);
                        }
                    }
                });
            }
            Ok(News::Lost) => match super::load::reload_intake(&leader).await {
                Some(at) => after = at,
                None => tokio::time::sleep(RETRY_PAUSE).await,
            },
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn watch_workers(leader: Arc<Leader>, mut after: u64) {
    let shared = &leader.shared;
    let prefix = shared.dialect.workers_prefix().to_string();
    loop {
        let watch = shared.store.watch(&prefix, after, WATCH_WAIT).await;
        shared.note_store("watch", &watch);
        match watch {
            Ok(News::Changes(changes, at)) => {
                after = at;
                if changes.is_empty() {
                    continue;
                }
                leader.change(|sched, now| {
                    for change in &changes {
                        apply_worker(shared, sched, change, now);
                    }
                });
                tokio::time::sleep(WORKERS_GATHER).await;
            }
            Ok(News::Lost) => match load_workers(&leader).await {
                Some(at) => after = at,
                None => tokio::time::sleep(RETRY_PAUSE).await,
            },
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Writes what was learned for a successor; it would learn for seconds at the cost of tasks.
async fn keep_learned(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(LEARNED_EVERY).await;
        let value = match leader.sched.lock().learned() {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, "what was learned cannot be encoded");
                return;
            }
        };
        let txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            writes: vec![(LEARNED.to_string(), value, 0)],
            removes: Vec::new(),
        };
        let written = leader.shared.store.commit(&txn, RENEW_TIMEOUT).await;
        leader.shared.note_store("commit", &written);
    }
}

/// Removes the keys of jobs that nobody may ask for any more.
async fn clear_outdated(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(CLEAR_EVERY).await;
        let wall = leader.shared.clock.wall();
        let ids = leader.sched.lock().outdated(wall, CLEAR_JOBS);
        if ids.is_empty() {
            continue;
        }
        let keys = |id| [job_key(id), cancel_key(id), record_key(id)];
        let txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            writes: Vec::new(),
            removes: ids.iter().flat_map(keys).collect(),
        };
        let removed = leader.shared.store.commit(&txn, RENEW_TIMEOUT).await;
        leader.shared.note_store("commit", &removed);
        match removed {
            Ok(Outcome::Done(revision)) => {
                leader.sched.lock().forget(&ids);
                tracing::info!(jobs = ids.len(), revision, "outdated jobs removed");
            }
            other => tracing::info!(jobs = ids.len(), ?other, "outdated jobs not removed"),
        }
    }
}

async fn tick(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(TICK).await;
        let valid = leader.is_valid();
        leader.change(|sched, now| {
            sched.allow_starts(valid);
            sched.tick(now);
        });
        let (jobs, workers, runs) = leader.sched.lock().summary();
        let known = &leader.shared.metrics.known;
        for (kind, count) in [("jobs", jobs), ("workers", workers), ("runs", runs)] {
            known
                .with_label_values(&[kind])
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
