//! Keeps the bundle in force up to date from the store and from peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::{ActiveBundle, BundleInForce, BundleNews, Trust};
use crate::prelude::*;
use crate::provider::Store;
use crate::records::CURRENT;
use crate::schema::config::{CurrentRecord, KeyRing};
use crate::web::{decode, encode};

/// Longest wait of one watch; the next watch reports what a lost notification left out.
const WATCH_WAIT: Millis = Millis::from_secs(2);

/// Watches without a change after which the record is read all the same, in case the store lost
/// its revisions.
const WATCHES_PER_READ: u32 = 30;

/// Time after which a process reads the record itself if neither it nor a peer has heard from the
/// store; a change then is in effect within 8 s even where no peer can be reached.
const MAX_AGE: Millis = Millis::from_secs(6);

/// Interval at which the age is looked at.
const AGE_TICK: Duration = Duration::from_millis(500);

/// Wait after a failed call of the store.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Largest record of a peer; the store holds no more either.
const MAX_RECORD_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Kept {
    record: Option<CurrentRecord>,
    ring: Option<KeyRing>,
}

/// Verifies records of `bundle/current` and puts newer bundles in force.
///
/// A record carries the key ring that verifies it, and the ring is signed by a root key from the
/// settings. A process that starts while the store is down can therefore trust what a peer sends.
pub struct BundleKeeper {
    trust: Trust,
    active: Arc<ActiveBundle>,
    kept: RwLock<Kept>,
    is_watcher: AtomicBool,
    confirmed: Mutex<Option<Instant>>,
    role_changed: Notify,
    versions: watch::Sender<Version>,
}

impl BundleKeeper {
    /// Starts without a bundle.
    pub fn new(trust: Trust, active: Arc<ActiveBundle>) -> Self {
        Self {
            trust,
            active,
            kept: RwLock::default(),
            is_watcher: AtomicBool::new(false),
            confirmed: Mutex::new(None),
            role_changed: Notify::new(),
            versions: watch::channel(Version(0)).0,
        }
    }

    /// Returns the bundle in force.
    pub fn active(&self) -> &Arc<ActiveBundle> {
        &self.active
    }

    /// Returns the version in force; zero before the first bundle.
    pub fn newest(&self) -> Version {
        self.active.version()
    }

    /// Returns the serial of the newest key ring; zero before the first one.
    pub fn newest_ring(&self) -> u64 {
        self.kept.read().ring.as_ref().map_or(0, |ring| ring.serial)
    }

    /// Returns the newest key ring.
    pub fn ring(&self) -> Option<KeyRing> {
        self.kept.read().ring.clone()
    }

    /// Tells of every version that comes in force.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Returns the signed record for a peer.
    pub fn export(&self) -> Option<Vec<u8>> {
        self.kept
            .read()
            .record
            .as_ref()
            .and_then(|record| encode(record).ok())
    }

