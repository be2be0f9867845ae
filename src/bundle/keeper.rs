//! Synchronisation of the bundle in force with the store and with peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::{ActiveBundle, BundleInForce, BundleStatus, Trust};
use crate::prelude::*;
use crate::provider::Store;
use crate::records::CURRENT;
use crate::schema::config::{CurrentRecord, KeyRing};
use crate::web::{decode, encode};

/// Maximum duration of one watch. If a notification is lost, the next watch reports the change.
const WATCH_WAIT: Millis = Millis::from_secs(2);

/// Number of consecutive watches without a change after which the record is read anyway, in case
/// the store lost its revisions.
const WATCHES_PER_READ: u32 = 30;

/// Age of the last confirmation by the store, direct or through peers, at which a process reads the
/// record itself. A change thus takes effect within 8 s even where no peer can be reached.
const MAX_AGE: Millis = Millis::from_secs(6);

/// Interval at which the age of the last confirmation is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum size of a record from a peer; the store has the same limit.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// The newest accepted record and its verified key ring.
#[derive(Default)]
struct Accepted {
    record: Option<CurrentRecord>,
    ring: Option<KeyRing>,
}

/// Verifies records of `bundle/current` and puts newer bundles in force.
///
/// A record contains the key ring that verifies it, and the ring is signed by a root key from the
/// settings. A process that starts while the store is down can therefore trust a record from a
/// peer.
pub struct BundleKeeper {
    trust: Trust,
    active: Arc<ActiveBundle>,
    accepted: RwLock<Accepted>,
    is_watcher: AtomicBool,
    last_confirmed: Mutex<Option<Instant>>,
    role_changed: Notify,
    versions: watch::Sender<Version>,
}

impl BundleKeeper {
    /// Creates a keeper without a bundle that puts accepted bundles into `active`.
    pub fn new(trust: Trust, active: Arc<ActiveBundle>) -> Self {
        Self {
            trust,
            active,
            accepted: RwLock::default(),
            is_watcher: AtomicBool::new(false),
            last_confirmed: Mutex::new(None),
            role_changed: Notify::new(),
            versions: watch::channel(Version(0)).0,
        }
    }

    /// Returns the cell with the bundle in force.
    pub fn active(&self) -> &Arc<ActiveBundle> {
        &self.active
    }

    /// Returns the bundle version in force; zero before the first bundle.
    pub fn newest(&self) -> Version {
        self.active.version()
    }

    /// Returns the serial number of the newest key ring; zero before the first one.
    pub fn ring_serial(&self) -> u64 {
        self.accepted
            .read()
            .ring
            .as_ref()
            .map_or(0, |ring| ring.serial)
    }

    /// Returns the newest accepted key ring.
    pub fn ring(&self) -> Option<KeyRing> {
        self.accepted.read().ring.clone()
    }

    /// Returns a channel that notifies of each version that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Returns the encoded signed record for a peer; `None` before the first one.
    pub fn export(&self) -> Option<Vec<u8>> {
        self.accepted
            .read()
            .record
            .as_ref()
            .and_then(|record| encode(record).ok())
    }

