//! Store of the idempotency keys that this process holds.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate::dedup::{
    BackupResult, Completion, Coverage, CoverageStatus, KeyLimits, KeyTable, KeyView, RecordResult,
};
use crate::prelude::*;
use crate::schema::dedup::{
    KeyRecord, MergeKeys, MergeKeysReply, RecordKey, RecordKeyReply, RecordKeyVerdict,
};

/// Maximum number of records in one handover message.
const MAX_BATCH_RECORDS: usize = 200;

/// Bytes of response bodies after which a handover message is complete.
const MAX_BATCH_RESPONSE_BYTES: usize = 512 << 10;

struct State {
    table: KeyTable,
    coverage: Coverage,
}

/// Key table and coverage under one lock, so that records and epochs change together.
pub(super) struct KeyStore {
    member: MemberId,
    state: Mutex<State>,
    attempts: AtomicU64,
}

/// Result of claiming a key at its home.
pub(super) enum Claim {
    /// The key is recorded here and has yet to be recorded at the backup.
    New {
        attempt: WriterToken,
        message: Box<RecordKey>,
    },
    /// The key was recorded before, or the table is full.
    Existing(RecordResult),
    /// This process may not know all earlier uses of the key.
    Uncovered(CoverageStatus),
}

/// One handover message with its receiver.
pub(super) struct Handover {
    pub(super) to: MemberId,
    pub(super) message: MergeKeys,
}

impl KeyStore {
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
            state: Mutex::new(State { table, coverage }),
            attempts: AtomicU64::new(1),
        }
    }

    /// Returns the current view.
    pub(super) fn view(&self) -> Option<Arc<dyn KeyView>> {
        self.state.lock().coverage.view().cloned()
    }

    /// Returns the number of keys held.
    pub(super) fn len(&self) -> usize {
        self.state.lock().table.len()
    }

    /// Records a key at this process, which is its home in `epoch`.
    pub(super) fn claim(&self, key: &str, request: &str, epoch: Epoch, now: Millis) -> Claim {
        let counter = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = WriterToken::try_from(format!("{}:{counter}", self.member));
        let attempt = attempt.unwrap_or_default();
        let mut state = self.state.lock();
        let current = state.coverage.view().map(|view| view.epoch());
        if current != Some(epoch) {
            return Claim::Uncovered(CoverageStatus::Waiting { until: now });
        }
        let status = state.coverage.status_of(key, now);
        if status != CoverageStatus::Complete {
            return Claim::Uncovered(status);
        }
        let replaces = match state.table.record(key, request, &attempt, now) {
            RecordResult::New { replaces } => replaces,
            existing => return Claim::Existing(existing),
        };
        let Some(record) = state.table.export(key, now) else {
            return Claim::Existing(RecordResult::Full);
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

    /// Records the completion of an attempt.
    pub(super) fn complete(&self, key: &str, attempt: &WriterToken, completion: Completion) {
        self.state.lock().table.complete(key, attempt, completion);
    }

    /// Returns the record of a key in the form that is sent to the other holders.
    pub(super) fn export(&self, key: &str, now: Millis) -> Option<KeyRecord> {
        self.state.lock().table.export(key, now)
    }

    /// Merges the conflicting record of the backup and returns the result of a repeat of the key.
    pub(super) fn merge_conflict(
        &self,
        record: &KeyRecord,
        now: Millis,
    ) -> Option<crate::dedup::Repeat> {
        let mut state = self.state.lock();
        state.table.merge(record, now);
        state.table.lookup(&record.key, now)
    }

    /// Records a key as its backup, or refuses it if home and backup are in different epochs.
    pub(super) fn record_backup(
        &self,
        message: &RecordKey,
        epoch: Epoch,
        now: Millis,
    ) -> RecordKeyReply {
        let mut state = self.state.lock();
        let is_backup = state.coverage.view().is_some_and(|view| {
            let mut holders = view.holders(&message.record.key).into_iter().skip(1);
            view.epoch() == message.epoch && holders.any(|holder| holder == self.member)
        });
        if !is_backup || epoch != message.epoch {
            return reply(RecordKeyVerdict::Refused, None);
        }
        let replaces = message.replaces.as_ref();
        match state.table.record_backup(&message.record, replaces, now) {
            BackupResult::Recorded => reply(RecordKeyVerdict::Recorded, None),
            BackupResult::Conflict(record) => reply(RecordKeyVerdict::Conflict, Some(record)),
            BackupResult::Full => reply(RecordKeyVerdict::Refused, None),
        }
    }

    /// Merges records of another holder, or returns `None` if this process has not adopted their
    /// epoch yet.
    pub(super) fn merge(&self, message: &MergeKeys, now: Millis) -> Option<MergeKeysReply> {
        let mut state = self.state.lock();
        if state.coverage.view()?.epoch() < message.epoch {
            return None;
        }
        for record in &message.records {
            state.table.merge(record, now);
        }
        if message.last {
            let (from, epoch) = (&message.from, message.epoch);
            state
                .coverage
                .record_handover(from, epoch, message.settled, message.lost);
        }
        Some(MergeKeysReply {
            merged: u32::try_from(message.records.len()).unwrap_or(u32::MAX),
        })
    }

    /// Adopts a newer view and returns the handovers to the other members, or returns `None` if the
    /// view is not newer.
    pub(super) fn adopt(&self, view: Arc<dyn KeyView>, now: Millis) -> Option<Vec<Handover>> {
        let mut state = self.state.lock();
        let old = state.coverage.view().cloned()?;
        if !state.coverage.adopt(view.clone(), now) {
            return None;
        }
        state.table.expire(now);
        let settled = state.coverage.is_settled(now);
        let lost = state.coverage.max_lost(now);
        let keys = state.table.keys();
        let mut messages = Vec::new();
        for to in view.members() {
            if to == self.member {
                continue;
            }
            let new_keys = keys
                .iter()
                .filter(|key| view.holders(key).contains(&to) && !old.holders(key).contains(&to));
            let records: Vec<KeyRecord> = new_keys
                .filter_map(|key| state.table.export(key, now))
                .collect();
            let mut batches = split_batches(records);
            let last = batches.pop().unwrap_or_default();
            let message = |records, last| MergeKeys {
                from: self.member.clone(),
                epoch: view.epoch(),
                records,
                last,
                settled,
                lost,
            };
            messages.extend(batches.into_iter().map(|records| Handover {
                to: to.clone(),
                message: message(records, false),
            }));
            messages.push(Handover {
                to: to.clone(),
                message: message(last, true),
            });
        }
        Some(messages)
    }
}

fn split_batches(records: Vec<KeyRecord>) -> Vec<Vec<KeyRecord>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record
            .answer
            .as_ref()
            .map_or(0, |response| response.body.len());
        batch.push(record);
        if batch.len() >= MAX_BATCH_RECORDS || bytes >= MAX_BATCH_RESPONSE_BYTES {
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