    /// Verifies a record; tells whether it brought a newer bundle or key ring.
    pub fn offer(&self, record: &[u8]) -> Result<bool, BundleError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(untrusted("record is too long"));
        }
        let record: CurrentRecord = decode(record).map_err(|err| untrusted(&err))?;
        self.accept(record)
    }

    /// Returns what a heartbeat tells peers.
    pub fn news(&self) -> BundleNews {
        BundleNews {
            version: self.newest(),
            ring: self.newest_ring(),
            age: self.age(),
        }
    }

    /// Takes in what a peer tells; returns whether the peer has something newer to fetch.
    ///
    /// A peer with the same knowledge, confirmed by the store some time ago, saves this process a
    /// read of its own.
    pub fn hear(&self, news: &BundleNews) -> bool {
        let (version, ring) = (self.newest(), self.newest_ring());
        if news.version > version || news.ring > ring {
            return true;
        }
        let confirmed_at = news
            .age
            .and_then(|age| Instant::now().checked_sub(age.into()));
        if news.version == version && news.ring == ring {
            let mut confirmed = self.confirmed.lock();
            *confirmed = (*confirmed).max(confirmed_at);
        }
        false
    }

    fn age(&self) -> Option<Millis> {
        self.confirmed.lock().map(|at| at.elapsed().into())
    }

    /// Makes this process one of the few that watch the store, or no longer one.
    pub fn set_watcher(&self, watcher: bool) {
        self.is_watcher.store(watcher, Ordering::Relaxed);
        self.role_changed.notify_one();
    }

    /// Follows the store until `cancel` fires.
    pub async fn run(&self, store: Arc<dyn Store>, cancel: CancellationToken) {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.follow(store.as_ref()) => {}
        }
    }

    /// Reads the record once and puts it in force if it is newer.
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
        *self.confirmed.lock() = Some(Instant::now());
        Ok(revision)
    }

    async fn follow(&self, store: &dyn Store) {
        let mut last_err = None;
        loop {
            let seen = match self.refresh(store).await {
                Ok(seen) => seen,
                Err(err) => {
                    if last_err.as_ref() != Some(&err) {
                        tracing::warn!(%err, "bundle in the store cannot be used");
                    }
                    last_err = Some(err);
                    tokio::time::sleep(RETRY_WAIT).await;
                    continue;
                }
            };
            last_err = None;
            self.until_due(store, seen).await;
        }
    }

    /// Waits until the record has to be read again.
    async fn until_due(&self, store: &dyn Store, seen: Revision) {
        let mut watches = 0;
        while watches < WATCHES_PER_READ {
            if !self.is_watcher.load(Ordering::Relaxed) {
                let role_changed = self.role_changed.notified();
                let _ = tokio::time::timeout(AGE_TICK, role_changed).await;
                if self.age().is_none_or(|age| age >= MAX_AGE) {
                    return;
                }
                continue;
            }
            match store.watch(CURRENT, seen, WATCH_WAIT).await {
                Ok(changes) if changes.is_empty() => *self.confirmed.lock() = Some(Instant::now()),
                Ok(_) => return,
                Err(_) => {
                    tokio::time::sleep(RETRY_WAIT).await;
                    return;
                }
            }
            watches += 1;
        }
    }

    fn accept(&self, record: CurrentRecord) -> Result<bool, BundleError> {
        let mut kept = self.kept.write();
        if kept.record.as_ref() == Some(&record) {
            return Ok(false);
        }
        let version = record.release.as_ref().map_or(Version(0), |r| r.version);
        if version != record.version {
            return Err(untrusted("record and release differ in version"));
        }
        let ring = self.newer_ring(&kept, &record)?;
        let bundle = self.newer_bundle(&kept, &record, ring.as_ref())?;
        if ring.is_none() && bundle.is_none() {
            return Ok(false);
        }
        let mut next = kept.record.clone().unwrap_or_else(|| record.clone());
        if let Some(ring) = ring {
            next.ring = record.ring;
            next.ring_changed_by = record.ring_changed_by;
            next.ring_changed_at = record.ring_changed_at;
            kept.ring = Some(ring);
        }
        if let Some(bundle) = bundle {
            next.version = version;
            next.release = record.release;
            self.active.raise(bundle);
            self.versions.send_replace(version);
        }
        next.writer = record.writer;
        kept.record = Some(next);
        Ok(true)
    }

    /// Verifies the record's ring and returns it if it is newer than the one kept.
    fn newer_ring(
        &self,
        kept: &Kept,
        record: &CurrentRecord,
    ) -> Result<Option<KeyRing>, BundleError> {
        let known = kept.record.as_ref().map(|record| &record.ring.text);
        if known == Some(&record.ring.text) {
            return Ok(None);
        }
        let ring = self.trust.open(&record.ring)?;
        match &kept.ring {
            Some(held) if held.serial == ring.serial => {
                Err(untrusted("two key rings have the same serial"))
            }
            Some(held) if held.serial > ring.serial => Ok(None),
            _ => Ok(Some(ring)),
        }
    }

    /// Verifies the record's release against the newest ring and returns it if it is newer than
    /// the bundle in force.
    fn newer_bundle(
        &self,
        kept: &Kept,
        record: &CurrentRecord,
        ring: Option<&KeyRing>,
    ) -> Result<Option<BundleInForce>, BundleError> {
        let Some(release) = &record.release else {
            return Ok(None);
        };
        let in_force = kept.record.as_ref().and_then(|r| r.release.as_ref());
        if let Some(held) = in_force {
            if held.version == release.version && held.digest != release.digest {
                return Err(untrusted("two bundles have the same version"));
            }
            if held.version >= release.version {
                return Ok(None);
            }
        }
        let ring = ring
            .or(kept.ring.as_ref())
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
