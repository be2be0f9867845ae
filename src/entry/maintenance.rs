//! Periodic tasks of a leader.

use std::time::Duration;

use super::intake::removal_of_marks;
use super::keys::{
    INTERFERENCE, IntakeKey, LEADER, cancel_key, job_key, parse_intake_key, record_key,
};
use super::leader::Leader;
use super::ports::{Item, Transaction, TxnOutcome};
use crate::prelude::*;

/// Interval of the scheduler's tick, which handles timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two removals of outdated jobs: with `REMOVE_BATCH` 50 jobs a second, which is more
/// than the largest site accepts.
const REMOVE_INTERVAL: Duration = Duration::from_millis(200);

/// Jobs in one removal. Each has three keys, and a transaction may have 32 entries including the
/// leader key.
const REMOVE_BATCH: usize = 10;

/// Time between two removals of cancellations without jobs, and the transactions of each: 600 a
/// second, more than all processes of the largest site store.
const MARKS_INTERVAL: Duration = Duration::from_secs(1);
const MARKS_BATCHES: usize = 40;

/// Cancellations in one transaction. Each has a condition and a key to remove, and a transaction may
/// have 32 entries including the leader key.
const MARKS_BATCH: usize = 15;

/// Time between two writes of the interference estimates, some 30 KB each.
const SAVE_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two log lines on the load of a queue.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Wait of a record from which it delays the starts of its job noticeably.
const LONG_RECORD_WAIT: Millis = Millis(250);

/// Timeout of a write of this module; a slow store answers within about 250 ms.
const WRITE_TIMEOUT: Millis = Millis(500);

/// Saves the interference estimates for a successor, which would otherwise take seconds to learn
/// them, at the cost of tasks.
pub(super) async fn save_interference(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let value = match leader.sched.lock().encode_interference() {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, "interference estimates cannot be encoded; they are not saved in this term");
                return;
            }
        };
        let txn = Transaction {
            expected: vec![(LEADER.to_string(), leader.fence)],
            writes: vec![(INTERFERENCE.to_string(), value, 0)],
            removes: Vec::new(),
        };
        let written = leader.shared.store.commit(&txn, WRITE_TIMEOUT).await;
        leader.shared.record_store_call("commit", &written);
    }
}

/// Removes the keys of jobs whose retention after their end has passed.
pub(super) async fn remove_outdated_jobs(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(REMOVE_INTERVAL).await;
        let wall = leader.shared.clock.wall();
        let ids = leader.sched.lock().expired_jobs(wall, REMOVE_BATCH);
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
        leader.shared.record_store_call("commit", &removed);
        match removed {
            Ok(TxnOutcome::Done(revision)) => {
                leader.sched.lock().remove_jobs(&ids);
                tracing::info!(jobs = ids.len(), revision, "outdated jobs removed");
            }
            other => tracing::info!(jobs = ids.len(), ?other, "outdated jobs not removed"),
        }
    }
}

/// Removes cancellations of jobs that were never stored, once no submission can be on its way.
pub(super) async fn remove_cancel_marks(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(MARKS_INTERVAL).await;
        for _ in 0..MARKS_BATCHES {
            let wall = leader.shared.clock.wall();
            let ids = leader.sched.lock().expired_cancel_marks(wall, MARKS_BATCH);
            if ids.is_empty() || !remove_marks(&leader, &ids).await {
                break;
            }
        }
    }
}

/// Removes the cancellations of jobs that are not stored; returns whether some are gone.
async fn remove_marks(leader: &Leader, ids: &[JobId]) -> bool {
    let txn = removal_of_marks((LEADER.to_string(), leader.fence), ids);
    let removed = leader.shared.store.commit(&txn, WRITE_TIMEOUT).await;
    leader.shared.record_store_call("commit", &removed);
    let gone: Vec<JobId> = match removed {
        Ok(TxnOutcome::Done(revision)) => {
            tracing::info!(
                jobs = ids.len(),
                revision,
                "cancellations of unknown jobs removed"
            );
            ids.to_vec()
        }
        // A stored job that cannot be decoded is not known here; its cancellation stays with it.
        Ok(TxnOutcome::Conflict(items)) => items.iter().filter_map(stored_job).collect(),
        other => {
            tracing::info!(
                jobs = ids.len(),
                ?other,
                "cancellations of unknown jobs not removed"
            );
            Vec::new()
        }
    };
    let mut sched = leader.sched.lock();
    gone.iter().for_each(|id| sched.drop_cancel_mark(id));
    !gone.is_empty()
}

fn stored_job(item: &Item) -> Option<JobId> {
    match parse_intake_key(&item.key) {
        Some(IntakeKey::Job(id)) => Some(id),
        _ => None,
    }
}

/// Logs once a second what each queue holds of the fleet and how long its jobs wait.
pub(super) async fn log_queue_loads(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(LOAD_LOG_INTERVAL).await;
        let now = leader.shared.clock.now();
        let (loads, free) = leader.sched.lock().queue_loads(now);
        for (queue, load) in loads {
            tracing::info!(
                queue,
                waiting = load.waiting_jobs,
                idle_ms = load.longest_idle.0,
                runs = load.runs,
                reserved = load.reserved.0,
                best_effort = load.best_effort.0,
                free = free.0,
                "queue load"
            );
        }
        log_record_backlog(&leader, now);
    }
}

/// Logs the number of records that wait to be written, if one has waited for too long.
fn log_record_backlog(leader: &Leader, now: Millis) {
    let sched = leader.sched.lock();
    if let Some((waiting, oldest, wait)) = sched.record_backlog(now)
        && wait >= LONG_RECORD_WAIT
    {
        tracing::warn!(waiting, job = %oldest, wait_ms = wait.0, "records wait to be written");
    }
}

/// Ticks the scheduler and updates the gauges of its state.
pub(super) async fn tick(leader: Arc<Leader>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let valid = leader.has_valid_lease();
        leader.update(|sched, now| {
            sched.allow_starts(valid);
            sched.tick(now);
        });
        leader.terms_wake.notify_one();
        let (jobs, workers, runs) = leader.sched.lock().summary();
        let known = &leader.shared.metrics.known;
        for (kind, count) in [("jobs", jobs), ("workers", workers), ("runs", runs)] {
            known
                .with_label_values(&[kind])
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
