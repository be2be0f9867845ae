//! Writes changed job records to the store, on condition that this process still leads.

use std::time::Duration;

use super::config_watch::RETRY_PAUSE;
use super::keys::{LEADER, record_id, record_key};
use super::leader::Leader;
use super::ports::{Transaction, TxnOutcome};
use crate::prelude::*;

/// Time for which changes are collected into one write; a tenth of the slack of the tightest
/// latency objective.
const BATCH_WINDOW: Duration = Duration::from_millis(12);

/// Timeout of one write; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(600);

/// Writes batches of records until the term ends.
pub(super) async fn run_committer(leader: Arc<Leader>) {
    loop {
        let batch = leader.sched.lock().next_batch();
        let Some(batch) = batch else {
            leader.committer_wake.notified().await;
            tokio::time::sleep(BATCH_WINDOW).await;
            continue;
        };
        let mut txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            ..Transaction::default()
        };
        for write in &batch.writes {
            let key = record_key(&write.job);
            txn.expected.push((key.clone(), write.revision));
            txn.writes.push((key, write.value.clone(), 0));
        }
        let outcome = leader.shared.store.commit(&txn, WRITE_TIMEOUT).await;
        leader.shared.record_store_call("commit", &outcome);
        match outcome {
            Ok(TxnOutcome::Done(revision)) => {
                let mut covered = Vec::new();
                leader.update(|sched, now| {
                    for write in &batch.writes {
                        let wait = now.since(write.changed_at);
                        let seconds = wait.0 as f64 / 1000.0;
                        leader.shared.metrics.record_seconds.observe(seconds);
                    }
                    covered = sched.on_commit(&batch, revision, now);
                });
                for id in &covered {
                    leader.wake_poll(id);
                }
            }
            Ok(TxnOutcome::Conflict(items)) => {
                let owns_key = items
                    .iter()
                    .any(|item| item.key == LEADER && item.revision == leader.fence);
                if !owns_key {
                    tracing::warn!(fence = leader.fence, "leader's key is lost");
                    leader.term_ended.cancel();
                    return;
                }
                let mut sched = leader.sched.lock();
                for item in items {
                    if let Some(id) = record_id(&item.key) {
                        sched.set_revision(&id, item.revision);
                    }
                }
                sched.on_commit_failure(&batch);
            }
            other => {
                tracing::info!(
                    ?other,
                    records = batch.writes.len(),
                    "records not written; they are retried"
                );
                leader.sched.lock().on_commit_failure(&batch);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
