//! A term of leadership, from the claim of the leader key to its loss.

use std::time::Duration;

use tokio::task::JoinSet;

use super::claim::{Claim, remove_leader_key};
use super::committer::run_committer;
use super::config_watch::{RETRY_PAUSE, WATCH_WAIT};
use super::dispatch::run_planner;
use super::election::STORE_OUTAGE_TOLERANCE;
use super::former_terms::FormerTerms;
use super::keys::LEADER;
use super::leader::Leader;
use super::leader_load::{busy_text, log_leader_load};
use super::load::load_state;
use super::maintenance::{
    log_queue_loads, remove_cancel_marks, remove_outdated_jobs, save_interference, tick,
};
use super::ports::{Change, TxnOutcome, WatchResponse};
use super::shared::Shared;
use super::terms::{end_former_terms, write_hand_over, write_terms};
use super::watches::{watch_intake, watch_workers};
use crate::prelude::*;
use crate::scheduler::Scheduler;
use crate::telemetry::Activity;

/// Time between two renewals of the lease of the leader key; three more fit into the lease after
/// the first.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of one renewal.
const RENEW_TIMEOUT: Millis = Millis(500);

/// Leads under a claim that has taken effect, until the leader key is lost or `cancel` is triggered.
/// `fence` is the revision of the key.
pub(super) async fn run_term(
    shared: &Arc<Shared>,
    claim: Claim,
    fence: u64,
    cancel: &CancellationToken,
) {
    let Claim {
        info,
        lease,
        claimed_at,
        ttl,
        former,
    } = claim;
    let Some(queues) = shared.queues.read().clone() else {
        return;
    };
    let number = info.claim;
    let term_ended = cancel.child_token();
    let has_begun = shared
        .claims
        .lock()
        .begin(number, fence, term_ended.clone());
    if !has_begun {
        tracing::info!(fence, claim = %number, "claim was withdrawn for a successor; it does not become a term");
        return;
    }
    *shared.leader_info.write() = Some(info.clone());
    let started_at = shared.clock.now();
    let former = FormerTerms::new(former, fence, started_at);
    let timing = shared.cfg.timing.clone();
    let sched = Scheduler::new(timing, fence, queues, started_at);
    let leader = Leader::new(shared.clone(), fence, info, former, sched, term_ended);
    let leader = Arc::new(leader);
    leader.extend(claimed_at, ttl);
    shared.metrics.leaderships.inc();
    tracing::info!(fence, claim = %number, "leadership taken");
    let busy_before = Activity::ALL.map(Activity::total);
    let mut tasks = JoinSet::new();
    tasks.spawn(Activity::Lease.measure(renew_lease(leader.clone(), lease, ttl)));
    tasks.spawn(Activity::Lease.measure(watch_key(leader.clone())));
    tasks.spawn(Activity::Lease.measure(end_former_terms(leader.clone())));
    let loaded = tokio::select! {
        loaded = Activity::Load.measure(load_state(&leader)) => loaded,
        () = leader.term_ended.cancelled() => None,
    };
    if let Some((intake_at, workers_at)) = loaded {
        let (jobs, workers, runs) = leader.sched.lock().summary();
        let took = shared.clock.now().since(started_at);
        let busy = busy_text(&busy_before, &Activity::ALL.map(Activity::total));
        tracing::info!(
            fence,
            jobs,
            workers,
            runs,
            took_ms = took.0,
            busy_ms = busy,
            "state loaded"
        );
        // The configuration may have changed in the meantime.
        if let Some(queues) = shared.queues.read().clone() {
            leader.update(|sched, now| sched.set_queues(queues, now));
        }
        *shared.leader.write() = Some(leader.clone());
        tasks.spawn(Activity::Watch.measure(watch_intake(leader.clone(), intake_at)));
        tasks.spawn(Activity::Watch.measure(watch_workers(leader.clone(), workers_at)));
        tasks.spawn(Activity::Tick.measure(tick(leader.clone())));
        tasks.spawn(Activity::Tick.measure(log_queue_loads(leader.clone())));
        tasks.spawn(Activity::Plan.measure(run_planner(leader.clone())));
        tasks.spawn(Activity::Record.measure(save_interference(leader.clone())));
        tasks.spawn(Activity::Record.measure(remove_outdated_jobs(leader.clone())));
        tasks.spawn(Activity::Record.measure(remove_cancel_marks(leader.clone())));
        tasks.spawn(Activity::Record.measure(run_committer(leader.clone())));
        tasks.spawn(Activity::Record.measure(write_terms(leader.clone())));
        tasks.spawn(log_leader_load(leader.clone()));
        leader.dispatch();
        end_with_tasks(&leader, &mut tasks).await;
    }
    *shared.leader.write() = None;
    leader.term_ended.cancel();
    tasks.shutdown().await;
    shared.claims.lock().end(number, shared.clock.now());
    // The next leader needs the connections that a worker takes, and so does the one after it.
    shared.workers.disconnect();
    tracing::info!(fence, "leadership ended");
    if cancel.is_cancelled() {
        hand_over(&leader).await;
    }
}

