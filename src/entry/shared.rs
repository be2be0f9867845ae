//! State that all parts of the daemon share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::RwLock;

use super::leader::Leader;
use super::metrics::EntryMetrics;
use super::ports::{PlatformFormat, StateStore, WorkerCalls};
use super::{Clock, EntrySettings};
use crate::prelude::*;
use crate::scheduler::QueueTable;
use crate::web::Caller;

/// Time without an answer of the store after which it counts as lost to this process.
const STORE_SILENCE: Millis = Millis(1500);

/// The leader as the store names it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct LeaderInfo {
    /// Name of its VM.
    pub vm: String,
    /// Where other entry processes reach it.
    pub address: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What every part of the daemon can reach.
pub(super) struct Shared {
    pub cfg: EntrySettings,
    pub store: Arc<dyn StateStore>,
    pub workers: Arc<dyn WorkerCalls>,
    pub format: Arc<dyn PlatformFormat>,
    pub clock: Clock,
    pub caller: Caller,
    pub metrics: EntryMetrics,
    pub incarnation: u64,
    pub queues: RwLock<Option<Arc<QueueTable>>>,
    pub leader_info: RwLock<Option<LeaderInfo>>,
    pub leader: RwLock<Option<Arc<Leader>>>,
    pub leaving: AtomicBool,
    store_heard: AtomicU64,
    store_lost: AtomicBool,
}

impl Shared {
    pub fn new(
        cfg: EntrySettings,
        store: Arc<dyn StateStore>,
        workers: Arc<dyn WorkerCalls>,
        format: Arc<dyn PlatformFormat>,
        clock: Clock,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            incarnation: clock.wall().0,
            cfg,
            store,
            workers,
            format,
            clock,
            caller: Caller::new(),
            metrics,
            queues: RwLock::new(None),
            leader_info: RwLock::new(None),
            leader: RwLock::new(None),
            leaving: AtomicBool::new(false),
            store_heard: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
        }
    }

    /// Notes whether a call to the store was answered.
    pub fn note_store<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::AnswerLost(_)) => "lost",
            Err(StoreError::Invalid(_)) => "invalid",
        };
        self.metrics
            .store_calls
            .with_label_values(&[call, outcome])
            .inc();
        match result {
            Ok(_) => {
                self.store_heard
                    .store(self.clock.now().0, Ordering::Relaxed);
                if self.store_lost.swap(false, Ordering::Relaxed) {
                    tracing::info!(call, "store regained");
                }
            }
            Err(err) => {
                if !self.store_lost.swap(true, Ordering::Relaxed) {
                    tracing::warn!(call, %err, "store lost");
                }
            }
        }
    }

    /// Tells whether the store has answered lately.
    pub fn has_store(&self) -> bool {
        let heard = Millis(self.store_heard.load(Ordering::Relaxed));
        !self.store_lost.load(Ordering::Relaxed) || self.clock.now().since(heard) < STORE_SILENCE
    }

    /// Tells whether the last call to the store failed.
    pub fn store_failed(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Tells whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && self.queues.read().is_some() && self.has_store()
    }

    pub fn lead(&self) -> Option<Arc<Leader>> {
        self.leader.read().clone()
    }

    /// Address of the leader, if it is another process.
    pub fn leader_address(&self) -> Option<String> {
        let name = self.leader_info.read();
        name.as_ref()
            .filter(|name| name.address != self.cfg.peer)
            .map(|name| name.address.clone())
    }
}
