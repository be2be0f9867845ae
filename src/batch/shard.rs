//! Group commit of a job shard record to the key-value service.

use crate::prelude::*;
use crate::provider::{Expected, Record};
use crate::schema::batch::{JobRecord, ShardRecord};
use crate::web::{decode, encode};

use super::ids::shard_key;

/// Minimum time between two writes of a shard.
pub const COMMIT_INTERVAL: Millis = Millis(500);

/// Delay before a failed call to the store is retried.
const STORE_RETRY: Millis = Millis(1000);

/// A call to the store that a shard needs.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOp {
    /// Read the record.
    Read,
    /// Write the record.
    Write {
        /// State of the record on which the write is conditional.
        expected: Expected,
        /// Encoded new record.
        value: Vec<u8>,
    },
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// The record that was read, or found in place of the expected one.
    Found(Option<Record>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The call was definitely not carried out.
    NotApplied,
    /// The outcome is unknown: the call may have been carried out.
    Unknown,
}

/// A write whose outcome is outstanding.
#[derive(Debug)]
struct PendingWrite {
    record: ShardRecord,
}

/// State of the record's synchronisation with the store.
#[derive(Debug)]
enum Stage {
    /// The record must be read before anything else.
    NotRead,
    /// The working copy can be written.
    Ready,
    /// A write is in flight.
    Writing(PendingWrite),
    /// The outcome of a write is in doubt. A read resolves it by the writer token.
    InDoubt(PendingWrite),
}

/// The record of one shard: a durable copy and a working copy with uncommitted changes.
///
/// Owners act on the durable copy only. A new owner first writes the record under its own epoch;
/// after that, a late write of the previous owner conflicts and has no effect.
#[derive(Debug)]
pub struct JobShard {
    id: u32,
    key: String,
    stage: Stage,
    /// Number of the call in flight.
    pending_call: Option<u64>,
    revision: Revision,
    durable: ShardRecord,
    working: ShardRecord,
    dirty: bool,
    /// Epoch under which this process last wrote the record.
    written_epoch: Option<Epoch>,
    /// Number of times that uncommitted changes were dropped.
    rollbacks: u64,
    retry_at: Millis,
    written_at: Millis,
    store_reachable: bool,
}

impl JobShard {
    /// Creates a shard whose record is not read yet.
    pub fn new(region: &RegionId, id: u32) -> Self {
        Self {
            id,
            key: shard_key(region, id),
            stage: Stage::NotRead,
            pending_call: None,
            revision: Revision(0),
            durable: empty(),
            working: empty(),
            dirty: false,
            written_epoch: None,
            rollbacks: 0,
            retry_at: Millis::ZERO,
            written_at: Millis::ZERO,
            store_reachable: true,
        }
    }

    /// Returns the store key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the number of the shard.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Returns whether this process has taken the record over under `epoch` and knows its durable
    /// state.
    pub fn may_act(&self, epoch: Epoch) -> bool {
        self.written_epoch == Some(epoch) && matches!(self.stage, Stage::Ready | Stage::Writing(_))
    }

    /// Returns whether changes are accepted: the record is owned and the store is reachable.
    pub fn accepts(&self, epoch: Epoch) -> bool {
        self.may_act(epoch) && self.store_reachable
    }

    /// Returns how many times uncommitted changes were dropped.
    pub fn rollbacks(&self) -> u64 {
        self.rollbacks
    }

    /// Returns the durable jobs.
    pub fn durable(&self) -> &[JobRecord] {
        &self.durable.jobs
    }

    /// Returns the jobs of the working copy.
    pub fn working(&self) -> &[JobRecord] {
        &self.working.jobs
    }

    /// Returns a durable job.
    pub fn durable_job(&self, id: &JobId) -> Option<&JobRecord> {
        self.durable.jobs.iter().find(|job| job.id == *id)
    }

    /// Returns a job of the working copy.
    pub fn working_job(&self, id: &JobId) -> Option<&JobRecord> {
        self.working.jobs.iter().find(|job| job.id == *id)
    }

    /// Edits a job of the working copy; `edit` returns whether it changed anything.
    pub fn edit_job(&mut self, id: &JobId, edit: impl FnOnce(&mut JobRecord) -> bool) -> bool {
        let Some(job) = self.working.jobs.iter_mut().find(|job| job.id == *id) else {
            return false;
        };
        let changed = edit(job);
        self.dirty |= changed;
        changed
    }

    /// Adds a job to the working copy under the next number.
    pub fn add_job(&mut self, make: impl FnOnce(u64) -> JobRecord) -> JobId {
        let job = make(self.working.next_job);
        let id = job.id.clone();
        self.working.next_job += 1;
        self.working.jobs.push(job);
        self.dirty = true;
        id
    }

    /// Removes jobs that ended before `limit` from the working copy.
    pub fn remove_ended(&mut self, limit: Millis) {
        let before = self.working.jobs.len();
        self.working
            .jobs
            .retain(|job| job.ended.is_none_or(|ended| ended >= limit));
        self.dirty |= self.working.jobs.len() != before;
    }

    /// Returns the encoded size of the working copy, in bytes.
    pub fn encoded_len(&self) -> usize {
        encode(&self.working).map_or(usize::MAX, |buf| buf.len())
    }

    /// Requires a write under the new epoch before the owner acts again.
    pub fn require_takeover(&mut self) {
        self.written_epoch = None;
    }

