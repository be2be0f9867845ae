//! What successors of a leader need to know of its term and of those before: who may still renew
//! leases of workers, and which workers do not answer.

use std::time::Duration;

use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE};
use super::keys::{LEADER, TERMS};
use super::leader::Leader;
use super::peers::{PeerCall, PeerResponse};
use super::ports::{Transaction, TxnOutcome};
use super::shared::{LeaderInfo, Shared};
use crate::prelude::*;
use crate::scheduler::{SilentWorker, Timing};

/// Timeout of a write of the terms.
const WRITE_TIMEOUT: Millis = Millis(500);

/// Timeout of a call to a former leader.
const END_TERM_TIMEOUT: Millis = Millis(500);

/// Pause between two calls to a former leader.
const END_TERM_PAUSE: Duration = Duration::from_millis(200);

/// Terms as they are stored.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Terms {
    /// Leaders whose leases may not have ended; the last one is the present leader.
    pub leaders: Vec<LeaderInfo>,
    /// Workers that do not answer.
    pub silent: Vec<SilentWorker>,
}

/// Stored terms with the revision of their last write.
#[derive(Clone, Debug)]
pub(super) struct StoredTerms {
    /// `None` if there are none that can be read: nothing is known of former leaders.
    pub terms: Option<Terms>,
    /// Revision of the item; 0 if there is none.
    pub revision: u64,
}

impl StoredTerms {
    /// Reads the terms. Nobody writes them while there is no leader.
    pub async fn read(shared: &Shared) -> Result<Self, StoreError> {
        let read = shared.store.get(TERMS, GET_TIMEOUT).await;
        shared.record_store_call("get", &read);
        let (Some(item), _) = read? else {
            return Ok(Self {
                terms: None,
                revision: 0,
            });
        };
        let terms = rmp_serde::from_slice(&item.value);
        if let Err(err) = &terms {
            tracing::error!(revision = item.revision, %err, "stored terms are invalid; all leases count as long as a former leader can renew them");
        }
        Ok(Self {
            terms: terms.ok(),
            revision: item.revision,
        })
    }

    /// Returns the terms with one more leader.
    pub fn followed_by(&self, leader: LeaderInfo) -> Terms {
        let mut terms = self.terms.clone().unwrap_or_default();
        terms.leaders.push(leader);
        terms
    }
}

/// Knowledge of the terms before the present one.
#[derive(Debug)]
pub(super) struct FormerTerms {
    /// Leaders whose leases may not have ended.
    pub leaders: Vec<LeaderInfo>,
    /// Workers that did not answer them.
    pub silent: Vec<SilentWorker>,
    /// Revision of the stored terms.
    pub revision: u64,
    /// Latest time at which one of the leaders that have ended may have granted a lease.
    ended_at: Millis,
    /// A leader that the terms do not name may have been there.
    is_incomplete: bool,
    /// The stored terms name leaders that have ended.
    is_outdated: bool,
}

impl FormerTerms {
    /// Returns what is known at a takeover, from the terms before it and the revision of the claim.
    pub fn new(stored: StoredTerms, revision: u64) -> Self {
        let is_incomplete = stored.terms.is_none();
        let terms = stored.terms.unwrap_or_default();
        Self {
            leaders: terms.leaders,
            silent: terms.silent,
            revision,
            ended_at: Millis::ZERO,
            is_incomplete,
            is_outdated: false,
        }
    }

    /// Returns the time by which the leases of former leaders have ended. Until all of them have
    /// answered, one counts as not knowing of its end; leaders that are not named have ended by the
    /// takeover.
    fn leases_end(&self, took_over_at: Millis, timing: &Timing) -> Millis {
        let limit = took_over_at + timing.former_leases;
        if self.is_incomplete || !self.leaders.is_empty() {
            return limit;
        }
        let ended_at = match self.ended_at {
            Millis::ZERO => took_over_at,
            ended_at => ended_at,
        };
        timing.lease_end(ended_at).min(limit)
    }

    fn remove(&mut self, leader: &LeaderInfo, ended_at: Millis) {
        self.leaders.retain(|known| known != leader);
        self.ended_at = self.ended_at.max(ended_at);
        self.is_outdated = true;
    }
}

