//! One term of leadership, from the claim of the key to its loss.

use std::time::Duration;

use tokio::task::JoinSet;

use super::committer::run_committer;
use super::config_watch::{RETRY_PAUSE, WATCH_WAIT};
use super::dispatch::run_planner;
use super::election::{OUTAGE_HOLD, remove_key};
use super::keys::LEADER;
use super::leader::Leader;
use super::load::load;
use super::maintenance::{clear_outdated, keep_learned, tick};
use super::ports::{Change, TxnOutcome, WatchResponse};
use super::shared::Shared;
use super::watches::{watch_intake, watch_workers};
use crate::prelude::*;
use crate::scheduler::Scheduler;

/// Time between two renewals of the leader's lease: three fit into it besides the first.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// Time for one renewal.
const RENEW_TIMEOUT: Millis = Millis(500);

/// Writers of records; each has one transaction under way.
const COMMITTERS: usize = 2;

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
    let sched = Scheduler::new(timing, fence, queues, began);
    let leader = Leader::new(shared.clone(), fence, sched, cancel.child_token());
    let leader = Arc::new(leader);
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
        leader.dispatch();
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
        Ok(TxnOutcome::Done(_)) => tracing::info!(fence = leader.fence, "leadership handed over"),
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
        let until = leader.valid_until();
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
            Ok(WatchResponse::Changes(changes, at)) => {
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
            Ok(WatchResponse::Compacted) => {
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
