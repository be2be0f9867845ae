//! Keys that this process holds as home or backup.

use std::collections::{BTreeSet, HashMap};

use super::key_state::Known;
use super::{BackupResult, Completion, KeyLimits, RecordResult, Repeat};
use crate::prelude::*;
use crate::schema::dedup::{KeyRecord, RecordedAnswer};

#[derive(Clone, Debug)]
struct Entry {
    request: String,
    attempt: WriterToken,
    expires_at: Millis,
    known: Known,
}

impl Entry {
    /// Merges another attempt that may have run, from a message that was held up.
    ///
    /// One of the two has expired where it was recorded, but this table cannot tell which: it
    /// remembers the key for as long as either and gives no answer that may be the older one's.
    fn overlap(&self, other: &Self) -> Self {
        let known = match self.known {
            Known::InProgress => Known::InProgress,
            Known::Ended(_) => Known::Ended(Completion::Unknown),
        };
        Self {
            expires_at: self.expires_at.max(other.expires_at),
            known,
            ..self.clone()
        }
    }
}

/// Records of idempotency keys, bounded in age, count and bytes.
///
/// Keys are never dropped before they expire, since a repeat would run again; answers may be.
#[derive(Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    entries: HashMap<String, Entry>,
    by_expiry: BTreeSet<(Millis, String)>,
    answers: BTreeSet<(Millis, String)>,
    bytes: usize,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answers: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of keys and answers held.
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
            Some(entry) if entry.known.is_not_run() => Some(entry.attempt.clone()),
            Some(entry) if entry.request != request => {
                return RecordResult::Repeat(Repeat::OtherRequest);
            }
            Some(entry) => return RecordResult::Repeat(entry.known.repeat()),
            None if self.entries.len() >= self.limits.max_records => return RecordResult::Full,
            None => None,
        };
        self.insert(
            key,
            Entry {
                request: request.to_string(),
                attempt: attempt.clone(),
                expires_at: now + self.limits.retention,
                known: Known::InProgress,
            },
        );
        RecordResult::New { replaces }
    }

    /// Records a key at its backup; `replaces` names an attempt that did not run.
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
                    && !entry.known.is_not_run()
                    && replaces != Some(&entry.attempt) =>
            {
                return self
                    .export(&record.key, now)
                    .map_or(BackupResult::Full, BackupResult::Conflict);
            }
            None if self.entries.len() >= self.limits.max_records => return BackupResult::Full,
            _ => {}
        }
        let entry = self.entry_of(record, now);
        self.insert(&record.key, entry);
        BackupResult::Recorded
    }

    /// Records how an attempt ended; tells whether the attempt is the recorded one.
    pub fn complete(&mut self, key: &str, attempt: &WriterToken, completion: Completion) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let known = Known::Ended(completion);
        if entry.attempt != *attempt || !entry.known.yields_to(&known) {
            return false;
        }
        let mut entry = entry.clone();
        entry.known = known;
        self.insert(key, entry);
        true
    }

    /// Merges a record from another holder.
    ///
    /// Hand-overs may exceed the count limit: a dropped record would let its request run again.
    pub fn merge(&mut self, record: &KeyRecord, now: Millis) {
        self.expire(now);
        let known = Known::from_record(record);
        let entry = self.entry_of(record, now);
        let merged = match self.entries.get(&record.key) {
            None => Some(entry).filter(|entry| entry.expires_at > now && !known.is_not_run()),
            Some(held) if held.attempt == entry.attempt => {
                Some(entry).filter(|_| held.known.yields_to(&known))
            }
            Some(_) if known.is_not_run() => None,
            Some(held) if held.known.is_not_run() => Some(entry),
            Some(held) => Some(held.overlap(&entry)),
        };
        if let Some(entry) = merged {
            self.insert(&record.key, entry);
        }
    }

    /// Returns what a repeat of the key would be told, or `None` if the key may be used.
    pub fn lookup(&self, key: &str, now: Millis) -> Option<Repeat> {
        self.entries
            .get(key)
            .filter(|entry| entry.expires_at > now && !entry.known.is_not_run())
            .map(|entry| entry.known.repeat())
    }

    /// Forgets keys whose retention has passed.
    pub fn expire(&mut self, now: Millis) {
        while let Some((at, key)) = self.by_expiry.first() {
            if *at > now {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Returns the record of a key as a message to another holder.
    pub fn export(&self, key: &str, now: Millis) -> Option<KeyRecord> {
        let entry = self.entries.get(key)?;
        let left = entry.expires_at.since(now);
        Some(KeyRecord {
            key: key.to_string(),
            request: entry.request.clone(),
            attempt: entry.attempt.clone(),
            age_ms: self.limits.retention.since(left),
            state: entry.known.state(),
            answer: entry.known.answer().map(|answer| answer.as_ref().clone()),
        })
    }

    /// Returns the keys held, oldest first.
    pub fn keys(&self) -> Vec<String> {
        self.by_expiry.iter().map(|(_, key)| key.clone()).collect()
    }

    fn entry_of(&self, record: &KeyRecord, now: Millis) -> Entry {
        Entry {
            request: record.request.clone(),
            attempt: record.attempt.clone(),
            expires_at: now + self.limits.retention.since(record.age_ms),
            known: Known::from_record(record),
        }
    }

    fn insert(&mut self, key: &str, mut entry: Entry) {
        self.remove(key);
        if let Some(answer) = entry.known.answer() {
            if answer.body.len() > self.limits.max_answer_bytes {
                entry.known = Known::Ended(Completion::Unknown);
            } else {
                self.answers.insert((entry.expires_at, key.to_string()));
            }
        }
        self.by_expiry.insert((entry.expires_at, key.to_string()));
        self.bytes += entry_bytes(key, &entry);
        self.entries.insert(key.to_string(), entry);
        self.drop_answers();
    }

    fn remove(&mut self, key: &str) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.bytes -= entry_bytes(key, &entry);
        let place = (entry.expires_at, key.to_string());
        self.by_expiry.remove(&place);
        self.answers.remove(&place);
    }

    /// Drops the oldest answers until the table is within its bytes.
    fn drop_answers(&mut self) {
        while self.bytes > self.limits.max_bytes {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.bytes -= entry
                    .known
                    .answer()
                    .map_or(0, |answer| answer_bytes(answer));
                entry.known = Known::Ended(Completion::Unknown);
            }
        }
    }
}

fn entry_bytes(key: &str, entry: &Entry) -> usize {
    // The key is stored in the map and in the order of expiry.
    let answer = entry
        .known
        .answer()
        .map_or(0, |answer| answer_bytes(answer));
    2 * key.len() + entry.request.len() + answer
}

fn answer_bytes(answer: &RecordedAnswer) -> usize {
    let headers: usize = answer
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum();
    answer.body.len() + headers
}
