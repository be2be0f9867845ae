//! Reads the leader's state from the store.

use std::collections::{BTreeSet, HashMap};

use super::config_watch::{GET_TIMEOUT, RETRY_PAUSE};
use super::keys::{INTAKE, Intake, LEARNED, RECORDS, intake, record_id};
use super::leader::Leader;
use super::ports::{Change, Item};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobRecord, JobSpec, Scheduler};

/// Failed pages after which a read is given up.
const MAX_FAILURES: usize = 8;

/// Reads jobs, records and workers; returns the revisions to watch from.
pub(super) async fn load(leader: &Arc<Leader>) -> Option<(u64, u64)> {
    let (records, _) = read_all(&leader.shared, RECORDS).await?;
    let mut known = HashMap::new();
    for item in records {
        let Some(id) = record_id(&item.key) else {
            continue;
        };
        match rmp_serde::from_slice::<JobRecord>(&item.value) {
            Ok(record) => {
                known.insert(id, (record, item.revision));
            }
            Err(err) => tracing::error!(job = %id, %err, "record cannot be read"),
        }
    }
    let (items, intake_at) = read_all(&leader.shared, INTAKE).await?;
    let now = leader.shared.clock.now();
    let wall = leader.shared.clock.wall();
    for item in &items {
        apply_intake(&mut leader.sched.lock(), item, Some(&mut known), now, wall);
    }
    let workers_at = load_workers(leader).await?;
    let learned = leader.shared.store.get(LEARNED, GET_TIMEOUT).await;
    leader.shared.note_store("get", &learned);
    // Without it the leader learns anew, so a failed read does not keep it from leading.
    if let Ok((Some(item), _)) = learned
        && !leader.sched.lock().restore_interference(&item.value)
    {
        tracing::warn!(revision = item.revision, "what was learned cannot be used");
    }
    Some((intake_at, workers_at))
}

/// Reads jobs and cancellations again after a watch has lost its history.
pub(super) async fn reload_intake(leader: &Arc<Leader>) -> Option<u64> {
    let (items, at) = read_all(&leader.shared, INTAKE).await?;
    let wall = leader.shared.clock.wall();
    leader.change(|sched, now| {
        for item in &items {
            apply_intake(sched, item, None, now, wall);
        }
    });
    Some(at)
}

/// Reads the workers' entries.
pub(super) async fn load_workers(leader: &Arc<Leader>) -> Option<u64> {
    let shared = &leader.shared;
    let prefix = shared.format.workers_prefix().to_string();
    let (items, at) = read_all(shared, &prefix).await?;
    let mut ids = BTreeSet::new();
    leader.change(|sched, now| {
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

/// Applies a job or a cancellation from the store.
pub(super) fn apply_intake(
    sched: &mut Scheduler,
    item: &Item,
    records: Option<&mut HashMap<JobId, (JobRecord, u64)>>,
    now: Millis,
    wall: Timestamp,
) {
    match intake(&item.key) {
        Some(Intake::Cancel(id)) => sched.cancel(&id, now, wall),
        Some(Intake::Job(id)) => match rmp_serde::from_slice::<JobSpec>(&item.value) {
            Ok(spec) => {
                let record = records.and_then(|records| records.remove(&id));
                sched.add_job(id, spec, record, now, wall);
            }
            Err(err) => tracing::error!(job = %id, %err, "stored job cannot be read"),
        },
        None => tracing::error!(key = item.key, "key is not of a job"),
    }
}

/// Applies a change of a worker's entry.
pub(super) fn apply_worker(shared: &Shared, sched: &mut Scheduler, change: &Change, now: Millis) {
    match change {
        Change::Put(item) => match shared.format.worker(&item.key, &item.value) {
            Ok(entry) => sched.set_entry(entry, now),
            Err(err) => {
                tracing::debug!(key = item.key, revision = item.revision, %err, "worker entry cannot be read");
            }
        },
        Change::Removed(key) => {
            let id = key
                .strip_prefix(shared.format.workers_prefix())
                .and_then(|id| id.parse().ok());
            if let Some(id) = id {
                sched.remove_entry(&id);
            }
        }
    }
}

/// Reads all pages under a prefix; returns the revision of the first, from which a watch shows
/// what changed between the pages.
async fn read_all(shared: &Shared, prefix: &str) -> Option<(Vec<Item>, u64)> {
    let mut items: Vec<Item> = Vec::new();
    let mut first_at = None;
    let mut after = String::new();
    let mut failures = 0;
    loop {
        let page = shared.store.page(prefix, &after).await;
        shared.note_store("page", &page);
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                failures += 1;
                if failures > MAX_FAILURES {
                    tracing::warn!(prefix, %err, "read given up");
                    return None;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let at = *first_at.get_or_insert(page.at);
        let last = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        match last {
            Some(last) if page.truncated => after = last,
            _ => return Some((items, at)),
        }
    }
}