    /// Returns the next call to the store, if one is due; `number` identifies its response.
    pub fn next_op(
        &mut self,
        epoch: Epoch,
        number: u64,
        token: impl FnOnce() -> WriterToken,
        now: Millis,
    ) -> Option<ShardOp> {
        let op = self.due_op(epoch, token, now);
        if op.is_some() {
            self.pending_call = Some(number);
        }
        op
    }

    fn due_op(
        &mut self,
        epoch: Epoch,
        token: impl FnOnce() -> WriterToken,
        now: Millis,
    ) -> Option<ShardOp> {
        if self.pending_call.is_some() || now < self.retry_at {
            return None;
        }
        match self.stage {
            Stage::NotRead | Stage::InDoubt(_) => Some(ShardOp::Read),
            Stage::Writing(_) => None,
            // There may be no write due, so a read detects when the store is reachable again.
            Stage::Ready if !self.store_reachable => Some(ShardOp::Read),
            Stage::Ready => self.prepare_write(epoch, token, now),
        }
    }

    fn prepare_write(
        &mut self,
        epoch: Epoch,
        token: impl FnOnce() -> WriterToken,
        now: Millis,
    ) -> Option<ShardOp> {
        if self.durable.epoch > epoch {
            // A later owner has taken the record over, under an epoch that this process has not
            // adopted.
            self.stage = Stage::NotRead;
            self.retry_at = now + STORE_RETRY;
            return None;
        }
        let due = now >= self.written_at + COMMIT_INTERVAL;
        let wanted = self.written_epoch != Some(epoch) || (self.dirty && due);
        if !wanted {
            return None;
        }
        self.working.epoch = epoch;
        self.working.writer = token();
        let value = match encode(&self.working) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(shard = self.id, %err, "job shard record cannot be encoded; its uncommitted changes are dropped");
                self.roll_back();
                return None;
            }
        };
        let expected = match self.revision {
            Revision(0) => Expected::Absent,
            revision => Expected::At(revision),
        };
        self.dirty = false;
        self.written_at = now;
        self.stage = Stage::Writing(PendingWrite {
            record: self.working.clone(),
        });
        Some(ShardOp::Write { expected, value })
    }

    /// Handles the result of the call in flight. Results of other calls are ignored.
    ///
    /// A shard that moves to another owner and back starts in a new state, and a result of a call
    /// from before the move must not change it.
    pub fn complete_op(&mut self, number: u64, result: StoreResult, now: Millis) {
        if self.pending_call != Some(number) {
            return;
        }
        self.pending_call = None;
        self.store_reachable = !matches!(result, StoreResult::NotApplied | StoreResult::Unknown);
        let stage = std::mem::replace(&mut self.stage, Stage::NotRead);
        match (stage, result) {
            (Stage::Writing(sent), StoreResult::Written(revision)) => self.commit(sent, revision),
            (Stage::Writing(_), StoreResult::NotApplied) => {
                self.roll_back();
                self.stage = Stage::Ready;
                self.retry_at = now + STORE_RETRY;
            }
            (Stage::Writing(sent), StoreResult::Unknown) => self.stage = Stage::InDoubt(sent),
            (Stage::InDoubt(sent), StoreResult::Found(found)) => {
                self.resolve(sent, found.as_ref());
            }
            (Stage::Ready, StoreResult::Found(Some(found))) if found.revision == self.revision => {
                self.stage = Stage::Ready;
            }
            (_, StoreResult::Found(found)) => self.load(found.as_ref()),
            (stage, _) => {
                self.stage = stage;
                self.retry_at = now + STORE_RETRY;
            }
        }
    }

    fn commit(&mut self, sent: PendingWrite, revision: Revision) {
        self.revision = revision;
        self.written_epoch = Some(sent.record.epoch);
        self.durable = sent.record;
        self.stage = Stage::Ready;
    }

    /// Resolves a write in doubt: it took effect if the record carries its writer token.
    fn resolve(&mut self, sent: PendingWrite, found: Option<&Record>) {
        let own = found.and_then(|record| {
            let read: ShardRecord = decode(&record.value).ok()?;
            (read.writer == sent.record.writer).then_some(record.revision)
        });
        match own {
            Some(revision) => self.commit(sent, revision),
            None => self.load(found),
        }
    }

    fn load(&mut self, found: Option<&Record>) {
        let read = match found {
            None => Ok(empty()),
            Some(record) => decode::<ShardRecord>(&record.value),
        };
        match read {
            Ok(record) => {
                self.revision = found.map_or(Revision(0), |record| record.revision);
                self.durable = record;
                self.written_epoch = None;
                self.stage = Stage::Ready;
                self.roll_back();
            }
            Err(err) => {
                tracing::error!(shard = self.id, %err, "job shard record cannot be decoded; the shard stays unavailable until it can be read");
                self.stage = Stage::NotRead;
            }
        }
    }

    /// Drops uncommitted changes. The owner derives them again from the durable copy.
    fn roll_back(&mut self) {
        self.working = self.durable.clone();
        self.dirty = false;
        self.rollbacks += 1;
    }
}

fn empty() -> ShardRecord {
    ShardRecord {
        writer: WriterToken::default(),
        epoch: Epoch(0),
        next_job: 1,
        jobs: Vec::new(),
    }
}
