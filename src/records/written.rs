//! Reads and compare-and-swaps of typed records.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::WriterTokens;
use crate::prelude::*;
use crate::provider::{CasOutcome, Expected, Record, Store};
use crate::web::{decode, encode};

/// Writes and reads that resolve one lost answer.
const RESOLVE_ATTEMPTS: u32 = 6;

/// Wait before the next attempt to resolve a lost answer.
const RESOLVE_WAIT: Duration = Duration::from_millis(200);

/// A record that carries the token of its last write.
pub trait Stored: Serialize + DeserializeOwned {
    /// Returns the token of the last write.
    fn writer(&self) -> &WriterToken;
}

/// A record with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Held<T> {
    /// Content.
    pub value: T,
    /// Revision to expect in the next write.
    pub revision: Revision,
}

/// What a write did.
#[derive(Clone, Debug, PartialEq)]
pub enum Written<T> {
    /// The record was written at this revision.
    Done(Revision),
    /// Another write was found.
    Conflict {
        /// The record that was found.
        found: Option<Held<T>>,
        /// Whether an answer was lost before, so that the own write may have been overwritten.
        after_loss: bool,
    },
}

/// Typed records of one process.
pub struct Records {
    store: Arc<dyn Store>,
    tokens: WriterTokens,
}

impl Records {
    /// Reaches records in `store` and writes as `member`.
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
    pub async fn read<T: Stored>(&self, key: &str) -> Result<Option<Held<T>>, BundleError> {
        let found = self.store.get(key).await.map_err(unavailable)?;
        found.map(open).transpose()
    }

    /// Reads all records whose key starts with `prefix`, in key order.
    pub async fn list<T: Stored>(&self, prefix: &str) -> Result<Vec<Held<T>>, BundleError> {
        let found = self.store.list(prefix).await.map_err(unavailable)?;
        found.into_iter().map(open).collect()
    }

    /// Writes a record if it is as expected.
    ///
    /// A lost answer is resolved by reading the record. The write is issued again only if the read
    /// shows that it is still as expected; the first of the two that arrives wins and the other
    /// one fails, because both expect the same revision.
    pub async fn write<T: Stored>(
        &self,
        key: &str,
        expected: Expected,
        value: &T,
    ) -> Result<Written<T>, BundleError> {
        let buf = encode(value).map_err(|reason| BundleError::BadRecord {
            key: key.to_string(),
            reason,
        })?;
        let mut lost: Option<String> = None;
        for _ in 0..RESOLVE_ATTEMPTS {
            let call = self.store.cas(key, expected, Some(buf.clone()), None);
            match call.await {
                Ok(CasOutcome::Written(revision)) => return Ok(Written::Done(revision)),
                Ok(CasOutcome::Conflict(found)) => return judge(found, value, lost.is_some()),
                Err(StoreError::AnswerLost(reason)) => lost = Some(reason),
                Err(err) if lost.is_none() => return Err(unavailable(err)),
                Err(_) => {}
            }
            match self.store.get(key).await {
                Ok(found) if is_expected(expected, found.as_ref()) => {}
                Ok(found) => return judge(found, value, true),
                Err(_) => tokio::time::sleep(RESOLVE_WAIT).await,
            }
        }
        Err(BundleError::Unknown {
            key: key.to_string(),
            reason: lost.unwrap_or_default(),
        })
    }

    /// Deletes a record that is no longer needed; a failure leaves it for a later attempt.
    pub async fn discard(&self, key: &str, revision: Revision) {
        let call = self.store.cas(key, Expected::At(revision), None, None);
        if let Err(err) = call.await {
            tracing::warn!(key, %err, "expired record was not deleted");
        }
    }
}

fn judge<T: Stored>(
    found: Option<Record>,
    value: &T,
    after_loss: bool,
) -> Result<Written<T>, BundleError> {
    let found: Option<Held<T>> = found.map(open).transpose()?;
    Ok(match found {
        Some(held) if held.value.writer() == value.writer() => Written::Done(held.revision),
        found => Written::Conflict { found, after_loss },
    })
}

fn is_expected(expected: Expected, found: Option<&Record>) -> bool {
    match expected {
        Expected::Absent => found.is_none(),
        Expected::At(revision) => found.is_some_and(|record| record.revision == revision),
    }
}

fn open<T: Stored>(record: Record) -> Result<Held<T>, BundleError> {
    let value = decode(&record.value).map_err(|reason| BundleError::BadRecord {
        key: record.key,
        reason,
    })?;
    Ok(Held {
        value,
        revision: record.revision,
    })
}

fn unavailable(err: StoreError) -> BundleError {
    BundleError::Unavailable(err.to_string())
}
