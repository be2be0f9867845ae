//! Group commit of one job shard record.

use crate::prelude::*;
use crate::provider::{Expected, Record};
use crate::schema::batch::{JobRecord, ShardRecord};
use crate::web::{decode, encode};

use super::ids::shard_key;

/// Least time between two writes of a shard.
pub const COMMIT_INTERVAL: Millis = Millis(500);

/// Wait before a failed call to the store is tried again.
const STORE_RETRY: Millis = Millis(1000);

/// A call to the store that a shard needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOp {
    /// Read the record.
    Read,
    /// Write the record.
    Write {
        /// What must be found.
        expected: Expected,
        /// The new value.
        value: Vec<u8>,
    },
}

/// What came of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// The record that was read, or found in place of the expected one.
    Found(Option<Record>),
    /// The write took effect.
    Written(Revision),
    /// The call was certainly not carried out.
    NotApplied,
    /// The call may have been carried out.
    Unknown,
}

#[derive(Debug)]
struct Sent {
    record: ShardRecord,
}

#[derive(Debug)]
enum Stage {
    /// The record must be read before anything else.
    Unread,
    /// The working copy can be written.
    Ready,
    /// A write is on its way.
    Writing(Sent),
    /// The answer of a write was lost; a read will tell whether it took effect.
    Uncertain(Sent),
}

/// The record of one shard: what is durable, and what is to be written next.
///
/// Actions follow from the durable copy only. A new owner writes the record once under its epoch
/// before it acts, so that a late write of the previous owner cannot take effect any more.
#[derive(Debug)]
pub struct JobShard {
    id: u32,
    key: String,
    stage: Stage,
    waiting_for: Option<u64>,
    revision: Revision,
    durable: ShardRecord,
    working: ShardRecord,
    dirty: bool,
    taken: Option<Epoch>,
    rollbacks: u64,
    retry_at: Millis,
    written_at: Millis,
    store_up: bool,
}

