//! Reads and compare-and-swap writes of typed records.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::WriterTokens;
use crate::prelude::*;
use crate::provider::{CasOutcome, Expected, Record, Store};
use crate::web::{decode, encode};

/// Maximum number of write-and-read rounds that resolve one lost response.
const RESOLVE_ATTEMPTS: u32 = 6;

/// Delay before the next attempt to resolve a lost response.
const RESOLVE_WAIT: Duration = Duration::from_millis(200);

/// Content of a record that carries the token of its last write.
pub trait TypedRecord: Serialize + DeserializeOwned {
    /// Returns the token of the last write.
    fn writer(&self) -> &WriterToken;
}

/// A record as read from the store, with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRecord<T> {
    /// Decoded content.
    pub value: T,
    /// Revision that the next compare-and-swap must expect.
    pub revision: Revision,
}

/// Result of a compare-and-swap write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome<T> {
    /// The record was written at this revision.
    Done(Revision),
    /// The record carries the token of another write, or does not exist.
    Conflict {
        /// Record found in the store; `None` if it does not exist.
        found: Option<StoredRecord<T>>,
        /// Whether a response was lost before, so that the own write may have succeeded and been
        /// overwritten.
        after_loss: bool,
    },
}

/// Reads and writes typed records on behalf of one process.
pub struct Records {
    store: Arc<dyn Store>,
    tokens: WriterTokens,
}

impl Records {
    /// Accesses the records in `store`; writer tokens contain `member`, which must be unique for
    /// every start of a process.
    pub fn new(store: Arc<dyn Store>, member: MemberId) -> Self {
        Self {
            store,
            tokens: WriterTokens::new(member),
        }
    }

    /// Returns a token for the next write.
    pub fn token(&self) -> WriterToken {
        self.tokens.next()
    }

    /// Reads a record.
    pub async fn read<T: TypedRecord>(
        &self,
        key: &str,
    ) -> Result<Option<StoredRecord<T>>, BundleError> {
        let found = self.store.get(key).await.map_err(unavailable)?;
        found.map(decode_record).transpose()
    }

    /// Reads all records whose key starts with `prefix`, in key order.
    pub async fn list<T: TypedRecord>(
        &self,
        prefix: &str,
    ) -> Result<Vec<StoredRecord<T>>, BundleError> {
        let found = self.store.list(prefix).await.map_err(unavailable)?;
        found.into_iter().map(decode_record).collect()
    }

    /// Writes a record if its current revision is `expected`.
    ///
    /// If the response is lost, the record is read to find the outcome. The write is retried only
    /// if the read still shows the expected revision. At most one of the two writes can succeed,
    /// because both expect the same revision.
    pub async fn write<T: TypedRecord>(
        &self,
        key: &str,
        expected: Expected,
        value: &T,
    ) -> Result<WriteOutcome<T>, BundleError> {
        let buf = encode(value).map_err(|reason| BundleError::BadRecord {
            key: key.to_string(),
            reason,
        })?;
        let mut lost: Option<String> = None;
        for _ in 0..RESOLVE_ATTEMPTS {
            let call = self.store.cas(key, expected, Some(buf.clone()), None);
            match call.await {
                Ok(CasOutcome::Written(revision)) => return Ok(WriteOutcome::Done(revision)),
                Ok(CasOutcome::Conflict(found)) => return resolve(found, value, lost.is_some()),
                Err(StoreError::AnswerLost(reason)) => lost = Some(reason),
                Err(err) if lost.is_none() => return Err(unavailable(err)),
                Err(_) => {}
            }
            match self.store.get(key).await {
                Ok(found) if is_expected(expected, found.as_ref()) => {}
                Ok(found) => return resolve(found, value, true),
                Err(_) => tokio::time::sleep(RESOLVE_WAIT).await,
            }
        }
        Err(BundleError::Unknown {
            key: key.to_string(),
            reason: lost.unwrap_or_default(),
        })
    }

    /// Deletes a record that is no longer needed. A failure is only logged and the record stays.
    pub async fn discard(&self, key: &str, revision: Revision) {
        let call = self.store.cas(key, Expected::At(revision), None, None);
        if let Err(err) = call.await {
            tracing::warn!(key, %err, "expired record stays in the store");
        }
    }
}

/// Derives the outcome of a write from the record that the store holds, by its writer token.
fn resolve<T: TypedRecord>(
    found: Option<Record>,
    value: &T,
    after_loss: bool,
) -> Result<WriteOutcome<T>, BundleError> {
    let found: Option<StoredRecord<T>> = found.map(decode_record).transpose()?;
    Ok(match found {
        Some(stored) if stored.value.writer() == value.writer() => {
            WriteOutcome::Done(stored.revision)
        }
        found => WriteOutcome::Conflict { found, after_loss },
    })
}

fn is_expected(expected: Expected, found: Option<&Record>) -> bool {
    match expected {
        Expected::Absent => found.is_none(),
        Expected::At(revision) => found.is_some_and(|record| record.revision == revision),
    }
}

fn decode_record<T: TypedRecord>(record: Record) -> Result<StoredRecord<T>, BundleError> {
    let value = decode(&record.value).map_err(|reason| BundleError::BadRecord {
        key: record.key,
        reason,
    })?;
    Ok(StoredRecord {
        value,
        revision: record.revision,
    })
}

fn unavailable(err: StoreError) -> BundleError {
    BundleError::Unavailable(err.to_string())
}
