//! State that is shared by all parts of the daemon.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::{Mutex, RwLock};

use super::claim_history::ClaimHistory;
use super::config_age::ConfigAge;
use super::leader::Leader;
use super::metrics::EntryMetrics;
use super::peers::ConfirmedConfig;
use super::ports::{PlatformFormat, StateStore, WorkerCalls};
use super::{Clock, EntrySettings, TermEnd};
use crate::admission::TokenBucket;
use crate::prelude::*;
use crate::scheduler::{MAX_ENTRIES_AGE, QueueTable};
use crate::web::{Caller, Inbound};

/// Time since the last response of the store after which it counts as unavailable to this process.
const STORE_SILENCE_TIMEOUT: Millis = Millis(1500);

/// Time after the end of an outage within which workers have written their entries again.
const ENTRIES_RETURN_TIME: Millis = Millis(2500);

/// Cancellations of unknown jobs that a process stores in a second, and at once after a pause. Each
/// is kept for a minute: 41 processes keep at most 26,000, which a leader reads within a second.
const UNKNOWN_CANCELS_PER_S: f64 = 10.0;
const UNKNOWN_CANCELS_BURST: f64 = 50.0;

/// Value of the leader key: the process that leads, and by which of its claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub(super) struct LeaderInfo {
    /// Name of the leader's VM.
    pub vm: String,
    /// Address of the leader for other entry processes.
    pub address: String,
    /// Incarnation of the leader's process.
    pub incarnation: u64,
    /// Number of the claim; zero from builds that did not number their claims.
    pub claim: ClaimNumber,
}

/// Settings, clients and common state of the daemon.
pub(super) struct Shared {
    pub cfg: EntrySettings,
    pub store: Arc<dyn StateStore>,
    pub workers: Arc<dyn WorkerCalls>,
    pub platform_format: Arc<dyn PlatformFormat>,
    pub clock: Clock,
    pub caller: Caller,
    pub metrics: EntryMetrics,
    /// Connections of clients to all ports.
    pub inbound: Arc<Inbound>,
    /// Start of this process by the wall clock, in milliseconds.
    pub incarnation: u64,
    /// Configuration in force, once it is known.
    pub queues: RwLock<Option<Arc<QueueTable>>>,
    /// When the configuration in force was last known to be the newest.
    config_age: Mutex<ConfigAge>,
    /// The process that leads, if it is known.
    pub leader_info: RwLock<Option<LeaderInfo>>,
    /// State of the current term, if this process leads.
    pub leader: RwLock<Option<Arc<Leader>>>,
    /// Claims of this process, and what became of them.
    pub claims: Mutex<ClaimHistory>,
    /// Limits the cancellations of unknown jobs.
    unknown_cancels: Mutex<TokenBucket>,
    /// Set when shutdown begins.
    pub shutting_down: AtomicBool,
    /// Time of the last response of the store.
    store_answered_at: AtomicU64,
    /// Time of the first response of the store after the last outage; 0 if there was none.
    store_returned_at: AtomicU64,
    /// Whether the last call to the store failed.
    store_failing: AtomicBool,
}

impl Shared {
    pub fn new(
        cfg: EntrySettings,
        store: Arc<dyn StateStore>,
        workers: Arc<dyn WorkerCalls>,
        platform_format: Arc<dyn PlatformFormat>,
        clock: Clock,
        metrics: EntryMetrics,
    ) -> Self {
        let incarnation = clock.wall().0;
        let unknown_cancels = TokenBucket::new(
            UNKNOWN_CANCELS_PER_S,
            Millis::from_secs(1),
            UNKNOWN_CANCELS_BURST,
            clock.now(),
        );
        Self {
            unknown_cancels: Mutex::new(unknown_cancels),
            incarnation,
            inbound: Arc::new(Inbound::new(cfg.inbound)),
            config_age: Mutex::new(ConfigAge::new(cfg.config_apply)),
            claims: Mutex::new(ClaimHistory::new(incarnation, clock.now())),
            cfg,
            store,
            workers,
            platform_format,
            clock,
            caller: Caller::new(),
            metrics,
            queues: RwLock::new(None),
            leader_info: RwLock::new(None),
            leader: RwLock::new(None),
            shutting_down: AtomicBool::new(false),
            store_answered_at: AtomicU64::new(0),
            store_returned_at: AtomicU64::new(0),
            store_failing: AtomicBool::new(false),
        }
    }

