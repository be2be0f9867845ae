//! What a leader does from time to time.

use std::time::Duration;

use super::keys::{LEADER, LEARNED, cancel_key, job_key, record_key};
use super::leader::Leader;
use super::ports::{Transaction, TxnOutcome};
use crate::prelude::*;

/// Time between two rounds of what only time changes.
const TICK: Duration = Duration::from_millis(100);

/// Time between two removals of outdated jobs: with `CLEAR_JOBS` 50 jobs a second, more than the
/// largest site accepts.
const CLEAR_EVERY: Duration = Duration::from_millis(200);

/// Jobs in one removal: three keys each, within the store's 32 entries beside the leader's key.
const CLEAR_JOBS: usize = 10;

/// Time between two writes of what was learned, some 30 KB each.
const LEARNED_EVERY: Duration = Duration::from_secs(3);

/// Time for a write of this kind; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(500);

/// Writes what was learned for a successor; it would learn for seconds at the cost of tasks.
pub(super) async fn keep_learned(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(LEARNED_EVERY).await;
        let value = match leader.sched.lock().encode_interference() {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, "what was learned cannot be encoded");
                return;
            }
        };
        let txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            writes: vec![(LEARNED.to_string(), value, 0)],
            removes: Vec::new(),
        };
        let written = leader.shared.store.commit(&txn, WRITE_TIMEOUT).await;
        leader.shared.note_store("commit", &written);
    }
}

/// Removes the keys of jobs that nobody may ask for any more.
pub(super) async fn clear_outdated(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(CLEAR_EVERY).await;
        let wall = leader.shared.clock.wall();
        let ids = leader.sched.lock().expired_jobs(wall, CLEAR_JOBS);
        if ids.is_empty() {
            continue;
        }
        let keys = |id| [job_key(id), cancel_key(id), record_key(id)];
        let txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            writes: Vec::new(),
            removes: ids.iter().flat_map(keys).collect(),
        };
        let removed = leader.shared.store.commit(&txn, WRITE_TIMEOUT).await;
        leader.shared.note_store("commit", &removed);
        match removed {
            Ok(TxnOutcome::Done(revision)) => {
                leader.sched.lock().remove_jobs(&ids);
                tracing::info!(jobs = ids.len(), revision, "outdated jobs removed");
            }
            other => tracing::info!(jobs = ids.len(), ?other, "outdated jobs not removed"),
        }
    }
}

pub(super) async fn tick(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(TICK).await;
        let valid = leader.is_valid();
        leader.change(|sched, now| {
            sched.allow_starts(valid);
            sched.tick(now);
        });
        let (jobs, workers, runs) = leader.sched.lock().summary();
        let known = &leader.shared.metrics.known;
        for (kind, count) in [("jobs", jobs), ("workers", workers), ("runs", runs)] {
            known
                .with_label_values(&[kind])
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
