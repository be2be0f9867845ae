//! The idempotency keys that this process holds.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate::dedup::{
    BackupResult, Completion, Coverage, CoverageStatus, KeyLimits, KeyTable, KeyView, RecordResult,
};
use crate::prelude::*;
use crate::schema::dedup::{
    KeyRecord, MergeKeys, MergeKeysReply, RecordKey, RecordKeyReply, RecordKeyVerdict,
};

/// Records in one message of a hand-over.
const BATCH_RECORDS: usize = 200;

/// Bytes of answers in one message of a hand-over.
const BATCH_BYTES: usize = 512 << 10;

struct Held {
    table: KeyTable,
    coverage: Coverage,
}

/// Table and coverage under one lock, so that records and epochs are changed together.
pub(super) struct Keys {
    member: MemberId,
    held: Mutex<Held>,
    attempts: AtomicU64,
}

/// What the home of a key does with a request.
pub(super) enum Claim {
    /// The key is recorded here and must be recorded at the backup.
    New {
        attempt: WriterToken,
        message: Box<RecordKey>,
    },
    /// The key is not new, or the table is full.
    Known(RecordResult),
    /// Earlier uses of the key cannot be excluded before `until`.
    Uncovered(CoverageStatus),
}

/// One message of a hand-over.
pub(super) struct HandOver {
    pub(super) to: MemberId,
    pub(super) message: MergeKeys,
}

impl Keys {
    pub(super) fn new(
        member: MemberId,
        limits: KeyLimits,
        view: Arc<dyn KeyView>,
        now: Millis,
    ) -> Self {
        let coverage = Coverage::new(member.clone(), limits.retention, view, now);
        let table = KeyTable::new(limits);
        Self {
            member,
            held: Mutex::new(Held { table, coverage }),
            attempts: AtomicU64::new(1),
        }
    }

    /// Returns the view in use.
    pub(super) fn view(&self) -> Option<Arc<dyn KeyView>> {
        self.held.lock().coverage.view().cloned()
    }

    /// Returns the number of keys held.
    pub(super) fn len(&self) -> usize {
        self.held.lock().table.len()
    }

    /// Records a key at this process, its home in the epoch of `view`.
    pub(super) fn claim(&self, key: &str, request: &str, epoch: Epoch, now: Millis) -> Claim {
        let counter = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = WriterToken::try_from(format!("{}:{counter}", self.member));
        let attempt = attempt.unwrap_or_default();
        let mut held = self.held.lock();
        let current = held.coverage.view().map(|view| view.epoch());
        if current != Some(epoch) {
            return Claim::Uncovered(CoverageStatus::Waiting { until: now });
        }
        let cover = held.coverage.status(key, now);
        if cover != CoverageStatus::Complete {
            return Claim::Uncovered(cover);
        }
        let replaces = match held.table.record(key, request, &attempt, now) {
            RecordResult::New { replaces } => replaces,
            known => return Claim::Known(known),
        };
        let Some(record) = held.table.export(key, now) else {
            return Claim::Known(RecordResult::Full);
        };
        Claim::New {
            attempt,
            message: Box::new(RecordKey {
                epoch,
                record,
                replaces,
            }),
        }
    }

    /// Notes how an attempt ended.
    pub(super) fn complete(&self, key: &str, attempt: &WriterToken, completion: Completion) {
        self.held.lock().table.complete(key, attempt, completion);
    }

    /// Returns the record of a key for the other holders.
    pub(super) fn export(&self, key: &str, now: Millis) -> Option<KeyRecord> {
        self.held.lock().table.export(key, now)
    }

    /// Takes over the record that the backup had before this process recorded the key.
    pub(super) fn learn(&self, record: &KeyRecord, now: Millis) -> Option<crate::dedup::Repeat> {
        let mut held = self.held.lock();
        held.table.merge(record, now);
        held.table.lookup(&record.key, now)
    }

    /// Records a key for its home; both must be in the same epoch.
    pub(super) fn record_backup(
        &self,
        message: &RecordKey,
        epoch: Epoch,
        now: Millis,
    ) -> RecordKeyReply {
        let mut held = self.held.lock();
        let same = held.coverage.view().is_some_and(|view| {
            let mut holders = view.holders(&message.record.key).into_iter().skip(1);
            view.epoch() == message.epoch && holders.any(|holder| holder == self.member)
        });
        if !same || epoch != message.epoch {
            return reply(RecordKeyVerdict::Refused, None);
        }
        let replaces = message.replaces.as_ref();
        match held.table.record_backup(&message.record, replaces, now) {
            BackupResult::Recorded => reply(RecordKeyVerdict::Recorded, None),
            BackupResult::Conflict(record) => reply(RecordKeyVerdict::Conflict, Some(record)),
            BackupResult::Full => reply(RecordKeyVerdict::Refused, None),
        }
    }

    /// Merges records of another holder; `None` if this process has not adopted the epoch yet.
    pub(super) fn merge(&self, message: &MergeKeys, now: Millis) -> Option<MergeKeysReply> {
        let mut held = self.held.lock();
        if held.coverage.view()?.epoch() < message.epoch {
            return None;
        }
        for record in &message.records {
            held.table.merge(record, now);
        }
        if message.last {
            let (from, epoch) = (&message.from, message.epoch);
            held.coverage
                .record_handover(from, epoch, message.settled, message.lost);
        }
        Some(MergeKeysReply {
            merged: u32::try_from(message.records.len()).unwrap_or(u32::MAX),
        })
    }

    /// Adopts a newer view; returns what must be handed over to the other members.
    pub(super) fn adopt(&self, view: Arc<dyn KeyView>, now: Millis) -> Option<Vec<HandOver>> {
        let mut held = self.held.lock();
        let old = held.coverage.view().cloned()?;
        if !held.coverage.adopt(view.clone(), now) {
            return None;
        }
        held.table.expire(now);
        let settled = held.coverage.is_settled(now);
        let lost = held.coverage.max_lost(now);
        let keys = held.table.keys();
        let mut messages = Vec::new();
        for to in view.members() {
            if to == self.member {
                continue;
            }
            let moved = keys
                .iter()
                .filter(|key| view.holders(key).contains(&to) && !old.holders(key).contains(&to));
            let records: Vec<KeyRecord> = moved
                .filter_map(|key| held.table.export(key, now))
                .collect();
            let mut batches = split(records);
            let last = batches.pop().unwrap_or_default();
            let message = |records, last| MergeKeys {
                from: self.member.clone(),
                epoch: view.epoch(),
                records,
                last,
                settled,
                lost,
            };
            messages.extend(batches.into_iter().map(|records| HandOver {
                to: to.clone(),
                message: message(records, false),
            }));
            messages.push(HandOver {
                to: to.clone(),
                message: message(last, true),
            });
        }
        Some(messages)
    }
}

fn split(records: Vec<KeyRecord>) -> Vec<Vec<KeyRecord>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.answer.as_ref().map_or(0, |answer| answer.body.len());
        batch.push(record);
        if batch.len() >= BATCH_RECORDS || bytes >= BATCH_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    batches.push(batch);
    batches
}

fn reply(verdict: RecordKeyVerdict, record: Option<KeyRecord>) -> RecordKeyReply {
    RecordKeyReply { verdict, record }
}