impl JobShard {
    /// Creates a shard whose record was not read yet.
    pub fn new(region: &RegionId, id: u32) -> Self {
        Self {
            id,
            key: shard_key(region, id),
            stage: Stage::Unread,
            waiting_for: None,
            revision: Revision(0),
            durable: empty(),
            working: empty(),
            dirty: false,
            taken: None,
            rollbacks: 0,
            retry_at: Millis::ZERO,
            written_at: Millis::ZERO,
            store_up: true,
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

    /// Tells whether this process owns the record under `epoch` and knows its durable state.
    pub fn may_act(&self, epoch: Epoch) -> bool {
        self.taken == Some(epoch) && matches!(self.stage, Stage::Ready | Stage::Writing(_))
    }

    /// Tells whether changes are accepted now.
    pub fn accepts(&self, epoch: Epoch) -> bool {
        self.may_act(epoch) && self.store_up
    }

    /// Returns how often prepared changes were dropped.
    pub fn rollbacks(&self) -> u64 {
        self.rollbacks
    }

    /// Returns the durable jobs.
    pub fn durable(&self) -> &[JobRecord] {
        &self.durable.jobs
    }

    /// Returns the jobs as they will be written next.
    pub fn working(&self) -> &[JobRecord] {
        &self.working.jobs
    }

    /// Finds a durable job.
    pub fn durable_job(&self, id: &JobId) -> Option<&JobRecord> {
        self.durable.jobs.iter().find(|job| job.id == *id)
    }

    /// Finds a job as it will be written next.
    pub fn working_job(&self, id: &JobId) -> Option<&JobRecord> {
        self.working.jobs.iter().find(|job| job.id == *id)
    }

    /// Changes one job; `edit` tells whether it changed anything.
    pub fn edit_job(&mut self, id: &JobId, edit: impl FnOnce(&mut JobRecord) -> bool) -> bool {
        let Some(job) = self.working.jobs.iter_mut().find(|job| job.id == *id) else {
            return false;
        };
        let changed = edit(job);
        self.dirty |= changed;
        changed
    }

    /// Adds a job under the next number.
    pub fn add_job(&mut self, make: impl FnOnce(u64) -> JobRecord) -> JobId {
        let job = make(self.working.next_job);
        let id = job.id.clone();
        self.working.next_job += 1;
        self.working.jobs.push(job);
        self.dirty = true;
        id
    }

    /// Drops jobs that ended before `limit`.
    pub fn forget_ended(&mut self, limit: Millis) {
        let before = self.working.jobs.len();
        self.working
            .jobs
            .retain(|job| job.ended.is_none_or(|ended| ended >= limit));
        self.dirty |= self.working.jobs.len() != before;
    }

    /// Returns the size of the next record's encoding.
    pub fn encoded_len(&self) -> usize {
        encode(&self.working).map_or(usize::MAX, |buf| buf.len())
    }

    /// Demands that the record is written under the new epoch before the next action.
    pub fn reopen(&mut self) {
        self.taken = None;
    }

    /// Returns the next call to the store, if one is due; `number` identifies its answer.
    pub fn next_op(
        &mut self,
        epoch: Epoch,
        number: u64,
        token: impl FnOnce() -> WriterToken,
        now: Millis,
    ) -> Option<ShardOp> {
        let step = self.due_step(epoch, token, now);
        if step.is_some() {
            self.waiting_for = Some(number);
        }
        step
    }

    fn due_step(
        &mut self,
        epoch: Epoch,
        token: impl FnOnce() -> WriterToken,
        now: Millis,
    ) -> Option<ShardOp> {
        if self.waiting_for.is_some() || now < self.retry_at {
            return None;
        }
        match self.stage {
            Stage::Unread | Stage::Uncertain(_) => Some(ShardOp::Read),
            Stage::Writing(_) => None,
            // Nothing may be left to write, so a read tells when the store is back.
            Stage::Ready if !self.store_up => Some(ShardOp::Read),
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
            // A later owner has taken the record over; this process has yet to adopt its epoch.
            self.stage = Stage::Unread;
            self.retry_at = now + STORE_RETRY;
            return None;
        }
        let due = now >= self.written_at + COMMIT_INTERVAL;
        let wanted = self.taken != Some(epoch) || (self.dirty && due);
        if !wanted {
            return None;
        }
        self.working.epoch = epoch;
        self.working.writer = token();
        let value = match encode(&self.working) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(shard = self.id, %err, "job shard record cannot be encoded");
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
        self.stage = Stage::Writing(Sent {
            record: self.working.clone(),
        });
        Some(ShardOp::Write { expected, value })
    }

    /// Takes in what came of the last call; an answer to any other call is ignored.
    ///
    /// A shard that moved away and came back starts anew and must not take an answer from before.
    pub fn complete_op(&mut self, number: u64, result: StoreResult, now: Millis) {
        if self.waiting_for != Some(number) {
            return;
        }
        self.waiting_for = None;
        self.store_up = !matches!(result, StoreResult::NotApplied | StoreResult::Unknown);
        let stage = std::mem::replace(&mut self.stage, Stage::Unread);
        match (stage, result) {
            (Stage::Writing(sent), StoreResult::Written(revision)) => self.settle(sent, revision),
            (Stage::Writing(_), StoreResult::NotApplied) => {
                self.roll_back();
                self.stage = Stage::Ready;
                self.retry_at = now + STORE_RETRY;
            }
            (Stage::Writing(sent), StoreResult::Unknown) => self.stage = Stage::Uncertain(sent),
            (Stage::Uncertain(sent), StoreResult::Found(found)) => {
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

    fn settle(&mut self, sent: Sent, revision: Revision) {
        self.revision = revision;
        self.taken = Some(sent.record.epoch);
        self.durable = sent.record;
        self.stage = Stage::Ready;
    }

    fn resolve(&mut self, sent: Sent, found: Option<&Record>) {
        let own = found.and_then(|record| {
            let read: ShardRecord = decode(&record.value).ok()?;
            (read.writer == sent.record.writer).then_some(record.revision)
        });
        match own {
            Some(revision) => self.settle(sent, revision),
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
                self.taken = None;
                self.stage = Stage::Ready;
                self.roll_back();
            }
            Err(err) => {
                tracing::error!(shard = self.id, %err, "job shard record cannot be decoded");
                self.stage = Stage::Unread;
            }
        }
    }

    /// Drops prepared changes; they are derived anew from what is durable.
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
