//! Watches the operator's configuration in the store and applies new versions.

use std::time::Duration;

use super::jobs::LOOKUP_TIMEOUT;
use super::peers::{PeerCall, PeerResponse};
use super::ports::{Change, Item, WatchResponse};
use super::shared::Shared;
use crate::prelude::*;

/// Longest wait of one watch. A stalled connection is detected shortly after it, which is soon
/// enough for a new configuration to be applied in time.
pub(super) const WATCH_WAIT: Millis = Millis(1500);

/// Pause before a failed call to the store is retried.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time until the answer to the read of an item begins.
pub(super) const GET_TIMEOUT: Millis = Millis(800);

/// Time of a bound on the age of the configuration that a watch leaves for the loss of its answer and
/// for the next call.
const LOST_ANSWER_TIME: Millis = Millis(1000);

/// Shortest wait of a watch, so that a short bound does not make it a poll.
const SHORTEST_WAIT: Millis = Millis(300);

/// Watches the configuration until `cancel` is triggered.
pub(super) async fn watch_config(shared: Arc<Shared>, cancel: CancellationToken) {
    let mut watch = ConfigWatch::new(shared);
    while !cancel.is_cancelled() {
        watch.step().await;
    }
}

/// The next call of the watch of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read the whole value.
    Read,
    /// Ask at once for changes after a revision. Unlike a read, this transfers the value only if it
    /// has changed.
    Check(u64),
    /// Wait for changes after a revision.
    Wait(u64),
}

struct ConfigWatch {
    shared: Arc<Shared>,
    key: String,
    /// Longest wait of one watch.
    wait: Millis,
    next: Step,
}

impl ConfigWatch {
    fn new(shared: Arc<Shared>) -> Self {
        let wait = (shared.cfg.config_apply - LOST_ANSWER_TIME).min(WATCH_WAIT);
        Self {
            key: shared.platform_format.config_key().to_string(),
            wait: wait.max(SHORTEST_WAIT),
            next: Step::Read,
            shared,
        }
    }

    async fn step(&mut self) {
        self.shared.note_outdated_config();
        let done = match self.next {
            Step::Read => self.read().await,
            Step::Check(after) => self.watch(after, Millis(0)).await,
            Step::Wait(after) => self.watch(after, self.wait).await,
        };
        self.next = match (done, self.next) {
            (Some(next), _) => next,
            // The answer may be lost with its connection.
            (None, Step::Wait(after)) => Step::Check(after),
            (None, _) => {
                self.ask_leader().await;
                tokio::time::sleep(RETRY_PAUSE).await;
                Step::Read
            }
        };
    }

    /// Reads the value. Returns the next step, or `None` without an answer.
    async fn read(&self) -> Option<Step> {
        let sent_at = self.shared.clock.now();
        let read = self.shared.store.get(&self.key, GET_TIMEOUT).await;
        self.shared.record_store_call("get", &read);
        let (item, at) = read.ok()?;
        let Some(item) = item else {
            return Some(Step::Wait(at));
        };
        apply(&self.shared, &item);
        self.shared.confirm_config(sent_at);
        Some(Step::Check(at.max(item.revision)))
    }

    /// Asks the leader whether the version in force is still the newest: a daemon that is cut off
    /// from the store alone can go on serving its callers.
    async fn ask_leader(&self) {
        let Some(address) = self.shared.leader_address() else {
            return;
        };
        let sent_at = self.shared.clock.now();
        let response = self
            .shared
            .caller
            .exchange::<_, PeerResponse>(&address, "/peer", &PeerCall::ConfigAge, LOOKUP_TIMEOUT)
            .await;
        match response {
            Ok(PeerResponse::ConfigAge(Some(config)))
                if config.version == self.shared.config_version() =>
            {
                self.shared.confirm_config(sent_at - config.age);
            }
            Ok(response) => tracing::info!(
                leader = address,
                ?response,
                version = self.shared.config_version(),
                "leader does not confirm the configuration"
            ),
            Err(err) => tracing::info!(
                leader = address,
                %err,
                "leader does not answer; the configuration is not confirmed"
            ),
        }
    }

    /// Waits for changes. Returns the next step, or `None` without an answer.
    async fn watch(&self, after: u64, wait: Millis) -> Option<Step> {
        let sent_at = self.shared.clock.now();
        let watch = self.shared.store.watch(&self.key, after, wait).await;
        self.shared.record_store_call("watch", &watch);
        let (changes, at) = match watch.ok()? {
            WatchResponse::Changes(changes, at) => (changes, at),
            WatchResponse::Compacted => return Some(Step::Read),
        };
        if changes.is_empty() {
            // The store answers at the end of the wait.
            let answered_at = self.shared.clock.now();
            self.shared.confirm_config(answered_at.min(sent_at + wait));
            return Some(Step::Wait(at));
        }
        let newest = changes.into_iter().rev().find_map(|change| match change {
            Change::Put(item) if item.key == self.key => Some(item),
            _ => None,
        });
        if let Some(item) = newest {
            apply(&self.shared, &item);
        }
        // The answer may have been made any time after it was asked for.
        self.shared.confirm_config(sent_at);
        Some(Step::Check(at))
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