/// Asks former leaders to end their terms until all have answered, or their leases have ended.
pub(super) async fn end_former_terms(leader: Arc<Leader>, took_over_at: Millis) {
    let shared = &leader.shared;
    let timing = &shared.cfg.timing;
    let limit = timing.former_leases;
    loop {
        let former = leader.terms.lock().leaders.clone();
        for info in former {
            let ended_at = match end_term(shared, &info, leader.fence).await {
                Some(ended_at) => {
                    tracing::info!(
                        vm = info.vm,
                        address = info.address,
                        ended_ms_ago = shared.clock.now().since(ended_at).0,
                        fence = leader.fence,
                        "former leader has ended its term"
                    );
                    ended_at
                }
                None if shared.clock.now() > took_over_at + limit => {
                    tracing::warn!(
                        vm = info.vm,
                        address = info.address,
                        limit_ms = limit.0,
                        fence = leader.fence,
                        "former leader does not answer; its leases have ended"
                    );
                    took_over_at + limit
                }
                None => continue,
            };
            leader.terms.lock().remove(&info, ended_at);
        }
        let until = leader.terms.lock().leases_end(took_over_at, timing);
        leader.update(|sched, _| sched.inherit_until(until));
        leader.terms_wake.notify_one();
        if leader.terms.lock().leaders.is_empty() {
            return;
        }
        tokio::time::sleep(END_TERM_PAUSE).await;
    }
}

/// Ends the term of a former leader. Returns the time by which it has stopped renewing leases;
/// `None` without an answer.
async fn end_term(shared: &Shared, info: &LeaderInfo, fence: u64) -> Option<Millis> {
    let response = if info.address == shared.cfg.peer {
        shared.end_terms_before(fence)
    } else {
        let call = PeerCall::EndTerms { fence };
        let response: Result<PeerResponse, CallError> = shared
            .caller
            .exchange(&info.address, "/peer", &call, END_TERM_TIMEOUT)
            .await;
        match response {
            Ok(response) => response,
            Err(err) => {
                tracing::debug!(address = info.address, %err, "former leader does not answer");
                return None;
            }
        }
    };
    // An answer of a later process at the address tells for how long it has been there.
    let PeerResponse::TermsEnded { ended_ago } = response else {
        return None;
    };
    Some(shared.clock.now().saturating_sub(ended_ago))
}

/// Writes the terms whenever they have changed.
pub(super) async fn write_terms(leader: Arc<Leader>) {
    let shared = &leader.shared;
    loop {
        leader.terms_wake.notified().await;
        // A write with an unknown outcome would bind workers until the store answers again.
        while !shared.store_failed() {
            let now = shared.clock.now();
            let silent = leader.sched.lock().silence_to_write(now);
            let terms = {
                let former = leader.terms.lock();
                if silent.is_none() && !former.is_outdated {
                    break;
                }
                Terms {
                    leaders: former
                        .leaders
                        .iter()
                        .chain([&leader.info])
                        .cloned()
                        .collect(),
                    silent: silent.unwrap_or_else(|| leader.sched.lock().declare_silence(now)),
                }
            };
            if !write(&leader, &terms, now).await {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes the terms; returns whether they are durable.
async fn write(leader: &Arc<Leader>, terms: &Terms, at: Millis) -> bool {
    let shared = &leader.shared;
    let revision = leader.terms.lock().revision;
    let value = match rmp_serde::to_vec_named(terms) {
        Ok(value) => value,
        Err(err) => {
            tracing::error!(%err, "terms cannot be encoded; silent workers are not declared");
            return false;
        }
    };
    let txn = Transaction {
        expected: vec![
            (LEADER.to_string(), leader.fence),
            (TERMS.to_string(), revision),
        ],
        writes: vec![(TERMS.to_string(), value, 0)],
        removes: Vec::new(),
    };
    let written = shared.store.commit(&txn, WRITE_TIMEOUT).await;
    shared.record_store_call("commit", &written);
    match written {
        Ok(TxnOutcome::Done(revision)) => {
            let mut former = leader.terms.lock();
            former.revision = revision;
            former.is_outdated = former.leaders.len() + 1 != terms.leaders.len();
            drop(former);
            leader.update(|sched, _| sched.on_silence_written(&terms.silent, at));
            true
        }
        Ok(TxnOutcome::Conflict(items)) => {
            // An earlier write without an answer has taken effect.
            if let Some(item) = items.iter().find(|item| item.key == TERMS) {
                leader.terms.lock().revision = item.revision;
            }
            false
        }
        Ok(TxnOutcome::NoLease) | Err(_) => false,
    }
}

/// Removes the leader key, and this leader from the stored terms: it renews no lease any more.
pub(super) async fn remove_from_terms(leader: &Leader) -> Result<TxnOutcome, StoreError> {
    let shared = &leader.shared;
    let (leaders, revision) = {
        let former = leader.terms.lock();
        (former.leaders.clone(), former.revision)
    };
    let silent = leader.sched.lock().declare_silence(shared.clock.now());
    let terms = Terms { leaders, silent };
    let value =
        rmp_serde::to_vec_named(&terms).map_err(|err| StoreError::Invalid(err.to_string()))?;
    let txn = Transaction {
        expected: vec![
            (LEADER.to_string(), leader.fence),
            (TERMS.to_string(), revision),
        ],
        writes: vec![(TERMS.to_string(), value, 0)],
        removes: vec![LEADER.to_string()],
    };
    let removed = shared.store.commit(&txn, WRITE_TIMEOUT).await;
    shared.record_store_call("commit", &removed);
    removed
}
