//! Leader election: watches the leader key in the store and claims it while nobody holds it.

use std::time::Duration;

use super::claim::{Claim, remove_leader_key};
use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE, WATCH_WAIT};
use super::keys::LEADER;
use super::ports::{Change, Item, TxnOutcome, WatchResponse};
use super::shared::{LeaderInfo, Shared};
use super::term::run_term;
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
    let mut election = Election {
        shared,
        cancel,
        unanswered: None,
    };
    election.run().await;
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

/// What this process does about the leader key.
struct Election {
    shared: Arc<Shared>,
    cancel: CancellationToken,
    /// The last claim if its answer was lost: it may have taken effect, or still do so.
    unanswered: Option<Claim>,
}

/// Who holds the leader key.
enum Holder {
    /// Another process, or one that cannot be decoded.
    Other,
    /// This process, by a claim of this number.
    Own(ClaimNumber),
    /// A process that was at the address of this one before.
    Predecessor,
}

impl Election {
    async fn run(&mut self) {
        let mut after = None;
        loop {
            let Some(at) = after else {
                after = self.read_leader().await;
                if after.is_none() {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                continue;
            };
            let watch = self.shared.store.watch(LEADER, at, WATCH_WAIT).await;
            self.shared.record_store_call("watch", &watch);
            after = match watch {
                // Without a leader the key is read again and claimed.
                Ok(WatchResponse::Changes(changes, at)) if changes.is_empty() => {
                    let is_led = self.shared.leader_info.read().is_some();
                    is_led.then_some(at)
                }
                Ok(WatchResponse::Changes(changes, at)) => {
                    let followed = self.follow(changes.into_iter().next_back());
                    followed.then_some(at)
                }
                Ok(WatchResponse::Compacted) => None,
                Err(_) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    None
                }
            };
        }
    }

    /// Applies the last change of the leader key; returns whether another process leads now.
    fn follow(&self, change: Option<Change>) -> bool {
        let item = match change {
            Some(Change::Put(item)) if matches!(self.holder(&item), Holder::Other) => Some(item),
            _ => None,
        };
        set_leader(&self.shared, item.as_ref());
        item.is_some()
    }

    fn holder(&self, item: &Item) -> Holder {
        match decode(item) {
            Some(info) if info.address != self.shared.cfg.peer => Holder::Other,
            Some(info) if info.incarnation != self.shared.incarnation => Holder::Predecessor,
            Some(info) => Holder::Own(info.claim),
            None => Holder::Other,
        }
    }

    /// Reads the leader key and claims it if nobody holds it. Returns the revision to watch from.
    async fn read_leader(&mut self) -> Option<u64> {
        let shared = self.shared.clone();
        let read = shared.store.get(LEADER, GET_TIMEOUT).await;
        shared.record_store_call("get", &read);
        let (item, at) = read.ok()?;
        if let Some(item) = item {
            match self.holder(&item) {
                Holder::Other => {
                    set_leader(&shared, Some(&item));
                    return Some(at.max(item.revision));
                }
                Holder::Own(number) => {
                    self.resolve(number, item.revision).await;
                    return None;
                }
                Holder::Predecessor => {
                    let removed = remove_leader_key(&shared, item.revision).await;
                    removed.ok()?;
                }
            }
        }
        set_leader(&shared, None);
        if shared.queues.read().is_none() {
            return None;
        }
        if self.cancel.is_cancelled() {
            return Some(at);
        }
        tokio::time::sleep(claim_delay(&shared.cfg.peer, shared.cfg.processors)).await;
        let read = shared.store.get(LEADER, GET_TIMEOUT).await;
        shared.record_store_call("get", &read);
        if let (None, _) = read.ok()? {
            self.claim().await;
        }
        None
    }

    /// Claims the leader key, and leads if the claim takes effect.
    async fn claim(&mut self) {
        let Some(claim) = Claim::prepare(&self.shared).await else {
            return;
        };
        // An earlier claim can no longer become a term.
        self.unanswered = None;
        match claim.write(&self.shared).await {
            Ok(TxnOutcome::Done(revision)) => {
                run_term(&self.shared, claim, revision, &self.cancel).await;
            }
            Err(StoreError::AnswerLost(err)) => {
                tracing::info!(claim = %claim.info.claim, err, "claim of the leader key is not answered; the key is read again");
                self.unanswered = Some(claim);
            }
            Err(StoreError::Invalid(err)) => {
                tracing::error!(claim = %claim.info.claim, err, "claim of the leader key is invalid; leadership is not claimed");
                self.shared.claims.lock().withdraw(claim.info.claim);
            }
            outcome => {
                tracing::debug!(claim = %claim.info.claim, ?outcome, "claim of the leader key was refused");
                self.shared.claims.lock().withdraw(claim.info.claim);
            }
        }
    }

    /// Handles a leader key of this process while it does not lead: the claim whose answer was lost
    /// has taken effect, and others would wait for the end of its lease.
    async fn resolve(&mut self, number: ClaimNumber, revision: u64) {
        let shared = self.shared.clone();
        let claim = self.unanswered.take();
        let outcome = match claim.filter(|claim| claim.info.claim == number) {
            Some(claim) if !self.cancel.is_cancelled() => {
                tracing::info!(claim = %number, revision, "claim without an answer has taken effect; it is taken up");
                run_term(&shared, claim, revision, &self.cancel).await;
                return;
            }
            Some(claim) => claim.take_back(&shared, revision).await,
            None => remove_leader_key(&shared, revision).await,
        };
        tracing::info!(claim = %number, revision, ?outcome, "leader key of this process is removed; it does not lead");
    }
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
