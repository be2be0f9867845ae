//! Calls of simulated processes to a model of the key-value service.

use rand::Rng;

use super::events::Event;
use super::{RegionSim, region};
use crate::membership::{Input, Output};
use crate::prelude::*;
use crate::provider::{CasOutcome, Expected};
use crate::schema::peer::{Member, MemberRecord};
use crate::web::{decode, encode};

/// Longest wait of a process for one store call.
const TIMEOUT: Millis = Millis(500);

/// Shortest and longest one-way delay to the store.
const DELAY: std::ops::RangeInclusive<u64> = 1..=6;

/// A call under way, with what its earlier steps returned.
#[derive(Clone, Debug)]
pub(super) struct StoreOp {
    pub process: usize,
    pub call: u64,
    started: Millis,
    step: Step,
}

#[derive(Clone, Debug)]
enum Step {
    Grant,
    WriteEntry,
    Renew,
    FindEntry,
    DeleteEntry(Revision),
    ReadRecord,
    ReadEntries(Option<(MemberRecord, Revision)>),
    Write(Option<Revision>, MemberRecord),
    /// The call has ended with this input.
    Done(Box<Input>),
}

impl RegionSim {
    pub(super) fn call_store(&mut self, at: usize, output: Output) {
        let step = match output {
            Output::CreateLease(_) => Step::Grant,
            Output::RenewLease => Step::Renew,
            Output::ReadRecord { leave: true } => Step::FindEntry,
            Output::ReadRecord { leave: false } => Step::ReadRecord,
            Output::WriteRecord(revision, record) => Step::Write(revision, record),
            _ => return,
        };
        let started = self.processes[at].clock(self.now);
        self.issue(at, started, step);
    }

    /// Sends one step of a call to the store; each step has its own timeout.
    fn issue(&mut self, at: usize, started: Millis, step: Step) {
        let unanswered = match step {
            Step::Grant | Step::WriteEntry | Step::Renew => Input::LeaseCallFailed,
            Step::Write(..) => Input::WriteInDoubt,
            _ => Input::RecordFailed,
        };
        let process = &mut self.processes[at];
        process.next_call += 1;
        let call = process.next_call;
        process.calls.push((call, unanswered));
        let op = StoreOp {
            process: at,
            call,
            started,
            step,
        };
        if self.store.is_down_for(self.processes[op.process].host) {
            // A refused call is known not to have been carried out.
            let step = match op.step {
                Step::Grant | Step::WriteEntry | Step::Renew => Input::LeaseCallFailed,
                _ => Input::RecordFailed,
            };
            let step = Step::Done(Box::new(step));
            return self.schedule(Millis(5), Event::StoreStep(StoreOp { step, ..op }));
        }
        let delay = Millis(self.rng.random_range(DELAY)) + self.store.delay();
        self.schedule(delay, Event::Store(op));
        self.schedule(TIMEOUT, Event::StoreTimeout(at, call));
    }

    pub(super) fn store_timeout(&mut self, at: usize, call: u64) {
        if let Some(input) = self.end_call(at, call) {
            self.give(at, input);
        }
    }

    /// Lets a step take effect and sends its answer.
    pub(super) fn take_effect(&mut self, op: StoreOp) {
        let clock = Millis(self.now.0 * self.store.rate_permille() / 1000);
        self.kv.expire(clock);
        let (writes, next) = self.execute(&op, clock);
        match writes {
            true => self.counters.store_writes += 1,
            false => self.counters.store_reads += 1,
        }
        let lost = writes && self.store.takes_answer();
        let down = self.store.is_down_for(self.processes[op.process].host);
        if lost || down {
            return;
        }
        let delay = Millis(self.rng.random_range(DELAY)) + self.store.delay();
        let step = StoreOp { step: next, ..op };
        self.schedule(delay, Event::StoreStep(step));
    }

    fn execute(&mut self, op: &StoreOp, clock: Millis) -> (bool, Step) {
        let me = self.processes[op.process].machine.me().clone();
        let entry = format!("entry/{}/{}", region(), me.id);
        let ttl = self.config.timing.lease_ttl;
        let done = |input| Step::Done(Box::new(input));
        match &op.step {
            Step::Grant => {
                self.kv.keep_lease(&entry, ttl, true, clock);
                (true, Step::WriteEntry)
            }
            Step::WriteEntry => {
                let value = encode(&me).ok();
                let outcome = self.kv.cas(&entry, Expected::Absent, value, Some(&entry));
                let input = match outcome {
                    Ok(_) => Input::LeaseGranted(op.started),
                    Err(_) => Input::LeaseCallFailed,
                };
                (true, done(input))
            }
            Step::Renew => {
                let kept = self.kv.keep_lease(&entry, ttl, false, clock);
                let input = match kept {
                    true => Input::LeaseGranted(op.started),
                    false => Input::LeaseExpired,
                };
                (true, done(input))
            }
            Step::FindEntry => {
                let next = match self.kv.get(&entry) {
                    Some(found) => Step::DeleteEntry(found.revision),
                    None => Step::ReadRecord,
                };
                (false, next)
            }
            Step::DeleteEntry(revision) => {
                let _ = self.kv.cas(&entry, Expected::At(*revision), None, None);
                (true, Step::ReadRecord)
            }
            Step::ReadRecord => (false, Step::ReadEntries(self.stored_record())),
            Step::ReadEntries(record) => {
                let entries: Vec<Member> = self
                    .kv
                    .list(&format!("entry/{}/", region()))
                    .iter()
                    .filter_map(|found| decode(&found.value).ok())
                    .collect();
                let input = Input::RecordRead {
                    started: op.started,
                    record: record.clone(),
                    entries,
                };
                (false, done(input))
            }
            Step::Write(revision, record) => (true, done(self.write(*revision, record))),
            Step::Done(_) => (false, op.step.clone()),
        }
    }

    fn stored_record(&self) -> Option<(MemberRecord, Revision)> {
        let found = self.kv.get(&record_key())?;
        Some((decode(&found.value).ok()?, found.revision))
    }

    fn write(&mut self, revision: Option<Revision>, record: &MemberRecord) -> Input {
        let expected = revision.map_or(Expected::Absent, Expected::At);
        let value = encode(record).ok();
        match self.kv.cas(&record_key(), expected, value, None) {
            Ok(CasOutcome::Written(_)) => {
                self.counters.epochs += 1;
                self.check_write(record);
                Input::RecordWritten
            }
            Ok(CasOutcome::Conflict(found)) => {
                Input::RecordConflict(found.and_then(|found| decode(&found.value).ok()))
            }
            Err(_) => Input::WriteInDoubt,
        }
    }

    pub(super) fn store_step(&mut self, op: StoreOp) {
        if self.end_call(op.process, op.call).is_none() {
            return;
        }
        match op.step {
            Step::Done(input) => self.give(op.process, *input),
            step => self.issue(op.process, op.started, step),
        }
    }

    /// Returns what the process would have concluded, unless the call has ended before.
    fn end_call(&mut self, at: usize, call: u64) -> Option<Input> {
        let calls = &mut self.processes[at].calls;
        let place = calls.iter().position(|(held, _)| *held == call)?;
        Some(calls.swap_remove(place).1)
    }
}

fn record_key() -> String {
    format!("members/{}", region())
}
