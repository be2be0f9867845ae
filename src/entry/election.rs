//! Takes the leader's key in the store, and learns who holds it.

use std::time::Duration;

use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE, WATCH_WAIT};
use super::keys::LEADER;
use super::ports::{Change, Item, Transaction, TxnOutcome, WatchResponse};
use super::shared::{LeaderInfo, Shared};
use super::term::lead;
use crate::prelude::*;

/// Lease of the leader's key; a successor follows this long after a leader's sudden end.
pub(super) const LEADER_LEASE: Millis = Millis(1600);

/// Time that a leader without the store goes on renewing the runs of its workers, so that a
/// short outage of the store ends no work.
pub(super) const OUTAGE_HOLD: Millis = Millis(4000);

/// Time after a leader lost its key within which it may still renew runs.
pub const FORMER_LEADER_RENEWAL_LIMIT: Millis = Millis(LEADER_LEASE.0 + OUTAGE_HOLD.0);

/// Time for a write of the leader's key.
const CLAIM_TIMEOUT: Millis = Millis(700);

/// Steps of the wait before a claim, so that processes do not all claim at once.
const CLAIM_STEPS: u64 = 8;

/// Length of one such step, in milliseconds: about the time of a write within a zone.
const CLAIM_STEP_MS: u64 = 7;

/// Cores of a VM that claims first; the largest entry VMs of the grown sites have as many.
const LARGE_VM_CORES: f64 = 0.5;

/// Cores below which a VM waits no longer.
const SMALLEST_VM_CORES: f64 = 0.05;

/// Wait for each time that a VM is smaller than a large one; longer than all steps together.
const SMALL_VM_WAIT_S: f64 = 0.06;

/// Follows the leader's key; claims it, too, until `cancel` fires.
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
        shared.note_store("watch", &watch);
        after = match watch {
            // Without a leader the key is read again, and claimed.
            Ok(WatchResponse::Changes(changes, at)) if changes.is_empty() => {
                shared.leader_info.read().is_some().then_some(at)
            }
            Ok(WatchResponse::Changes(changes, at)) => {
                let last = changes.into_iter().next_back();
                match last {
                    Some(Change::Put(item)) if !is_stale(&shared, &item) => {
                        set_name(&shared, Some(&item));
                        Some(at)
                    }
                    _ => {
                        set_name(&shared, None);
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

/// Wait before a claim: large VMs come first, since the leader's work is bound by its processor,
/// and equal ones are spread by their address.
pub fn claim_delay(address: &str, processors: f64) -> Duration {
    let hash = address.bytes().fold(0u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let small = (LARGE_VM_CORES / processors.max(SMALLEST_VM_CORES) - 1.0).max(0.0);
    Duration::from_millis(hash % CLAIM_STEPS * CLAIM_STEP_MS)
        + Duration::from_secs_f64(small * SMALL_VM_WAIT_S)
}

/// Reads the key and claims it if nobody holds it; returns the revision to watch from.
async fn read_leader(shared: &Arc<Shared>, cancel: &CancellationToken) -> Option<u64> {
    let read = shared.store.get(LEADER, GET_TIMEOUT).await;
    shared.note_store("get", &read);
    let (item, at) = read.ok()?;
    if let Some(item) = item {
        if !is_stale(shared, &item) {
            set_name(shared, Some(&item));
            return Some(at.max(item.revision));
        }
        // The key belongs to an earlier process at this address, which has ended.
        let removed = remove_key(shared, item.revision).await;
        removed.ok()?;
    }
    set_name(shared, None);
    if shared.queues.read().is_none() {
        return None;
    }
    if cancel.is_cancelled() {
        return Some(at);
    }
    tokio::time::sleep(claim_delay(&shared.cfg.peer, shared.cfg.processors)).await;
    let read = shared.store.get(LEADER, GET_TIMEOUT).await;
    shared.note_store("get", &read);
    if let (None, _) = read.ok()? {
        claim(shared, cancel).await;
    }
    None
}

/// Removes the leader's key if it still has this revision.
pub(super) async fn remove_key(shared: &Shared, revision: u64) -> Result<TxnOutcome, StoreError> {
    let txn = Transaction {
        expected: vec![(LEADER.to_string(), revision)],
        removes: vec![LEADER.to_string()],
        ..Transaction::default()
    };
    let removed = shared.store.commit(&txn, CLAIM_TIMEOUT).await;
    shared.note_store("commit", &removed);
    removed
}

fn is_stale(shared: &Shared, item: &Item) -> bool {
    decode(item).is_some_and(|name| {
        name.address == shared.cfg.peer && name.incarnation != shared.incarnation
    })
}

fn decode(item: &Item) -> Option<LeaderInfo> {
    match rmp_serde::from_slice(&item.value) {
        Ok(name) => Some(name),
        Err(err) => {
            tracing::error!(key = item.key, revision = item.revision, %err, "leader's key cannot be read");
            None
        }
    }
}

fn set_name(shared: &Shared, item: Option<&Item>) {
    let name = item.and_then(decode);
    let mut known = shared.leader_info.write();
    if *known == name {
        return;
    }
    match (&name, item) {
        (Some(name), Some(item)) => {
            tracing::info!(leader = name.vm, revision = item.revision, "leader known");
        }
        _ => tracing::info!("no leader"),
    }
    *known = name;
}

async fn claim(shared: &Arc<Shared>, cancel: &CancellationToken) {
    let ttl = LEADER_LEASE.max(shared.cfg.shortest_lease);
    let asked = shared.clock.now();
    let lease = shared.store.grant(ttl).await;
    shared.note_store("grant", &lease);
    let Ok(lease) = lease else {
        return;
    };
    let name = LeaderInfo {
        vm: shared.cfg.name.clone(),
        address: shared.cfg.peer.clone(),
        incarnation: shared.incarnation,
    };
    let value = match rmp_serde::to_vec_named(&name) {
        Ok(value) => value,
        Err(err) => {
            tracing::error!(%err, "leader's key cannot be encoded");
            return;
        }
    };
    let txn = Transaction {
        expected: vec![(LEADER.to_string(), 0)],
        writes: vec![(LEADER.to_string(), value, lease)],
        removes: Vec::new(),
    };
    let outcome = shared.store.commit(&txn, CLAIM_TIMEOUT).await;
    shared.note_store("commit", &outcome);
    if let Ok(TxnOutcome::Done(revision)) = outcome {
        *shared.leader_info.write() = Some(name);
        lead(shared, lease, revision, asked + ttl, ttl, cancel).await;
    }
}