/// Waits for the end of the term. A task that ends unexpectedly ends the term, since a leader
/// without its planner or committer would keep the key and start nothing.
async fn end_with_tasks(leader: &Leader, tasks: &mut JoinSet<()>) {
    loop {
        tokio::select! {
            () = leader.term_ended.cancelled() => return,
            Some(ended) = tasks.join_next() => if let Err(err) = ended {
                tracing::error!(fence = leader.fence, %err, "task of the leader ended unexpectedly");
                leader.term_ended.cancel();
                return;
            }
        }
    }
}

/// Removes the leader key, so that a successor does not wait for the lease to expire.
async fn hand_over(leader: &Leader) {
    let removed = match write_hand_over(leader).await {
        Ok(TxnOutcome::Conflict(_)) => remove_leader_key(&leader.shared, leader.fence).await,
        removed => removed,
    };
    match removed {
        Ok(TxnOutcome::Done(_)) => tracing::info!(fence = leader.fence, "leadership handed over"),
        other => tracing::warn!(
            fence = leader.fence,
            ?other,
            "leader key not removed; a successor waits for the lease to expire"
        ),
    }
}

/// Renews the lease of the leader key, and ends the term if it has expired or the store is
/// unavailable for too long.
async fn renew_lease(leader: Arc<Leader>, lease: u64, ttl: Millis) {
    let shared = &leader.shared;
    loop {
        let sent = shared.clock.now();
        let renewed = shared.store.renew(lease, RENEW_TIMEOUT).await;
        shared.record_store_call("renew", &renewed);
        match renewed {
            Ok(true) => leader.extend(sent, ttl),
            Ok(false) => {
                tracing::warn!(fence = leader.fence, "leader's lease has ended");
                leader.term_ended.cancel();
                return;
            }
            Err(_) => {}
        }
        let valid = leader.has_valid_lease();
        leader.update(|sched, _| sched.allow_starts(valid));
        let until = leader.valid_until();
        if shared.clock.now() > until + STORE_OUTAGE_TOLERANCE {
            tracing::warn!(
                fence = leader.fence,
                "store has been unavailable for too long; leadership is given up"
            );
            leader.term_ended.cancel();
            return;
        }
        let pause = if renewed.is_ok() {
            RENEW_INTERVAL
        } else {
            RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Detects that the leader key was removed or taken over, which a renewal does not show.
async fn watch_key(leader: Arc<Leader>) {
    let shared = &leader.shared;
    let mut after = leader.fence;
    loop {
        let watch = shared.store.watch(LEADER, after, WATCH_WAIT).await;
        shared.record_store_call("watch", &watch);
        match watch {
            Ok(WatchResponse::Changes(changes, at)) => {
                let key_lost = changes.iter().any(|change| match change {
                    Change::Put(item) => item.key == LEADER && item.revision != leader.fence,
                    Change::Removed(key) => key == LEADER,
                });
                if key_lost {
                    tracing::warn!(fence = leader.fence, at, "leader's key is lost");
                    leader.term_ended.cancel();
                    return;
                }
                after = at;
            }
            Ok(WatchResponse::Compacted) => {
                let read = shared.store.get(LEADER, RENEW_TIMEOUT).await;
                shared.record_store_call("get", &read);
                match read {
                    Ok((Some(item), at)) if item.revision == leader.fence => after = at,
                    Ok(_) => {
                        tracing::warn!(fence = leader.fence, "leader's key is lost");
                        leader.term_ended.cancel();
                        return;
                    }
                    Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
                }
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
