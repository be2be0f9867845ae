//! Submits, cancels and looks up jobs, directly in the store or through the leader.

use super::config_watch::GET_TIMEOUT;
use super::intake::{CancelMark, StoredIntake, cancellation, cancelled, submission};
use super::keys::{job_key, record_key};
use super::peers::{PeerCall, PeerResponse};
use super::ports::{Transaction, TxnOutcome};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobRecord, JobSpec, JobView, Phase};

/// Timeout of one write; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(700);

/// Attempts to write to the store before the write is relayed to the leader.
const LOCAL_WRITE_ATTEMPTS: usize = 2;

/// Writes of a cancellation after which it is given up. Each one more follows a change between two:
/// the job was stored, or removed after its retention.
const CANCEL_WRITES: usize = 4;

/// Timeout of a lookup in the memory of the leader.
pub(super) const LOOKUP_TIMEOUT: Millis = Millis(300);

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
    /// The job does not exist and will not be stored later.
    NoJob,
    /// The caller has cancelled the job before it was stored. It will not be stored later.
    Withdrawn,
    /// Too many cancellations of unknown jobs; the change is not in the store and will not get
    /// there later.
    TooMany,
}

/// Outcome of a write of a job or a cancellation.
enum IntakeWrite {
    /// The change is in the store.
    Done,
    /// A condition has failed, and the store holds this.
    Conflict(StoredIntake),
    /// The change is not in the store, or not known to be there.
    Failed(ChangeOutcome),
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
    let outcome = match write(shared, &submission(id, value)).await {
        IntakeWrite::Done => ChangeOutcome::Stored,
        IntakeWrite::Conflict(found) => found.submission_outcome(),
        IntakeWrite::Failed(outcome) => outcome,
    };
    match outcome {
        ChangeOutcome::Stored | ChangeOutcome::Withdrawn => return outcome,
        _ if !relay => return outcome,
        _ => {}
    }
    let call = PeerCall::Submit(id.clone(), Box::new(spec.clone()));
    relay_to_leader(shared, &call, outcome).await
}

/// Marks a job as cancelled; a job that is not stored will not be stored afterwards. `relay` works
/// as for [`submit`].
pub(super) async fn cancel(shared: &Shared, id: &JobId, relay: bool) -> ChangeOutcome {
    let outcome = match shared.store_failed() {
        true => ChangeOutcome::Refused,
        false => write_cancellation(shared, id).await,
    };
    match outcome {
        ChangeOutcome::Stored => {
            if let Some(leader) = shared.local_leader() {
                let wall = shared.clock.wall();
                leader.update(|sched, now| {
                    sched.cancel(id, now, wall);
                });
            }
            outcome
        }
        ChangeOutcome::NoJob | ChangeOutcome::TooMany => outcome,
        _ if !relay => outcome,
        _ => relay_to_leader(shared, &PeerCall::Cancel(id.clone()), outcome).await,
    }
}

/// Writes the cancellation of a job, whether it is stored or not.
async fn write_cancellation(shared: &Shared, id: &JobId) -> ChangeOutcome {
    let mark = CancelMark {
        requested: shared.clock.wall(),
    };
    let mark = match rmp_serde::to_vec_named(&mark) {
        Ok(mark) => mark,
        Err(err) => {
            tracing::error!(job = %id, %err, "cancellation cannot be encoded; it is refused");
            return ChangeOutcome::Refused;
        }
    };
    // Without an answer the write tells what is there.
    let mut job = job_revision(shared, id).await.unwrap_or(0);
    for _ in 0..CANCEL_WRITES {
        if job == 0 && !shared.may_cancel_unknown() {
            tracing::warn!(job = %id, "too many cancellations of unknown jobs; one is refused");
            return ChangeOutcome::TooMany;
        }
        match write(shared, &cancellation(id, job, mark.clone())).await {
            IntakeWrite::Done => return cancelled(job),
            IntakeWrite::Conflict(found) => match found.cancellation_outcome() {
                Some(outcome) => return outcome,
                None => job = found.job,
            },
            IntakeWrite::Failed(outcome) => return outcome,
        }
    }
    tracing::warn!(job = %id, writes = CANCEL_WRITES, "job changes with each write of its cancellation; it is refused");
    ChangeOutcome::Refused
}

/// Returns the revision of a stored job; 0 if there is none.
async fn job_revision(shared: &Shared, id: &JobId) -> Result<u64, StoreError> {
    let read = shared.store.get(&job_key(id), GET_TIMEOUT).await;
    shared.record_store_call("get", &read);
    Ok(read?.0.map_or(0, |item| item.revision))
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

async fn write(shared: &Shared, txn: &Transaction) -> IntakeWrite {
    if shared.store_failed() {
        // Nothing is sent, so the outcome is certain. The watches detect when the store answers
        // again.
        return IntakeWrite::Failed(ChangeOutcome::Refused);
    }
    let mut in_doubt = false;
    for _ in 0..LOCAL_WRITE_ATTEMPTS {
        let result = shared.store.commit(txn, WRITE_TIMEOUT).await;
        shared.record_store_call("commit", &result);
        match result {
            Ok(TxnOutcome::Done(_)) => return IntakeWrite::Done,
            Ok(TxnOutcome::Conflict(items)) => {
                return IntakeWrite::Conflict(StoredIntake::from_conflict(&items));
            }
            Ok(TxnOutcome::NoLease) | Err(StoreError::Unavailable(_) | StoreError::Invalid(_)) => {
                break;
            }
            Err(StoreError::AnswerLost(_)) => in_doubt = true,
        }
    }
    IntakeWrite::Failed(match in_doubt {
        true => ChangeOutcome::Unknown,
        false => ChangeOutcome::Refused,
    })
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
    let is_stored = job_revision(shared, id).await? != 0;
    Ok(is_stored.then_some(JobView::Queued))
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
