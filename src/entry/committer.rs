//! Writes changed job records to the store, on condition that this process still leads.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::config_watch::RETRY_PAUSE;
use super::keys::{LEADER, record_id, record_key};
use super::leader::Leader;
use super::ports::{Transaction, TxnOutcome};
use crate::prelude::*;
use crate::scheduler::{BATCH_RECORDS, Batch};
use crate::telemetry::Activity;

/// Time for which changes are collected into one write; a tenth of the slack of the tightest
/// latency objective.
const BATCH_WINDOW: Duration = Duration::from_millis(12);

/// Timeout of one write; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(600);

/// Writes in flight while less than a full batch of records waits; changes that arrive meanwhile
/// share the next write.
const WRITES: usize = 2;

/// Most writes in flight. While the store is slow, two writes fall behind the changes of a large
/// fleet, and every start waits for its record.
const MAX_WRITES: usize = 6;

/// Writes batches of records until the term ends. A write that ends is followed by the next at once;
/// the first change after a pause waits for others.
pub(super) async fn run_committer(leader: Arc<Leader>) {
    let mut writes = JoinSet::new();
    let window = tokio::time::sleep(BATCH_WINDOW);
    tokio::pin!(window);
    let mut is_collecting = true;
    loop {
        tokio::select! {
            () = leader.committer_wake.notified(), if !is_collecting => {
                window.as_mut().reset(Instant::now() + BATCH_WINDOW);
                is_collecting = true;
                continue;
            }
            () = &mut window, if is_collecting => is_collecting = false,
            Some(ended) = writes.join_next() => if let Err(err) = ended {
                tracing::error!(fence = leader.fence, %err, "write of records ended unexpectedly");
                leader.term_ended.cancel();
                return;
            }
        }
        begin_writes(&leader, &mut writes);
    }
}

/// Begins writes until nothing waits or enough are in flight.
fn begin_writes(leader: &Arc<Leader>, writes: &mut JoinSet<()>) {
    while writes.len() < MAX_WRITES {
        let least = if writes.len() < WRITES {
            1
        } else {
            BATCH_RECORDS
        };
        let Some(batch) = leader.sched.lock().next_batch(least) else {
            return;
        };
        writes.spawn(Activity::Record.measure(write_batch(leader.clone(), batch)));
    }
}

/// Writes one batch and applies the outcome; a batch that is not written waits for another write.
async fn write_batch(leader: Arc<Leader>, batch: Batch) {
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
            let revisions = items
                .iter()
                .filter_map(|item| Some((record_id(&item.key)?, item.revision)))
                .collect();
            leader.sched.lock().on_commit_conflict(&batch, &revisions);
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
