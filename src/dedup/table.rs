//! Table of the keys that a process holds as home or backup.

use std::collections::{BTreeSet, HashMap};

use super::key_status::KeyStatus;
use super::{BackupResult, Completion, KeyLimits, RecordResult, Repeat};
use crate::prelude::*;
use crate::schema::dedup::{KeyRecord, RecordedAnswer};

#[derive(Clone, Debug)]
struct Entry {
    request: String,
    attempt: WriterToken,
    expires_at: Millis,
    status: KeyStatus,
}

impl Entry {
    /// Merges another attempt under the same key that may have run, from a delayed message.
    ///
    /// One of the two attempts has expired where it was recorded, but this table cannot tell
    /// which. The merged entry keeps the later expiry, and no response, since the recorded one may
    /// belong to the older attempt.
    fn merge_conflict(&self, other: &Self) -> Self {
        let status = match self.status {
            KeyStatus::InProgress => KeyStatus::InProgress,
            KeyStatus::Ended(_) => KeyStatus::Ended(Completion::Unknown),
        };
        Self {
            expires_at: self.expires_at.max(other.expires_at),
            status,
            ..self.clone()
        }
    }
}

/// Records of idempotency keys, limited in age, number and bytes.
///
/// A key is never dropped before its expiry, since a repeat would run again. A response may be.
#[derive(Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    entries: HashMap<String, Entry>,
    by_expiry: BTreeSet<(Millis, String)>,
    responses_by_expiry: BTreeSet<(Millis, String)>,
    bytes: usize,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            responses_by_expiry: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the keys and responses held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records a key at its home before its request is sent.
    pub fn record(
        &mut self,
        key: &str,
        request: &str,
        attempt: &WriterToken,
        now: Millis,
    ) -> RecordResult {
        self.expire(now);
        let replaces = match self.entries.get(key) {
            Some(entry) if entry.status.is_not_run() => Some(entry.attempt.clone()),
            Some(entry) if entry.request != request => {
                return RecordResult::Repeat(Repeat::OtherRequest);
            }
            Some(entry) => return RecordResult::Repeat(entry.status.as_repeat()),
            None if self.entries.len() >= self.limits.max_records => return RecordResult::Full,
            None => None,
        };
        self.insert(
            key,
            Entry {
                request: request.to_string(),
                attempt: attempt.clone(),
                expires_at: now + self.limits.retention,
                status: KeyStatus::InProgress,
            },
        );
        RecordResult::New { replaces }
    }

    /// Records a key at its backup. `replaces` is an earlier attempt that did not run and may be
    /// overwritten.
    pub fn record_backup(
        &mut self,
        record: &KeyRecord,
        replaces: Option<&WriterToken>,
        now: Millis,
    ) -> BackupResult {
        self.expire(now);
        match self.entries.get(&record.key) {
            Some(entry)
                if entry.attempt != record.attempt
                    && !entry.status.is_not_run()
                    && replaces != Some(&entry.attempt) =>
            {
                return self
                    .export(&record.key, now)
                    .map_or(BackupResult::Full, BackupResult::Conflict);
            }
            None if self.entries.len() >= self.limits.max_records => return BackupResult::Full,
            _ => {}
        }
        let entry = self.entry_from(record, now);
        self.insert(&record.key, entry);
        BackupResult::Recorded
    }

    /// Records the completion of an attempt and returns whether this changed its status.
    ///
    /// Nothing changes if another attempt is recorded or the recorded status is at least as late.
    pub fn complete(&mut self, key: &str, attempt: &WriterToken, completion: Completion) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let status = KeyStatus::Ended(completion);
        if entry.attempt != *attempt || !entry.status.is_superseded_by(&status) {
            return false;
        }
        let mut entry = entry.clone();
        entry.status = status;
        self.insert(key, entry);
        true
    }

    /// Merges a record from another holder.
    ///
    /// Merging may exceed the maximum number of keys, since a dropped record would let its request
    /// run again.
    pub fn merge(&mut self, record: &KeyRecord, now: Millis) {
        self.expire(now);
        let status = KeyStatus::from_record(record);
        let entry = self.entry_from(record, now);
        let merged = match self.entries.get(&record.key) {
            None => Some(entry).filter(|entry| entry.expires_at > now && !status.is_not_run()),
            Some(held) if held.attempt == entry.attempt => {
                Some(entry).filter(|_| held.status.is_superseded_by(&status))
            }
            Some(_) if status.is_not_run() => None,
            Some(held) if held.status.is_not_run() => Some(entry),
            Some(held) => Some(held.merge_conflict(&entry)),
        };
        if let Some(entry) = merged {
            self.insert(&record.key, entry);
        }
    }

    /// Returns the result of a repeat of the key, or `None` if the key may be used.
    pub fn lookup(&self, key: &str, now: Millis) -> Option<Repeat> {
        self.entries
            .get(key)
            .filter(|entry| entry.expires_at > now && !entry.status.is_not_run())
            .map(|entry| entry.status.as_repeat())
    }

    /// Removes expired keys.
    pub fn expire(&mut self, now: Millis) {
        while let Some((at, key)) = self.by_expiry.first() {
            if *at > now {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Returns the record of a key in the form that is sent to another holder.
    pub fn export(&self, key: &str, now: Millis) -> Option<KeyRecord> {
        let entry = self.entries.get(key)?;
        let remaining = entry.expires_at.since(now);
        Some(KeyRecord {
            key: key.to_string(),
            request: entry.request.clone(),
            attempt: entry.attempt.clone(),
            age_ms: self.limits.retention.since(remaining),
            state: entry.status.state(),
            answer: entry
                .status
                .response()
                .map(|response| response.as_ref().clone()),
        })
    }

    /// Returns the keys held, in order of expiry.
    pub fn keys(&self) -> Vec<String> {
        self.by_expiry.iter().map(|(_, key)| key.clone()).collect()
    }

    fn entry_from(&self, record: &KeyRecord, now: Millis) -> Entry {
        Entry {
            request: record.request.clone(),
            attempt: record.attempt.clone(),
            expires_at: now + self.limits.retention.since(record.age_ms),
            status: KeyStatus::from_record(record),
        }
    }

    fn insert(&mut self, key: &str, mut entry: Entry) {
        self.remove(key);
        if let Some(response) = entry.status.response() {
            if response.body.len() > self.limits.max_response_bytes {
                entry.status = KeyStatus::Ended(Completion::Unknown);
            } else {
                self.responses_by_expiry
                    .insert((entry.expires_at, key.to_string()));
            }
        }
        self.by_expiry.insert((entry.expires_at, key.to_string()));
        self.bytes += entry_bytes(key, &entry);
        self.entries.insert(key.to_string(), entry);
        self.drop_responses();
    }

    fn remove(&mut self, key: &str) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.bytes -= entry_bytes(key, &entry);
        let index_key = (entry.expires_at, key.to_string());
        self.by_expiry.remove(&index_key);
        self.responses_by_expiry.remove(&index_key);
    }

    /// Drops the oldest responses until the table is within its limit of bytes.
    fn drop_responses(&mut self) {
        while self.bytes > self.limits.max_bytes {
            let Some((_, key)) = self.responses_by_expiry.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.bytes -= entry
                    .status
                    .response()
                    .map_or(0, |response| response_bytes(response));
                entry.status = KeyStatus::Ended(Completion::Unknown);
            }
        }
    }
}

fn entry_bytes(key: &str, entry: &Entry) -> usize {
    // The key is stored twice, in the map and in the expiry index.
    let response = entry
        .status
        .response()
        .map_or(0, |response| response_bytes(response));
    2 * key.len() + entry.request.len() + response
}

fn response_bytes(response: &RecordedAnswer) -> usize {
    let headers: usize = response
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum();
    response.body.len() + headers
}
