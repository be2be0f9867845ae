//! Submits, cancels and looks up jobs, directly in the store or through the leader.

use super::config_watch::GET_TIMEOUT;
use super::keys::{cancel_key, job_key, record_key};
use super::peers::{PeerCall, PeerResponse};
use super::ports::{Transaction, TxnOutcome};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobRecord, JobSpec, JobView, Phase};

/// Timeout of one write; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(700);

/// Attempts to write to the store before the write is relayed to the leader.
const LOCAL_WRITE_ATTEMPTS: usize = 2;

/// Timeout of a lookup in the memory of the leader.
const LOOKUP_TIMEOUT: Millis = Millis(300);

/// Timeout of a call that is relayed to the leader.
const RELAY_TIMEOUT: Millis = Millis(1000);

/// Outcome of a submission or cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ChangeOutcome {
    /// The change is in the store.
    Stored,
    /// The change is not in the store and will not get there later.
    Refused,
    /// In doubt: a write was sent and not answered.
    Unknown,
    /// The job does not exist.
    NoJob,
}

/// Stores a job under its id. Storing the same id again has no effect. With `relay`, the leader is
/// asked to write if this process cannot.
pub(super) async fn submit(
    shared: &Shared,
    id: &JobId,
    spec: &JobSpec,
    relay: bool,
) -> ChangeOutcome {
    let value = match rmp_serde::to_vec_named(spec) {
        Ok(value) => value,
        Err(err) => {
            tracing::error!(job = %id, %err, "job cannot be encoded; the submission is refused");
            return ChangeOutcome::Refused;
        }
    };
    let txn = Transaction {
        expected: vec![(job_key(id), 0)],
        writes: vec![(job_key(id), value, 0)],
        removes: Vec::new(),
    };
    let outcome = write(shared, &txn).await;
    if outcome == ChangeOutcome::Stored || !relay {
        return outcome;
    }
    let call = PeerCall::Submit(id.clone(), spec.clone());
    relay_to_leader(shared, &call, outcome).await
}

/// Marks a job as cancelled. `relay` works as for [`submit`].
pub(super) async fn cancel(shared: &Shared, id: &JobId, relay: bool) -> ChangeOutcome {
    let known = shared
        .local_leader()
        .is_some_and(|leader| leader.sched.lock().view(id).is_some());
    let mut outcome = ChangeOutcome::Refused;
    if known || !shared.store_failed() {
        outcome = match known || exists(shared, id).await.unwrap_or(true) {
            true => {
                let txn = Transaction {
                    writes: vec![(cancel_key(id), Vec::new(), 0)],
                    ..Transaction::default()
                };
                write(shared, &txn).await
            }
            false => return ChangeOutcome::NoJob,
        };
    }
    if outcome == ChangeOutcome::Stored {
        if let Some(leader) = shared.local_leader() {
            let wall = shared.clock.wall();
            leader.update(|sched, now| sched.cancel(id, now, wall));
        }
        return outcome;
    }
    if !relay {
        return outcome;
    }
    relay_to_leader(shared, &PeerCall::Cancel(id.clone()), outcome).await
}

async fn exists(shared: &Shared, id: &JobId) -> Result<bool, StoreError> {
    let read = shared.store.get(&job_key(id), GET_TIMEOUT).await;
    shared.record_store_call("get", &read);
    Ok(read?.0.is_some())
}

async fn relay_to_leader(
    shared: &Shared,
    call: &PeerCall,
    outcome: ChangeOutcome,
) -> ChangeOutcome {
    let Some(address) = shared.leader_address() else {
        return outcome;
    };
    let response = shared
        .caller
        .exchange::<_, PeerResponse>(&address, "/peer", call, RELAY_TIMEOUT)
        .await;
    match response {
        Ok(PeerResponse::Change(ChangeOutcome::Refused)) => outcome,
        Ok(PeerResponse::Change(relayed)) => relayed,
        Err(CallError::Connect { .. }) | Ok(_) => outcome,
        Err(_) => ChangeOutcome::Unknown,
    }
}

async fn write(shared: &Shared, txn: &Transaction) -> ChangeOutcome {
    if shared.store_failed() {
        // Nothing is sent, so the outcome is certain. The watches detect when the store answers
        // again.
        return ChangeOutcome::Refused;
    }
    let mut in_doubt = false;
    for _ in 0..LOCAL_WRITE_ATTEMPTS {
        let result = shared.store.commit(txn, WRITE_TIMEOUT).await;
        shared.record_store_call("commit", &result);
        match result {
            // A conflict shows that the id is stored, perhaps by a write before this one whose
            // response was lost.
            Ok(TxnOutcome::Done(_) | TxnOutcome::Conflict(_)) => return ChangeOutcome::Stored,
            Ok(TxnOutcome::NoLease) | Err(StoreError::Unavailable(_) | StoreError::Invalid(_)) => {
                break;
            }
            Err(StoreError::AnswerLost(_)) => in_doubt = true,
        }
    }
    if in_doubt {
        ChangeOutcome::Unknown
    } else {
        ChangeOutcome::Refused
    }
}

/// Looks up a job at the leader, then in the store. Fails if neither of them answers.
pub(super) async fn look_up(shared: &Shared, id: &JobId) -> Result<Option<JobView>, StoreError> {
    if let Some(leader) = shared.local_leader() {
        if let Some(view) = leader.sched.lock().view(id) {
            return Ok(Some(view));
        }
    } else if let Some(address) = shared.leader_address() {
        let call = PeerCall::State(id.clone());
        let response = shared
            .caller
            .exchange::<_, PeerResponse>(&address, "/peer", &call, LOOKUP_TIMEOUT)
            .await;
        if let Ok(PeerResponse::State(Some(view))) = response {
            return Ok(Some(view));
        }
    }
    read_view(shared, id).await
}

async fn read_view(shared: &Shared, id: &JobId) -> Result<Option<JobView>, StoreError> {
    let read = shared.store.get(&record_key(id), GET_TIMEOUT).await;
    shared.record_store_call("get", &read);
    if let Some(item) = read?.0 {
        let record: JobRecord = rmp_serde::from_slice(&item.value)
            .map_err(|err| StoreError::Invalid(err.to_string()))?;
        return Ok(Some(match record.phase {
            Phase::Active => JobView::Running,
            Phase::Completed => JobView::Completed,
            Phase::Failed => JobView::Failed,
            Phase::Cancelled => JobView::Cancelled,
        }));
    }
    Ok(exists(shared, id).await?.then_some(JobView::Queued))
}

/// Returns the number of waiting jobs of a queue, or `None` if the leader does not answer.
pub(super) async fn pending(shared: &Shared, queue: &str) -> Option<usize> {
    if let Some(leader) = shared.local_leader() {
        return Some(leader.sched.lock().pending(queue));
    }
    let address = shared.leader_address()?;
    let call = PeerCall::Pending(queue.to_string());
    match shared
        .caller
        .exchange::<_, PeerResponse>(&address, "/peer", &call, RELAY_TIMEOUT)
        .await
    {
        Ok(PeerResponse::Pending(count)) => Some(count),
        Ok(_) => None,
        Err(err) => {
            tracing::info!(queue, %err, "leader does not answer; waiting jobs of the queue cannot be counted");
            None
        }
    }
}
