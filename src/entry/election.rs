//! Leader election: watches the leader key in the store and claims it while nobody holds it.

use std::time::Duration;

use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE, WATCH_WAIT};
use super::keys::{LEADER, TERMS};
use super::ports::{Change, Item, Transaction, TxnOutcome, WatchResponse};
use super::shared::{LeaderInfo, Shared};
use super::term::{Claim, run_term};
use super::terms::{FormerTerms, StoredTerms};
use crate::prelude::*;

/// Lease of the leader key. A successor can take over this long after a leader crashes.
pub(super) const LEADER_LEASE: Millis = Millis(1600);

/// Time for which a leader that cannot reach the store keeps renewing the leases of its workers,
/// so that a short outage of the store ends no runs.
pub(super) const STORE_OUTAGE_TOLERANCE: Millis = Millis(4000);

/// Time after the last renewal of its key beyond which a leader grants no lease to workers. Runs end
/// then in an outage of the store; a longer time would keep the tasks of lost workers waiting longer
/// when their leader is lost as well.
pub const LEASE_HORIZON: Millis = Millis(LEADER_LEASE.0 + 6500);

/// Timeout of a write of the leader key.
const CLAIM_TIMEOUT: Millis = Millis(700);

/// Number of different delays before a claim, so that processes do not all claim at once.
const CLAIM_DELAY_STEPS: u64 = 8;

/// Difference between two such delays in milliseconds: about the time of a write within a zone.
const CLAIM_DELAY_STEP_MS: u64 = 7;

/// Cores from which a VM claims without extra delay; the largest entry VMs of the largest sites
/// have as many.
const LARGE_VM_CORES: f64 = 0.5;

/// Cores below which the extra delay does not grow any more.
const SMALLEST_VM_CORES: f64 = 0.05;

/// Extra delay in seconds for each multiple by which a large VM exceeds this one. It is longer than
/// all steps together, so that the size of a VM takes precedence over its address.
const SMALL_VM_DELAY_S: f64 = 0.06;

/// Watches the leader key and claims it while nobody holds it. After `cancel` is triggered it
/// claims no more.
pub(super) async fn run_elections(shared: Arc<Shared>, cancel: CancellationToken) {
    let mut after = None;
    loop {
        let Some(at) = after else {
            after = read_leader(&shared, &cancel).await;
            if after.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            continue;
        };
        let watch = shared.store.watch(LEADER, at, WATCH_WAIT).await;
        shared.record_store_call("watch", &watch);
        after = match watch {
            // Without a leader the key is read again and claimed.
            Ok(WatchResponse::Changes(changes, at)) if changes.is_empty() => {
                shared.leader_info.read().is_some().then_some(at)
            }
            Ok(WatchResponse::Changes(changes, at)) => {
                let last = changes.into_iter().next_back();
                match last {
                    Some(Change::Put(item)) if !is_stale(&shared, &item) => {
                        set_leader(&shared, Some(&item));
                        Some(at)
                    }
                    _ => {
                        set_leader(&shared, None);
                        None
                    }
                }
            }
            Ok(WatchResponse::Compacted) => None,
            Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                None
            }
        };
    }
}

