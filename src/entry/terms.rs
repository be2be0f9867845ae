//! Ends the terms of former leaders, and tells successors of this one who may still renew leases of
//! workers and which workers do not answer.

use std::time::Duration;

use futures_util::future::join_all;

use super::config_watch::RETRY_PAUSE;
use super::keys::{LEADER, TERMS};
use super::leader::Leader;
use super::peers::{PeerCall, PeerResponse};
use super::ports::{Transaction, TxnOutcome};
use super::shared::{LeaderInfo, Shared};
use super::stored_terms::Terms;
use super::term_end::TermEnd;
use crate::prelude::*;

/// Timeout of a write of the terms.
const WRITE_TIMEOUT: Millis = Millis(500);

/// Timeout of a call to a former leader.
const END_TERM_TIMEOUT: Millis = Millis(500);

/// Pause between two calls to a former leader.
const END_TERM_PAUSE: Duration = Duration::from_millis(200);

/// Asks former leaders to end their terms until all have answered, or their leases have ended.
pub(super) async fn end_former_terms(leader: Arc<Leader>) {
    let shared = &leader.shared;
    let timing = &shared.cfg.timing;
    loop {
        let unanswered = leader.terms.lock().unanswered();
        let asked = unanswered.iter().map(|info| ask_for_end(&leader, info));
        join_all(asked).await;
        let (until, is_complete) = {
            let mut former = leader.terms.lock();
            for info in former.end_wait(timing, shared.clock.now()) {
                tracing::warn!(vm = info.vm, address = info.address, claim = %info.claim, fence = leader.fence, "former leader does not answer; its leases have ended");
            }
            (former.leases_end(timing), former.is_complete())
        };
        leader.update(|sched, _| sched.inherit_until(until));
        leader.terms_wake.notify_one();
        if is_complete {
            let left = until.since(shared.clock.now());
            tracing::info!(
                fence = leader.fence,
                left_ms = left.0,
                "time by which the leases of former leaders have ended is known"
            );
            return;
        }
        tokio::time::sleep(END_TERM_PAUSE).await;
    }
}

/// Asks for the end of one former term and records the answer.
async fn ask_for_end(leader: &Leader, info: &LeaderInfo) {
    let shared = &leader.shared;
    if let Some(end) = end_term(shared, info, leader.fence).await {
        tracing::info!(vm = info.vm, address = info.address, claim = %info.claim, ?end, fence = leader.fence, "former leader has answered");
        let now = shared.clock.now();
        leader.terms.lock().record_end(info, end, now);
    }
}

/// Ends the term of a former claim. Returns what became of the claim; `None` without an answer.
async fn end_term(shared: &Shared, info: &LeaderInfo, fence: u64) -> Option<TermEnd> {
    if info.address == shared.cfg.peer {
        return shared.end_for_successor(info.incarnation, info.claim, fence);
    }
    let call = PeerCall::EndTerm {
        incarnation: info.incarnation,
        claim: info.claim,
        fence,
    };
    let response: Result<PeerResponse, CallError> = shared
        .caller
        .exchange(&info.address, "/peer", &call, END_TERM_TIMEOUT)
        .await;
    match response {
        Ok(PeerResponse::TermEnd(end)) => Some(end),
        Ok(other) => {
            tracing::info!(address = info.address, ?other, "former leader leads again");
            None
        }
        Err(err) => {
            tracing::debug!(address = info.address, %err, "former leader does not answer");
            None
        }
    }
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
                if silent.is_none() && !former.is_outdated(now) {
                    break;
                }
                let silent = silent.unwrap_or_else(|| leader.sched.lock().declare_silence(now));
                former.during(&leader.info, silent, now)
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
            leader.terms.lock().on_stored(terms, revision);
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

/// Removes the leader key, and records that this leader has handed over: it renews no lease any more.
pub(super) async fn write_hand_over(leader: &Leader) -> Result<TxnOutcome, StoreError> {
    let shared = &leader.shared;
    let now = shared.clock.now();
    let silent = leader.sched.lock().declare_silence(now);
    let (terms, revision) = {
        let former = leader.terms.lock();
        (former.after(&leader.info, silent, now), former.revision)
    };
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