    /// Verifies an encoded record and adopts what is newer in it; returns whether its bundle or key
    /// ring was newer.
    pub fn offer(&self, record: &[u8]) -> Result<bool, BundleError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(untrusted("record is too long"));
        }
        let record: CurrentRecord = decode(record).map_err(|err| untrusted(&err))?;
        self.accept(record)
    }

    /// Returns the status that heartbeats carry to peers.
    pub fn status(&self) -> BundleStatus {
        BundleStatus {
            version: self.newest(),
            ring: self.ring_serial(),
            age: self.age(),
        }
    }

    /// Processes the status of a peer; returns whether the peer has a newer record to fetch.
    ///
    /// If the peer knows the same version and key ring, its last confirmation by the store counts
    /// for this process too and saves a read of the store.
    pub fn receive_status(&self, status: &BundleStatus) -> bool {
        let (version, ring) = (self.newest(), self.ring_serial());
        if status.version > version || status.ring > ring {
            return true;
        }
        let confirmed_at = status
            .age
            .and_then(|age| Instant::now().checked_sub(age.into()));
        if status.version == version && status.ring == ring {
            let mut last_confirmed = self.last_confirmed.lock();
            *last_confirmed = (*last_confirmed).max(confirmed_at);
        }
        false
    }

    fn age(&self) -> Option<Millis> {
        self.last_confirmed.lock().map(|at| at.elapsed().into())
    }

    /// Sets whether this process is one of the few that watch the store.
    pub fn set_watcher(&self, watcher: bool) {
        self.is_watcher.store(watcher, Ordering::Relaxed);
        self.role_changed.notify_one();
    }

    /// Keeps the bundle up to date with the store until `cancel` fires.
    pub async fn run(&self, store: Arc<dyn Store>, cancel: CancellationToken) {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.follow(store.as_ref()) => {}
        }
    }

    /// Reads the record once, adopts it if it is newer, and returns its revision.
    pub async fn refresh(&self, store: &dyn Store) -> Result<Revision, BundleError> {
        let found = store
            .get(CURRENT)
            .await
            .map_err(|err| BundleError::Unavailable(err.to_string()))?;
        let revision = match found {
            None => Revision(0),
            Some(found) => {
                self.offer(&found.value)?;
                found.revision
            }
        };
        *self.last_confirmed.lock() = Some(Instant::now());
        Ok(revision)
    }

    async fn follow(&self, store: &dyn Store) {
        let mut last_err = None;
        loop {
            let seen = match self.refresh(store).await {
                Ok(seen) => seen,
                Err(err) => {
                    if last_err.as_ref() != Some(&err) {
                        tracing::warn!(%err, "bundle in the store cannot be used; retrying");
                    }
                    last_err = Some(err);
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            last_err = None;
            self.wait_until_due(store, seen).await;
        }
    }

    /// Waits until the record must be read again: after a change or failed watch, after
    /// `WATCHES_PER_READ` quiet watches, or at `MAX_AGE` if this process is not a watcher.
    async fn wait_until_due(&self, store: &dyn Store, seen: Revision) {
        let mut watches = 0;
        while watches < WATCHES_PER_READ {
            if !self.is_watcher.load(Ordering::Relaxed) {
                let role_changed = self.role_changed.notified();
                let _ = tokio::time::timeout(AGE_CHECK_INTERVAL, role_changed).await;
                if self.age().is_none_or(|age| age >= MAX_AGE) {
                    return;
                }
                continue;
            }
            match store.watch(CURRENT, seen, WATCH_WAIT).await {
                Ok(changes) if changes.is_empty() => {
                    *self.last_confirmed.lock() = Some(Instant::now())
                }
                Ok(_) => return,
                Err(_) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    return;
                }
            }
            watches += 1;
        }
    }

    /// Adopts a newer ring and a newer bundle from a verified record, each independently.
    fn accept(&self, record: CurrentRecord) -> Result<bool, BundleError> {
        let mut accepted = self.accepted.write();
        if accepted.record.as_ref() == Some(&record) {
            return Ok(false);
        }
        let version = record.release.as_ref().map_or(Version(0), |r| r.version);
        if version != record.version {
            return Err(untrusted("record and release differ in version"));
        }
        let ring = self.newer_ring(&accepted, &record)?;
        let bundle = self.newer_bundle(&accepted, &record, ring.as_ref())?;
        if ring.is_none() && bundle.is_none() {
            return Ok(false);
        }
        let mut next = accepted.record.clone().unwrap_or_else(|| record.clone());
        if let Some(ring) = ring {
            next.ring = record.ring;
            next.ring_changed_by = record.ring_changed_by;
            next.ring_changed_at = record.ring_changed_at;
            accepted.ring = Some(ring);
        }
        if let Some(bundle) = bundle {
            next.version = version;
            next.release = record.release;
            self.active.raise(bundle);
            self.versions.send_replace(version);
        }
        next.writer = record.writer;
        accepted.record = Some(next);
        Ok(true)
    }

    /// Verifies the record's key ring and returns it if it is newer than the accepted one.
    fn newer_ring(
        &self,
        accepted: &Accepted,
        record: &CurrentRecord,
    ) -> Result<Option<KeyRing>, BundleError> {
        let known = accepted.record.as_ref().map(|record| &record.ring.text);
        if known == Some(&record.ring.text) {
            return Ok(None);
        }
        let ring = self.trust.verify_ring(&record.ring)?;
        match &accepted.ring {
            Some(current) if current.serial == ring.serial => {
                Err(untrusted("two key rings have the same serial"))
            }
            Some(current) if current.serial > ring.serial => Ok(None),
            _ => Ok(Some(ring)),
        }
    }

    /// Verifies the record's release against the newest ring and returns it if it is newer than
    /// the bundle in force.
    fn newer_bundle(
        &self,
        accepted: &Accepted,
        record: &CurrentRecord,
        ring: Option<&KeyRing>,
    ) -> Result<Option<BundleInForce>, BundleError> {
        let Some(release) = &record.release else {
            return Ok(None);
        };
        let in_force = accepted.record.as_ref().and_then(|r| r.release.as_ref());
        if let Some(current) = in_force {
            if current.version == release.version && current.digest != release.digest {
                return Err(untrusted("two bundles have the same version"));
            }
            if current.version >= release.version {
                return Ok(None);
            }
        }
        let ring = ring
            .or(accepted.ring.as_ref())
            .ok_or_else(|| untrusted("there is no key ring"))?;
        Ok(Some(BundleInForce {
            version: release.version,
            bundle: release.verify(ring)?,
        }))
    }
}

fn untrusted(message: &str) -> BundleError {
    BundleError::Untrusted(message.to_string())
}
