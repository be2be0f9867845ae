//! Accepts, cancels and looks up jobs, here or at the leader.

use super::config_watch::GET_TIMEOUT;
use super::keys::{cancel_key, job_key, record_key};
use super::peers::{PeerAnswer, PeerCall};
use super::ports::{Transaction, TxnOutcome};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobRecord, JobSpec, JobView, Phase};

/// Time for one write; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(700);

/// Writes that are tried before the leader is asked.
const OWN_TRIES: usize = 2;

/// Time for the leader to answer a question from its memory.
const LOOKUP_TIMEOUT: Millis = Millis(300);

/// Time for the leader to write on behalf of this process.
const RELAY_TIMEOUT: Millis = Millis(1000);

/// What became of a change that a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    Refused,
    /// Nobody knows.
    Unknown,
    /// There is no such job.
    NoJob,
}

/// Stores a job under its id; an id that is stored already stays one job.
pub(super) async fn submit(shared: &Shared, id: &JobId, spec: &JobSpec, relay: bool) -> Change {
    let value = match rmp_serde::to_vec_named(spec) {
        Ok(value) => value,
        Err(err) => {
            tracing::error!(job = %id, %err, "job cannot be encoded");
            return Change::Refused;
        }
    };
    let txn = Transaction {
        expected: vec![(job_key(id), 0)],
        writes: vec![(job_key(id), value, 0)],
        removes: Vec::new(),
    };
    let own = write(shared, &txn).await;
    if own == Change::Stored || !relay {
        return own;
    }
    let call = PeerCall::Submit(id.clone(), spec.clone());
    ask_to_write(shared, &call, own).await
}

/// Marks a job as cancelled.
pub(super) async fn cancel(shared: &Shared, id: &JobId, relay: bool) -> Change {
    let known = shared
        .lead()
        .is_some_and(|leader| leader.sched.lock().view(id).is_some());
    let mut own = Change::Refused;
    if known || !shared.store_failed() {
        own = match known || exists(shared, id).await.unwrap_or(true) {
            true => {
                let txn = Transaction {
                    writes: vec![(cancel_key(id), Vec::new(), 0)],
                    ..Transaction::default()
                };
                write(shared, &txn).await
            }
            false => return Change::NoJob,
        };
    }
    if own == Change::Stored {
        if let Some(leader) = shared.lead() {
            let wall = shared.clock.wall();
            leader.change(|sched, now| sched.cancel(id, now, wall));
        }
        return own;
    }
    if !relay {
        return own;
    }
    ask_to_write(shared, &PeerCall::Cancel(id.clone()), own).await
}

async fn exists(shared: &Shared, id: &JobId) -> Result<bool, StoreError> {
    let read = shared.store.get(&job_key(id), GET_TIMEOUT).await;
    shared.note_store("get", &read);
    Ok(read?.0.is_some())
}

async fn ask_to_write(shared: &Shared, call: &PeerCall, own: Change) -> Change {
    let Some(address) = shared.leader_address() else {
        return own;
    };
    let answer = shared
        .caller
        .exchange::<_, PeerAnswer>(&address, "/peer", call, RELAY_TIMEOUT)
        .await;
    match answer {
        Ok(PeerAnswer::Change(Change::Refused)) => own,
        Ok(PeerAnswer::Change(change)) => change,
        Err(CallError::Connect { .. }) | Ok(_) => own,
        Err(_) => Change::Unknown,
    }
}

async fn write(shared: &Shared, txn: &Transaction) -> Change {
    if shared.store_failed() {
        // Nothing is sent, so the caller can be told for certain; the watches find the store again.
        return Change::Refused;
    }
    let mut unsure = false;
    for _ in 0..OWN_TRIES {
        let result = shared.store.commit(txn, WRITE_TIMEOUT).await;
        shared.note_store("commit", &result);
        match result {
            // A conflict shows that the id is stored, perhaps by the lost write before this one.
            Ok(TxnOutcome::Done(_) | TxnOutcome::Conflict(_)) => return Change::Stored,
            Ok(TxnOutcome::NoLease) | Err(StoreError::Unavailable(_) | StoreError::Invalid(_)) => {
                break;
            }
            Err(StoreError::AnswerLost(_)) => unsure = true,
        }
    }
    if unsure {
        Change::Unknown
    } else {
        Change::Refused
    }
}

/// Looks a job up; `Err` if neither the leader nor the store answers.
pub(super) async fn look_up(shared: &Shared, id: &JobId) -> Result<Option<JobView>, StoreError> {
    if let Some(leader) = shared.lead() {
        if let Some(view) = leader.sched.lock().view(id) {
            return Ok(Some(view));
        }
    } else if let Some(address) = shared.leader_address() {
        let call = PeerCall::State(id.clone());
        let answer = shared
            .caller
            .exchange::<_, PeerAnswer>(&address, "/peer", &call, LOOKUP_TIMEOUT)
            .await;
        if let Ok(PeerAnswer::State(Some(view))) = answer {
            return Ok(Some(view));
        }
    }
    read_view(shared, id).await
}

async fn read_view(shared: &Shared, id: &JobId) -> Result<Option<JobView>, StoreError> {
    let read = shared.store.get(&record_key(id), GET_TIMEOUT).await;
    shared.note_store("get", &read);
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

/// Counts the jobs of a queue that wait; `None` if the leader does not answer.
pub(super) async fn pending(shared: &Shared, queue: &str) -> Option<usize> {
    if let Some(leader) = shared.lead() {
        return Some(leader.sched.lock().pending(queue));
    }
    let address = shared.leader_address()?;
    let call = PeerCall::Pending(queue.to_string());
    match shared
        .caller
        .exchange::<_, PeerAnswer>(&address, "/peer", &call, RELAY_TIMEOUT)
        .await
    {
        Ok(PeerAnswer::Pending(count)) => Some(count),
        Ok(_) => None,
        Err(err) => {
            tracing::info!(queue, %err, "leader does not answer");
            None
        }
    }
}
