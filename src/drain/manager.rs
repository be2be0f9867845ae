//! Changes to the list of drained workers and zones in the key-value service, and its distribution
//! to peers.

use parking_lot::RwLock;

use super::Drained;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{Records, StoredRecord, TypedRecord, WriteOutcome};
use crate::schema::drain::{DrainRecord, DrainTarget};
use crate::web::{decode, encode};

/// Maximum number of attempts to make a change while concurrent writes come first.
const ATTEMPTS: u32 = 10;

impl TypedRecord for DrainRecord {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Changes the record `drain/<region>` and holds the newest version that is known.
pub struct DrainManager {
    records: Arc<Records>,
    key: String,
    drained: RwLock<Drained>,
}

impl DrainManager {
    /// Creates the manager of a region's record, with an empty list.
    pub fn new(records: Arc<Records>, region: &RegionId) -> Self {
        Self {
            records,
            key: format!("drain/{region}"),
            drained: RwLock::default(),
        }
    }

    /// Returns the newest known list of drained workers and zones.
    pub fn drained(&self) -> Drained {
        self.drained.read().clone()
    }

    /// Returns the newest known record, encoded for a heartbeat; `None` before the first change.
    pub fn export(&self) -> Option<Vec<u8>> {
        let drained = self.drained.read();
        let record = drained.record();
        (record.serial > 0).then(|| encode(record).ok()).flatten()
    }

    /// Adopts the encoded record of a peer if it is newer.
    pub fn offer(&self, buf: &[u8]) {
        match decode::<DrainRecord>(buf) {
            Ok(record) => {
                self.drained.write().raise(record);
            }
            Err(err) => {
                tracing::warn!(err, "drain record of a peer cannot be decoded; ignoring it")
            }
        }
    }

    /// Reads the record from the store and adopts it if it is newer.
    pub async fn refresh(&self) -> Result<(), BundleError> {
        let stored: Option<StoredRecord<DrainRecord>> = self.records.read(&self.key).await?;
        if let Some(stored) = stored {
            self.drained.write().raise(stored.value);
        }
        Ok(())
    }

    /// Starts or ends the draining of a target; returns the resulting record.
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