/// Returns the delay before a claim. Larger VMs claim first, because the work of a leader is CPU
/// bound; VMs of equal size are spread by a hash of their address.
pub fn claim_delay(address: &str, processors: f64) -> Duration {
    let hash = address.bytes().fold(0u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let size_deficit = (LARGE_VM_CORES / processors.max(SMALLEST_VM_CORES) - 1.0).max(0.0);
    Duration::from_millis(hash % CLAIM_DELAY_STEPS * CLAIM_DELAY_STEP_MS)
        + Duration::from_secs_f64(size_deficit * SMALL_VM_DELAY_S)
}

/// Reads the leader key and claims it if nobody holds it. Returns the revision to watch from.
async fn read_leader(shared: &Arc<Shared>, cancel: &CancellationToken) -> Option<u64> {
    let read = shared.store.get(LEADER, GET_TIMEOUT).await;
    shared.record_store_call("get", &read);
    let (item, at) = read.ok()?;
    if let Some(item) = item {
        if !is_stale(shared, &item) {
            set_leader(shared, Some(&item));
            return Some(at.max(item.revision));
        }
        // The key belongs to an earlier process at this address, which has exited.
        let removed = remove_leader_key(shared, item.revision).await;
        removed.ok()?;
    }
    set_leader(shared, None);
    if shared.queues.read().is_none() {
        return None;
    }
    if cancel.is_cancelled() {
        return Some(at);
    }
    tokio::time::sleep(claim_delay(&shared.cfg.peer, shared.cfg.processors)).await;
    let read = shared.store.get(LEADER, GET_TIMEOUT).await;
    shared.record_store_call("get", &read);
    if let (None, _) = read.ok()? {
        claim(shared, cancel).await;
    }
    None
}

/// Removes the leader key if it still has this revision.
pub(super) async fn remove_leader_key(
    shared: &Shared,
    revision: u64,
) -> Result<TxnOutcome, StoreError> {
    let txn = Transaction {
        expected: vec![(LEADER.to_string(), revision)],
        removes: vec![LEADER.to_string()],
        ..Transaction::default()
    };
    let removed = shared.store.commit(&txn, CLAIM_TIMEOUT).await;
    shared.record_store_call("commit", &removed);
    removed
}

fn is_stale(shared: &Shared, item: &Item) -> bool {
    decode(item).is_some_and(|holder| {
        holder.address == shared.cfg.peer && holder.incarnation != shared.incarnation
    })
}

fn decode(item: &Item) -> Option<LeaderInfo> {
    match rmp_serde::from_slice(&item.value) {
        Ok(holder) => Some(holder),
        Err(err) => {
            tracing::error!(key = item.key, revision = item.revision, %err, "value of the leader key is invalid; the leader is unknown");
            None
        }
    }
}

fn set_leader(shared: &Shared, item: Option<&Item>) {
    let holder = item.and_then(decode);
    let mut current = shared.leader_info.write();
    if *current == holder {
        return;
    }
    match (&holder, item) {
        (Some(holder), Some(item)) => {
            tracing::info!(leader = holder.vm, revision = item.revision, "leader known");
        }
        _ => tracing::info!("no leader"),
    }
    *current = holder;
}

async fn claim(shared: &Arc<Shared>, cancel: &CancellationToken) {
    let ttl = LEADER_LEASE.max(shared.cfg.shortest_lease);
    let sent_at = shared.clock.now();
    let lease = shared.store.grant(ttl).await;
    shared.record_store_call("grant", &lease);
    let Ok(lease) = lease else {
        return;
    };
    let holder = LeaderInfo {
        vm: shared.cfg.name.clone(),
        address: shared.cfg.peer.clone(),
        incarnation: shared.incarnation,
    };
    let Ok(former) = StoredTerms::read(shared).await else {
        return;
    };
    let terms = former.followed_by(holder.clone());
    let encoded = rmp_serde::to_vec_named(&holder)
        .and_then(|value| Ok((value, rmp_serde::to_vec_named(&terms)?)));
    let (value, terms) = match encoded {
        Ok(values) => values,
        Err(err) => {
            tracing::error!(%err, "leader key and terms cannot be encoded; leadership is not claimed");
            return;
        }
    };
    let txn = Transaction {
        expected: vec![
            (LEADER.to_string(), 0),
            (TERMS.to_string(), former.revision),
        ],
        writes: vec![
            (LEADER.to_string(), value, lease),
            (TERMS.to_string(), terms, 0),
        ],
        removes: Vec::new(),
    };
    let outcome = shared.store.commit(&txn, CLAIM_TIMEOUT).await;
    shared.record_store_call("commit", &outcome);
    if let Ok(TxnOutcome::Done(revision)) = outcome {
        *shared.leader_info.write() = Some(holder.clone());
        let claim = Claim {
            lease,
            fence: revision,
            claimed_at: sent_at,
            ttl,
            info: holder,
        };
        run_term(shared, claim, FormerTerms::new(former, revision), cancel).await;
    }
}
