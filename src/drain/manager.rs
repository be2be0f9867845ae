//! Keeps the list of drained workers in the key-value service and among peers.

use parking_lot::RwLock;

use super::Drained;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{Records, StoredRecord, TypedRecord, WriteOutcome};
use crate::schema::drain::{DrainRecord, DrainTarget};
use crate::web::{decode, encode};

/// Writes that may come first before a change gives up.
const ATTEMPTS: u32 = 10;

impl TypedRecord for DrainRecord {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Changes and follows the record `drain/<region>`.
pub struct DrainManager {
    records: Arc<Records>,
    key: String,
    drained: RwLock<Drained>,
}

impl DrainManager {
    /// Keeps the record of a region.
    pub fn new(records: Arc<Records>, region: &RegionId) -> Self {
        Self {
            records,
            key: format!("drain/{region}"),
            drained: RwLock::default(),
        }
    }

    /// Returns the newest known list.
    pub fn drained(&self) -> Drained {
        self.drained.read().clone()
    }

    /// Returns the newest known record for a heartbeat; `None` before the first change.
    pub fn export(&self) -> Option<Vec<u8>> {
        let drained = self.drained.read();
        let record = drained.record();
        (record.serial > 0).then(|| encode(record).ok()).flatten()
    }

    /// Takes the record of a peer.
    pub fn offer(&self, buf: &[u8]) {
        match decode::<DrainRecord>(buf) {
            Ok(record) => {
                self.drained.write().raise(record);
            }
            Err(err) => tracing::warn!(err, "drain record of a peer cannot be read"),
        }
    }

    /// Reads the record from the store.
    pub async fn refresh(&self) -> Result<(), BundleError> {
        let stored: Option<StoredRecord<DrainRecord>> = self.records.read(&self.key).await?;
        if let Some(stored) = stored {
            self.drained.write().raise(stored.value);
        }
        Ok(())
    }

    /// Drains a target or ends its drain; returns the record in force afterwards.
    pub async fn change(
        &self,
        target: &DrainTarget,
        drained: bool,
    ) -> Result<DrainRecord, BundleError> {
        for _ in 0..ATTEMPTS {
            let stored: Option<StoredRecord<DrainRecord>> = self.records.read(&self.key).await?;
            let (current, expected) = match stored {
                Some(stored) => (stored.value, Expected::At(stored.revision)),
                None => (DrainRecord::default(), Expected::Absent),
            };
            let Some(next) = current.changed(target, drained, self.records.token()) else {
                self.drained.write().raise(current.clone());
                return Ok(current);
            };
            match self.records.write(&self.key, expected, &next).await? {
                WriteOutcome::Done(_) => {
                    self.drained.write().raise(next.clone());
                    return Ok(next);
                }
                WriteOutcome::Conflict { .. } => {}
            }
        }
        Err(BundleError::Unavailable(format!(
            "{} changed too often; nothing was changed",
            self.key
        )))
    }
}
