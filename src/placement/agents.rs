//! Commands to worker agents and what follows from their answers.

use super::entry::{Phase, ended};
use super::free_index::Slot;
use super::lease::TASK_LEASE;
use super::owner::RackOwner;
use super::worker_book::{InFlight, WorkerBook};
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::batch::EndKind;
use crate::schema::worker::{
    AcknowledgeTasks, AgentRefusal, AgentReply, ClaimWorker, RenewLeases, StopTask, TaskAttempt,
    ThrottleTask, WorkerState,
};

/// Interval at which task leases are renewed and idle workers are read.
const RENEW_INTERVAL: Millis = Millis(3000);

/// Wait before an unanswered or unfinished command is tried again.
const RETRY: Millis = Millis(500);

/// Most acknowledgements in one command.
const MAX_ACKS: usize = 256;

/// A command to send, with the number under which its answer is expected.
#[derive(Clone, Debug)]
pub struct DueCommand {
    /// The worker.
    pub worker: VmId,
    /// Address of its agent.
    pub addr: String,
    /// Number of the command.
    pub number: u64,
    /// The command.
    pub command: AgentCommand,
}

impl RackOwner {
    /// Moves holds, leases and corrections on, and returns the commands that are due.
    pub fn due_commands(&mut self, now: Millis) -> Vec<DueCommand> {
        if !self.may_act() {
            return Vec::new();
        }
        self.correct(now);
        let me = self.ownership.me();
        let epoch = self.epoch;
        let mut work = Vec::new();
        let slots: Vec<Slot> = self.books.keys().copied().collect();
        for slot in slots {
            let Some(book) = self.books.get_mut(&slot) else {
                continue;
            };
            let used = book.used;
            let silent = book.is_silent(now);
            book.expire_holds(now);
            book.expire_leases(now);
            if book.in_flight.is_none()
                && !book.addr.is_empty()
                && let Some(command) = next_command(book, epoch, &me, now)
            {
                self.sent += 1;
                let number = self.sent;
                book.in_flight = Some(InFlight {
                    number,
                    command: command.clone(),
                });
                work.push(DueCommand {
                    worker: book.place.worker.clone(),
                    addr: book.addr.clone(),
                    number,
                    command,
                });
            }
            if book.used != used || silent {
                self.reindex(slot, now);
            }
        }
        self.holds.retain(|task, slot| {
            self.books.get(slot).is_some_and(|book| {
                book.entries
                    .get(task)
                    .is_some_and(|entry| matches!(entry.phase, Phase::Held { .. }))
            })
        });
        work
    }

    /// Takes in the answer to a command, or `None` if none came in time.
    pub fn handle_agent_response(
        &mut self,
        worker: &VmId,
        number: u64,
        reply: Option<AgentReply>,
        now: Millis,
    ) {
        let Some(slot) = self.slots.get(worker).copied() else {
            return;
        };
        let Some(book) = self.books.get_mut(&slot) else {
            return;
        };
        let expected = book.in_flight.as_ref().is_some_and(|f| f.number == number);
        let Some(in_flight) = book.in_flight.take_if(|_| expected) else {
            return;
        };
        match reply {
            None => book.retry_at = now + RETRY,
            Some(AgentReply::Refused(refusal)) => {
                refused(book, &in_flight.command, refusal, now);
            }
            Some(AgentReply::Done(state)) => {
                let claim = matches!(in_flight.command, AgentCommand::Claim(_));
                if !claim && state.epoch < self.epoch {
                    // The agent lost its memory: it must be claimed again.
                    book.claimed = false;
                    book.clock = Millis::ZERO;
                    self.reindex(slot, now);
                    return;
                }
                if state.epoch > self.epoch {
                    book.fenced_out = true;
                    self.reindex(slot, now);
                    return;
                }
                let first = claim && !book.claimed;
                if first {
                    // The previous owner may have renewed leases until this claim.
                    book.lease_sent_at = Some(now);
                }
                book.claimed = true;
                done(book, &in_flight.command, now);
                book.merge(&state, &mut self.interference, first, now);
                schedule_read(book, now);
                self.learn(slot, &state, now);
            }
        }
        self.reindex(slot, now);
    }

    /// Learns from the measurements of a report, matched to who was present when they were made.
    fn learn(&mut self, slot: Slot, state: &WorkerState, now: Millis) {
        let Some(book) = self.books.get(&slot) else {
            return;
        };
        for report in &state.tasks {
            let measured = now - report.measured_age;
            let Some(entry) = book.entries.get(&report.task) else {
                continue;
            };
            let Some(loads) = book.loads_at(measured) else {
                continue;
            };
            if entry.phase != Phase::Running || entry.throttled.is_some() {
                continue;
            }
            let own = entry.load.0 as f64 / book.declared.cpu.0.max(1) as f64;
            let others: Vec<_> = loads
                .iter()
                .map(|(kind, load)| {
                    let load = if *kind == entry.kind {
                        load - own
                    } else {
                        *load
                    };
                    (*kind, load.max(0.0))
                })
                .collect();
            let slowdown = f64::from(report.slowdown.0) / 1000.0 - 1.0;
            self.interference
                .learn(entry.kind, &others, slowdown.max(0.0), now);
        }
    }
}

