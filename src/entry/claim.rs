//! Claims of the leader key: writes that make this process the leader if nobody leads.

use super::election::LEADER_LEASE;
use super::keys::{LEADER, TERMS};
use super::ports::{Transaction, TxnOutcome};
use super::shared::{LeaderInfo, Shared};
use super::stored_terms::StoredTerms;
use crate::prelude::*;

/// Timeout of a write of the leader key.
const CLAIM_TIMEOUT: Millis = Millis(700);

/// A claim of the leader key, as it is written.
pub(super) struct Claim {
    /// Value of the key.
    pub info: LeaderInfo,
    /// Lease of the key.
    pub lease: u64,
    /// Time at which the lease was requested.
    pub claimed_at: Millis,
    /// Length of the lease.
    pub ttl: Millis,
    /// Terms that the claim follows.
    pub former: StoredTerms,
}

impl Claim {
    /// Requests a lease and reads the terms that the claim follows; `None` if the store does not
    /// answer.
    pub async fn prepare(shared: &Shared) -> Option<Self> {
        let ttl = LEADER_LEASE.max(shared.cfg.shortest_lease);
        let claimed_at = shared.clock.now();
        let lease = shared.store.grant(ttl).await;
        shared.record_store_call("grant", &lease);
        let lease = lease.ok()?;
        let former = StoredTerms::read(shared).await.ok()?;
        // The claim is dated after the read: it bounds the end of the terms that were handed over.
        let number = shared.claims.lock().open(shared.clock.now());
        let info = LeaderInfo {
            vm: shared.cfg.name.clone(),
            address: shared.cfg.peer.clone(),
            incarnation: shared.incarnation,
            claim: number,
        };
        Some(Self {
            info,
            lease,
            claimed_at,
            ttl,
            former,
        })
    }

    /// Writes the claim. The outcome has the revision of the key, which is the fencing token.
    pub async fn write(&self, shared: &Shared) -> Result<TxnOutcome, StoreError> {
        let invalid = |err: rmp_serde::encode::Error| StoreError::Invalid(err.to_string());
        let value = rmp_serde::to_vec_named(&self.info).map_err(invalid)?;
        let terms = self.former.followed_by(self.info.clone());
        let terms = rmp_serde::to_vec_named(&terms).map_err(invalid)?;
        let txn = Transaction {
            expected: vec![
                (LEADER.to_string(), 0),
                (TERMS.to_string(), self.former.revision),
            ],
            writes: vec![
                (LEADER.to_string(), value, self.lease),
                (TERMS.to_string(), terms, 0),
            ],
            removes: Vec::new(),
        };
        commit(shared, &txn).await
    }

    /// Takes a claim back that has taken effect at this revision and has not become a term.
    pub async fn take_back(
        &self,
        shared: &Shared,
        revision: u64,
    ) -> Result<TxnOutcome, StoreError> {
        shared.claims.lock().withdraw(self.info.claim);
        let value = rmp_serde::to_vec_named(&self.former.terms)
            .map_err(|err| StoreError::Invalid(err.to_string()))?;
        let txn = Transaction {
            expected: vec![
                (LEADER.to_string(), revision),
                (TERMS.to_string(), revision),
            ],
            writes: vec![(TERMS.to_string(), value, 0)],
            removes: vec![LEADER.to_string()],
        };
        commit(shared, &txn).await
    }
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
    commit(shared, &txn).await
}

async fn commit(shared: &Shared, txn: &Transaction) -> Result<TxnOutcome, StoreError> {
    let outcome = shared.store.commit(txn, CLAIM_TIMEOUT).await;
    shared.record_store_call("commit", &outcome);
    outcome
}
