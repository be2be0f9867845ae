//! Watches the operator's configuration in the store and applies new versions.

use std::time::Duration;

use super::ports::{Change, Item, WatchResponse};
use super::shared::Shared;
use crate::prelude::*;

/// Longest wait of one watch. A stalled connection is detected shortly after it, which is soon
/// enough for a new configuration to be applied in time.
pub(super) const WATCH_WAIT: Millis = Millis(1500);

/// Pause before a failed call to the store is retried.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Timeout of reading one item.
pub(super) const GET_TIMEOUT: Millis = Millis(800);

/// Watches the configuration until `cancel` is triggered.
pub(super) async fn watch_config(shared: Arc<Shared>, cancel: CancellationToken) {
    let key = shared.platform_format.config_key().to_string();
    let mut after = None;
    while !cancel.is_cancelled() {
        shared.note_outdated_config();
        let sent_at = shared.clock.now();
        let Some(at) = after else {
            let read = shared.store.get(&key, GET_TIMEOUT).await;
            shared.record_store_call("get", &read);
            match read {
                Ok((item, at)) => {
                    let at = item.as_ref().map_or(at, |item| at.max(item.revision));
                    if let Some(item) = item {
                        apply(&shared, &item);
                        shared.confirm_config(sent_at);
                    }
                    after = Some(at);
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
            continue;
        };
        let watch = shared.store.watch(&key, at, WATCH_WAIT).await;
        shared.record_store_call("watch", &watch);
        match watch {
            Ok(WatchResponse::Changes(changes, at)) => {
                // The store answers a watch without changes at the end of its wait, and one with
                // changes at an unknown time after it was sent.
                let confirmed_at = match changes.is_empty() {
                    true => shared.clock.now().min(sent_at + WATCH_WAIT),
                    false => sent_at,
                };
                for change in changes {
                    if let Change::Put(item) = change
                        && item.key == key
                    {
                        apply(&shared, &item);
                    }
                }
                shared.confirm_config(confirmed_at);
                after = Some(at);
            }
            Ok(WatchResponse::Compacted) => after = None,
            Err(_) => {
                // Changes may have been missed, so the value is read again.
                after = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply(shared: &Shared, item: &Item) {
    let table = match shared.platform_format.config(&item.value) {
        Ok(table) => Arc::new(table),
        Err(err) => {
            tracing::error!(key = item.key, revision = item.revision, %err, "configuration is invalid; the previous version stays in force");
            return;
        }
    };
    let mut current = shared.queues.write();
    // A delayed response must not replace a newer version.
    if current
        .as_ref()
        .is_some_and(|known| known.version >= table.version)
    {
        return;
    }
    tracing::info!(
        version = table.version,
        revision = item.revision,
        queues = table.queues.len(),
        "configuration in force"
    );
    shared
        .metrics
        .config_version
        .set(i64::try_from(table.version).unwrap_or(i64::MAX));
    *current = Some(table.clone());
    drop(current);
    if let Some(leader) = shared.local_leader() {
        leader.update(|sched, now| sched.set_queues(table, now));
    }
}