fn next_command(
    book: &mut WorkerBook,
    epoch: Epoch,
    me: &MemberId,
    now: Millis,
) -> Option<AgentCommand> {
    if now < book.retry_at || book.fenced_out {
        return None;
    }
    if !book.claimed {
        book.retry_at = now + RETRY;
        return Some(AgentCommand::Claim(ClaimWorker {
            epoch,
            owner: me.clone(),
        }));
    }
    if book.is_silent(now) {
        book.retry_at = now + RETRY;
        return Some(AgentCommand::Read);
    }
    // Renewals and reads come first: they are bounded in number, and starts that are refused
    // because of an old reading of the worker's clock need a new one.
    renew(book, epoch, now)
        .or_else(|| acknowledge(book, epoch))
        .or_else(|| stop(book, epoch, now))
        .or_else(|| start(book, epoch, now))
        .or_else(|| throttle(book, epoch))
}

fn acknowledge(book: &mut WorkerBook, epoch: Epoch) -> Option<AgentCommand> {
    if book.acks.is_empty() {
        return None;
    }
    let count = book.acks.len().min(MAX_ACKS);
    let tasks: Vec<TaskAttempt> = book.acks.drain(..count).collect();
    Some(AgentCommand::Acknowledge(AcknowledgeTasks { epoch, tasks }))
}

fn stop(book: &mut WorkerBook, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let (task, entry) = book.entries.iter_mut().find(|(_, entry)| {
        matches!(entry.phase, Phase::Stopping { sent: false, .. }) && now >= entry.retry_at
    })?;
    let Phase::Stopping { save, .. } = entry.phase else {
        return None;
    };
    entry.retry_at = now + RETRY;
    Some(AgentCommand::Stop(StopTask {
        epoch,
        task: task.clone(),
        attempt: entry.attempt,
        checkpoint: save,
    }))
}

fn start(book: &mut WorkerBook, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let as_of = book.clock;
    let entry = book
        .entries
        .values_mut()
        .find(|entry| entry.phase == Phase::Starting && now >= entry.retry_at)?;
    let command = entry.start_command(epoch, as_of)?;
    entry.retry_at = now + RETRY;
    entry.finish_due = now + command.run_time;
    book.lease_sent_at = Some(now);
    Some(AgentCommand::Start(command))
}

fn throttle(book: &mut WorkerBook, epoch: Epoch) -> Option<AgentCommand> {
    let (task, attempt, share) = book.throttles.pop()?;
    Some(AgentCommand::Throttle(ThrottleTask {
        epoch,
        task,
        attempt,
        share,
    }))
}

fn renew(book: &mut WorkerBook, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let read_due = book.read_due.is_some_and(|at| now >= at);
    if now < book.renew_due {
        return read_due.then(|| {
            book.read_due = None;
            AgentCommand::Read
        });
    }
    book.renew_due = now + RENEW_INTERVAL;
    let tasks: Vec<TaskAttempt> = book
        .entries
        .iter()
        .filter(|(_, entry)| entry.needs_lease())
        .map(|(task, entry)| TaskAttempt {
            task: task.clone(),
            attempt: entry.attempt,
        })
        .collect();
    if tasks.is_empty() {
        return Some(AgentCommand::Read);
    }
    book.lease_sent_at = Some(now);
    Some(AgentCommand::Renew(RenewLeases {
        epoch,
        lease: TASK_LEASE,
        tasks,
        as_of: book.clock,
    }))
}

/// Notes what an agent has carried out, before its state report is taken in.
fn done(book: &mut WorkerBook, command: &AgentCommand, now: Millis) {
    let AgentCommand::Stop(stop) = command else {
        return;
    };
    if let Some(entry) = book
        .entries
        .get_mut(&stop.task)
        .filter(|entry| entry.attempt == stop.attempt)
        && let Phase::Stopping { sent, .. } = &mut entry.phase
    {
        *sent = true;
        book.read_due = Some(now + RETRY);
    }
}

fn refused(book: &mut WorkerBook, command: &AgentCommand, refusal: AgentRefusal, now: Millis) {
    book.answered_at = Some(now);
    if refusal == AgentRefusal::StaleEpoch {
        book.fenced_out = true;
        return;
    }
    let AgentCommand::Start(start) = command else {
        return;
    };
    let Some(entry) = book
        .entries
        .get_mut(&start.task)
        .filter(|entry| entry.attempt == start.attempt && entry.phase == Phase::Starting)
    else {
        return;
    };
    match refusal {
        AgentRefusal::FencedAttempt => {
            entry.phase = ended(EndKind::NeverStarted);
            entry.push_at = Some(now);
        }
        AgentRefusal::NoCapacity => {
            entry.phase = Phase::Stopping {
                save: false,
                sent: false,
            };
        }
        AgentRefusal::AlreadyRunning
        | AgentRefusal::LeaseEnded
        | AgentRefusal::StaleEpoch
        | AgentRefusal::UnknownTask => {
            entry.retry_at = now + RETRY;
            book.read_due = Some(now);
        }
    }
    book.recount();
}

/// Reads a worker when its next task is expected to finish, rather than often.
fn schedule_read(book: &mut WorkerBook, now: Millis) {
    let stopping = book
        .entries
        .values()
        .any(|entry| matches!(entry.phase, Phase::Stopping { sent: true, .. }));
    let due = book
        .entries
        .values()
        .filter(|entry| entry.phase == Phase::Running && entry.finish_due > Millis::ZERO)
        .map(|entry| entry.finish_due)
        .min()
        .map(|due| due.max(now + RETRY));
    book.read_due = if stopping { Some(now + RETRY) } else { due };
}
