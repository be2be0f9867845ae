//! Watches of a leader on jobs and workers in the store.

use std::collections::BTreeSet;
use std::time::Duration;

use super::config_watch::{RETRY_PAUSE, WATCH_WAIT};
use super::keys::{INTAKE, IntakeKey, parse_intake_key};
use super::leader::Leader;
use super::load::{apply_intake, apply_worker, load_workers, reload_intake};
use super::ports::{Change, WatchResponse};
use crate::prelude::*;

/// Pause between two watches of the workers, so that changes are handled in batches: heartbeats
/// change many entries a second. A drain must be known within 2 s.
const WORKERS_BATCH_PAUSE: Duration = Duration::from_millis(350);

/// Passes new jobs and cancellations to the scheduler.
pub(super) async fn watch_intake(leader: Arc<Leader>, mut after: u64) {
    let shared = &leader.shared;
    loop {
        let watch = shared.store.watch(INTAKE, after, WATCH_WAIT).await;
        shared.record_store_call("watch", &watch);
        match watch {
            Ok(WatchResponse::Changes(changes, at)) => {
                after = at;
                if changes.is_empty() {
                    continue;
                }
                let wall = shared.clock.wall();
                leader.update(|sched, now| {
                    for change in &changes {
                        match change {
                            Change::Put(item) => apply_intake(sched, item, None, now, wall),
                            Change::Removed(key) => {
                                if let Some(IntakeKey::Cancel(id)) = parse_intake_key(key) {
                                    sched.drop_cancel_mark(&id);
                                }
                            }
                        }
                    }
                });
            }
            Ok(WatchResponse::Compacted) => match reload_intake(&leader).await {
                Some(at) => after = at,
                None => tokio::time::sleep(RETRY_PAUSE).await,
            },
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Passes changes of worker entries to the scheduler.
pub(super) async fn watch_workers(leader: Arc<Leader>, mut after: u64) {
    let shared = &leader.shared;
    let prefix = shared.platform_format.workers_prefix().to_string();
    leader.update(|sched, now| {
        sched.on_entries_watched(&BTreeSet::new(), now);
        if shared.has_store_just_returned() {
            sched.distrust_entries();
        }
    });
    loop {
        let watch = shared.store.watch(&prefix, after, WATCH_WAIT).await;
        shared.record_store_call("watch", &watch);
        match watch {
            Ok(WatchResponse::Changes(changes, at)) => {
                after = at;
                leader.update(|sched, now| {
                    let written = changes
                        .iter()
                        .filter_map(|change| apply_worker(shared, sched, change, now))
                        .collect();
                    sched.on_entries_watched(&written, now);
                });
                if changes.is_empty() {
                    continue;
                }
                tokio::time::sleep(WORKERS_BATCH_PAUSE).await;
            }
            Ok(WatchResponse::Compacted) => match load_workers(&leader).await {
                Some(at) => {
                    after = at;
                    // A read does not tell when the entries were written.
                    leader.update(|sched, now| sched.on_entries_watched(&BTreeSet::new(), now));
                }
                None => tokio::time::sleep(RETRY_PAUSE).await,
            },
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