    /// Records the outcome of a call to the store.
    pub fn record_store_call<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
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
                let now = self.clock.now();
                let before = Millis(self.store_answered_at.swap(now.0, Ordering::Relaxed));
                if now.since(before) > MAX_ENTRIES_AGE {
                    self.store_returned_at.store(now.0, Ordering::Relaxed);
                }
                if self.store_failing.swap(false, Ordering::Relaxed) {
                    tracing::info!(call, "store regained");
                }
            }
            Err(err) => {
                if !self.store_failing.swap(true, Ordering::Relaxed) {
                    tracing::warn!(call, %err, "store lost");
                }
            }
        }
    }

    /// Records that no newer configuration existed at this time.
    pub fn confirm_config(&self, at: Millis) {
        let outdated_for = self.config_age.lock().confirm(at, self.clock.now());
        if let Some(age) = outdated_for {
            tracing::info!(
                age_ms = age.0,
                version = self.config_version(),
                "configuration confirmed again"
            );
        }
    }

    /// Logs once that the configuration in force has not been confirmed for too long.
    pub fn note_outdated_config(&self) {
        let age = self.config_age.lock().note_outdated(self.clock.now());
        if let Some(age) = age {
            tracing::warn!(
                age_ms = age.0,
                version = self.config_version(),
                limit_ms = self.cfg.config_apply.0,
                "configuration is not confirmed; a newer version may have to be in force"
            );
        }
    }

    /// Returns the time since the configuration in force was last known to be the newest.
    pub fn config_age(&self) -> Option<Millis> {
        self.config_age.lock().age(self.clock.now())
    }

    /// Returns the version in force and its age, once there is one.
    pub fn confirmed_config(&self) -> Option<ConfirmedConfig> {
        let age = self.config_age()?;
        let version = self.config_version();
        Some(ConfirmedConfig { version, age })
    }

    /// Returns whether a newer configuration may have to be in force than the one that is.
    pub fn is_config_outdated(&self) -> bool {
        self.config_age.lock().exceeds_limit(self.clock.now())
    }

    /// Returns the version in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.queues.read().as_ref().map_or(0, |table| table.version)
    }

    /// Encodes all metrics in the text format of Prometheus.
    pub fn encode_metrics(&self) -> Result<Vec<u8>, prometheus::Error> {
        let (config_age, inbound) = (self.config_age(), self.inbound.load());
        self.metrics.encode_text(config_age, inbound)
    }

    /// Returns whether the store counts as available.
    pub fn is_store_available(&self) -> bool {
        let answered_at = Millis(self.store_answered_at.load(Ordering::Relaxed));
        !self.store_failing.load(Ordering::Relaxed)
            || self.clock.now().since(answered_at) < STORE_SILENCE_TIMEOUT
    }

    /// Returns whether the store has been unavailable to this process so lately that workers may
    /// not have written their entries since.
    pub fn has_store_just_returned(&self) -> bool {
        let returned_at = Millis(self.store_returned_at.load(Ordering::Relaxed));
        self.clock.now().since(returned_at) < ENTRIES_RETURN_TIME
    }

    /// Returns whether the last call to the store failed.
    pub fn store_failed(&self) -> bool {
        self.store_failing.load(Ordering::Relaxed)
    }

    /// Returns whether this process can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.load(Ordering::Relaxed)
            && self.queues.read().is_some()
            && !self.is_config_outdated()
            && self.is_store_available()
    }

    /// Ends the term of a claim on behalf of the holder of `fence`, which has taken over. Returns
    /// `None` if a later term of this process goes on.
    pub fn end_for_successor(
        &self,
        incarnation: u64,
        claim: ClaimNumber,
        fence: u64,
    ) -> Option<TermEnd> {
        let now = self.clock.now();
        let mut claims = self.claims.lock();
        claims.end_for_successor(incarnation, claim, fence, now)
    }

    /// Returns whether one more cancellation of an unknown job may be stored.
    pub fn may_cancel_unknown(&self) -> bool {
        self.unknown_cancels.lock().take(self.clock.now())
    }

    /// Returns the state of the current term if this process leads.
    pub fn local_leader(&self) -> Option<Arc<Leader>> {
        self.leader.read().clone()
    }

    /// Returns the address of the leader if another process leads.
    pub fn leader_address(&self) -> Option<String> {
        let holder = self.leader_info.read();
        holder
            .as_ref()
            .filter(|holder| holder.address != self.cfg.peer)
            .map(|holder| holder.address.clone())
    }
}
