//! Calls of a node to the store.

use std::time::Duration;

use super::MemberNode;
use crate::membership::Input;
use crate::prelude::*;
use crate::provider::{CasOutcome, Expected};
use crate::schema::peer::{Member, MemberRecord};
use crate::web::{decode, encode};

/// Timeout of a store call. A store adapter with a shorter timeout returns earlier.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

impl MemberNode {
    pub(super) async fn create_lease(&self, me: &Member) -> Input {
        let sent = self.now();
        match self.try_create_lease(me).await {
            Ok(true) => Input::LeaseGranted(sent),
            Ok(false) | Err(_) => Input::LeaseCallFailed,
        }
    }

    async fn try_create_lease(&self, me: &Member) -> Result<bool, StoreError> {
        let key = self.entry_key();
        let ttl = self.config.timing.lease_ttl;
        if !timed(self.store.keep_lease(&key, ttl, true)).await? {
            return Ok(false);
        }
        let value = encode(me).map_err(StoreError::Invalid)?;
        let written = self
            .store
            .cas(&key, Expected::Absent, Some(value), Some(&key));
        Ok(match timed(written).await? {
            CasOutcome::Written(_) => true,
            // Only this process writes the key, so the response to an earlier write was lost.
            CasOutcome::Conflict(found) => found.is_some(),
        })
    }

    pub(super) async fn renew_lease(&self) -> Input {
        let sent = self.now();
        let ttl = self.config.timing.lease_ttl;
        let key = self.entry_key();
        match timed(self.store.keep_lease(&key, ttl, false)).await {
            Ok(true) => Input::LeaseGranted(sent),
            Ok(false) => Input::LeaseExpired,
            Err(_) => Input::LeaseCallFailed,
        }
    }

    pub(super) async fn read_record(&self, leave: bool) -> Input {
        let started = self.now();
        match self.try_read_record(leave).await {
            Ok((record, entries)) => Input::RecordRead {
                started,
                record,
                entries,
            },
            Err(err) => {
                tracing::debug!(%err, "member record cannot be read");
                Input::RecordFailed
            }
        }
    }

    async fn try_read_record(
        &self,
        leave: bool,
    ) -> Result<(Option<(MemberRecord, Revision)>, Vec<Member>), StoreError> {
        if leave {
            self.delete_entry().await?;
        }
        let record = match timed(self.store.get(&self.record_key())).await? {
            Some(found) => Some((
                decode(&found.value).map_err(StoreError::Invalid)?,
                found.revision,
            )),
            None => None,
        };
        let prefix = format!("entry/{}/", self.config.region);
        let entries = timed(self.store.list(&prefix))
            .await?
            .iter()
            .filter_map(|entry| decode(&entry.value).ok())
            .collect();
        Ok((record, entries))
    }

    async fn delete_entry(&self) -> Result<(), StoreError> {
        let key = self.entry_key();
        if let Some(entry) = timed(self.store.get(&key)).await? {
            timed(
                self.store
                    .cas(&key, Expected::At(entry.revision), None, None),
            )
            .await?;
        }
        Ok(())
    }

    pub(super) async fn write_record(
        &self,
        revision: Option<Revision>,
        record: &MemberRecord,
    ) -> Input {
        let expected = revision.map_or(Expected::Absent, Expected::At);
        let Ok(value) = encode(record) else {
            return Input::RecordFailed;
        };
        let key = self.record_key();
        match timed(self.store.cas(&key, expected, Some(value), None)).await {
            Ok(CasOutcome::Written(_)) => Input::RecordWritten,
            Ok(CasOutcome::Conflict(found)) => {
                Input::RecordConflict(found.and_then(|found| decode(&found.value).ok()))
            }
            Err(StoreError::Unavailable(_)) => Input::RecordFailed,
            Err(StoreError::AnswerLost(_) | StoreError::Invalid(_)) => Input::WriteInDoubt,
        }
    }

    fn entry_key(&self) -> String {
        format!("entry/{}/{}", self.config.region, self.config.me.id)
    }

    fn record_key(&self) -> String {
        format!("members/{}", self.config.region)
    }
}

/// Limits a store call to [`CALL_TIMEOUT`]. After a timeout the outcome is unknown.
async fn timed<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(StoreError::AnswerLost("no response in time".to_string())))
}
