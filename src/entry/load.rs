//! Loads the state of a leader from the store and applies changes to it.

use std::collections::{BTreeSet, HashMap};

use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE};
use super::intake::CancelMark;
use super::keys::{INTAKE, INTERFERENCE, IntakeKey, RECORDS, parse_intake_key, record_id};
use super::leader::Leader;
use super::ports::{Change, Item};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobRecord, JobSpec, Scheduler, WorkerEntry};

/// Failed reads of one page after which a load is given up.
const MAX_FAILURES: usize = 8;

/// Most by which the wall clocks of a worker and this VM differ. A worker that claims a later start
/// would outrank its own reports for as long as the start lies ahead.
const MAX_CLOCK_ERROR: Millis = Millis(60_000);

/// Loads jobs, records and workers. Returns the revisions from which to watch jobs and workers.
pub(super) async fn load_state(leader: &Arc<Leader>) -> Option<(u64, u64)> {
    // Only the holder of the leader key writes records, so they do not change during both reads.
    let shared = &leader.shared;
    let (records, intake) = tokio::join!(read_all(shared, RECORDS), read_all(shared, INTAKE));
    let (records, _) = records?;
    let (items, intake_at) = intake?;
    let mut records_by_job = HashMap::new();
    for item in records {
        let Some(id) = record_id(&item.key) else {
            continue;
        };
        match rmp_serde::from_slice::<JobRecord>(&item.value) {
            Ok(record) => {
                records_by_job.insert(id, (record, item.revision));
            }
            Err(err) => {
                tracing::error!(job = %id, %err, "job record is invalid; the job is loaded without it")
            }
        }
    }
    let now = leader.shared.clock.now();
    let wall = leader.shared.clock.wall();
    for item in &items {
        apply_intake(
            &mut leader.sched.lock(),
            item,
            Some(&mut records_by_job),
            now,
            wall,
        );
    }
    let silent = std::mem::take(&mut leader.terms.lock().silent);
    leader.sched.lock().restore_silence(&silent);
    let workers_at = load_workers(leader).await?;
    let estimates = leader.shared.store.get(INTERFERENCE, GET_TIMEOUT).await;
    leader.shared.record_store_call("get", &estimates);
    // Without estimates the leader starts to learn from scratch, so a failed read does not
    // end the term.
    if let Ok((Some(item), _)) = estimates
        && !leader.sched.lock().restore_interference(&item.value)
    {
        tracing::warn!(
            revision = item.revision,
            "stored interference estimates are invalid; they are ignored"
        );
    }
    Some((intake_at, workers_at))
}

/// Reads jobs and cancellations again after the history of a watch was compacted. Returns the
/// revision to watch from.
pub(super) async fn reload_intake(leader: &Arc<Leader>) -> Option<u64> {
    let (items, at) = read_all(&leader.shared, INTAKE).await?;
    let wall = leader.shared.clock.wall();
    leader.update(|sched, now| {
        sched.clear_cancel_marks();
        for item in &items {
            apply_intake(sched, item, None, now, wall);
        }
    });
    Some(at)
}

/// Reads all worker entries and drops those that no longer exist. Returns the revision to watch
/// from.
pub(super) async fn load_workers(leader: &Arc<Leader>) -> Option<u64> {
    let shared = &leader.shared;
    let prefix = shared.platform_format.workers_prefix().to_string();
    let (items, at) = read_all(shared, &prefix).await?;
    let mut ids = BTreeSet::new();
    leader.update(|sched, now| {
        for item in items {
            if let Some(id) = item
                .key
                .strip_prefix(&prefix)
                .and_then(|id| id.parse().ok())
            {
                ids.insert(id);
            }
            apply_worker(shared, sched, &Change::Put(item), now);
        }
        sched.retain_entries(&ids);
    });
    Some(at)
}

/// Passes a stored job or cancellation to the scheduler.
pub(super) fn apply_intake(
    sched: &mut Scheduler,
    item: &Item,
    records: Option<&mut HashMap<JobId, (JobRecord, u64)>>,
    now: Millis,
    wall: Timestamp,
) {
    match parse_intake_key(&item.key) {
        Some(IntakeKey::Cancel(id)) => {
            if !sched.cancel(&id, now, wall) {
                let requested = CancelMark::decode(&item.value).map_or(wall, |mark| mark.requested);
                sched.keep_cancel_mark(id, requested.min(wall));
            }
        }
        Some(IntakeKey::Job(id)) => match rmp_serde::from_slice::<JobSpec>(&item.value) {
            Ok(spec) => {
                let record = records.and_then(|records| records.remove(&id));
                sched.add_job(id, spec, record, now, wall);
            }
            Err(err) => tracing::error!(job = %id, %err, "stored job is invalid; it is ignored"),
        },
        None => tracing::error!(
            key = item.key,
            "key among the stored jobs is invalid; it is ignored"
        ),
    }
}

/// Passes a change of a worker entry to the scheduler. Returns the worker if the entry is valid. An
/// invalid entry names no worker to use, also if it has replaced a valid one.
pub(super) fn apply_worker(
    shared: &Shared,
    sched: &mut Scheduler,
    change: &Change,
    now: Millis,
) -> Option<WorkerId> {
    let key = match change {
        Change::Put(item) => match decode_worker(shared, item) {
            Ok(entry) => {
                let id = entry.id.clone();
                return sched.set_entry(entry, now).then_some(id);
            }
            Err(err) => {
                tracing::warn!(
                    key = item.key,
                    revision = item.revision,
                    err,
                    "worker entry is invalid"
                );
                &item.key
            }
        },
        Change::Removed(key) => key,
    };
    let prefix = shared.platform_format.workers_prefix();
    if let Some(id) = key.strip_prefix(prefix).and_then(|id| id.parse().ok()) {
        sched.remove_entry(&id);
    }
    None
}

fn decode_worker(shared: &Shared, item: &Item) -> Result<WorkerEntry, String> {
    let entry = shared.platform_format.worker(&item.key, &item.value)?;
    let latest = shared.clock.wall().0.saturating_add(MAX_CLOCK_ERROR.0);
    if entry.incarnation > latest {
        return Err(format!("start {} lies in the future", entry.incarnation));
    }
    Ok(entry)
}

/// Reads all pages under a prefix. Also returns the revision of the first page; a watch from there
/// shows the changes that were made between the pages.
async fn read_all(shared: &Shared, prefix: &str) -> Option<(Vec<Item>, u64)> {
    let mut items: Vec<Item> = Vec::new();
    let mut first_at = None;
    let mut after = String::new();
    let mut failures = 0;
    loop {
        let page = shared.store.page(prefix, &after).await;
        shared.record_store_call("page", &page);
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                failures += 1;
                if failures > MAX_FAILURES {
                    tracing::warn!(prefix, %err, "read has failed too often; it is given up");
                    return None;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        failures = 0;
        let at = *first_at.get_or_insert(page.at);
        let last = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        match last {
            Some(last) if page.truncated && last > after => after = last,
            Some(last) if page.truncated => {
                tracing::error!(
                    prefix,
                    after,
                    last,
                    "pages do not advance; the read is given up"
                );
                return None;
            }
            _ => return Some((items, at)),
        }
    }
}
