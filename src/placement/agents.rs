//! Commands to worker agents and the handling of their responses.

use super::attempt_entry::{Phase, ended};
use super::free_index::WorkerSlot;
use super::lease::TASK_LEASE;
use super::owner::RackOwner;
use super::worker_ledger::{InFlight, WorkerLedger};
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::batch::EndKind;
use crate::schema::worker::{
    AcknowledgeTasks, AgentRefusal, AgentReply, ClaimWorker, RenewLeases, StopTask, TaskAttempt,
    ThrottleTask, WorkerState,
};

/// Interval at which task leases are renewed and workers without leases are read.
const RENEW_INTERVAL: Millis = Millis(3000);

/// Delay before a command without response or effect is retried.
const COMMAND_RETRY: Millis = Millis(500);

/// Maximum number of acknowledgements in one command.
const MAX_ACKS: usize = 256;

/// A command that is due, with the number that identifies its response.
#[derive(Clone, Debug)]
pub struct DueCommand {
    /// Worker that the command is for.
    pub worker: VmId,
    /// Address of its agent.
    pub addr: String,
    /// Number that the response must carry.
    pub number: u64,
    /// Command to send.
    pub command: AgentCommand,
}

impl RackOwner {
    /// Expires reservations and leases, mitigates interference, and returns the commands that are
    /// due.
    ///
    /// Each worker has at most one command in flight.
    pub fn due_commands(&mut self, now: Millis) -> Vec<DueCommand> {
        if !self.may_act() {
            return Vec::new();
        }
        self.mitigate_interference(now);
        let me = self.ownership.me();
        let epoch = self.epoch;
        let mut commands = Vec::new();
        let slots: Vec<WorkerSlot> = self.ledgers.keys().copied().collect();
        for slot in slots {
            let Some(ledger) = self.ledgers.get_mut(&slot) else {
                continue;
            };
            let used = ledger.used;
            let unresponsive = ledger.is_unresponsive(now);
            ledger.expire_reservations(now);
            ledger.expire_leases(now);
            if ledger.in_flight.is_none()
                && !ledger.addr.is_empty()
                && let Some(command) = next_command(ledger, epoch, &me, now)
            {
                self.commands_sent += 1;
                let number = self.commands_sent;
                ledger.in_flight = Some(InFlight {
                    number,
                    command: command.clone(),
                });
                commands.push(DueCommand {
                    worker: ledger.place.worker.clone(),
                    addr: ledger.addr.clone(),
                    number,
                    command,
                });
            }
            if ledger.used != used || unresponsive {
                self.reindex(slot, now);
            }
        }
        self.reservation_slots.retain(|task, slot| {
            self.ledgers.get(slot).is_some_and(|ledger| {
                ledger
                    .entries
                    .get(task)
                    .is_some_and(|entry| matches!(entry.phase, Phase::Held { .. }))
            })
        });
        commands
    }

    /// Handles the response to a command; `None` if it timed out.
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
        let Some(ledger) = self.ledgers.get_mut(&slot) else {
            return;
        };
        let expected = ledger
            .in_flight
            .as_ref()
            .is_some_and(|f| f.number == number);
        let Some(in_flight) = ledger.in_flight.take_if(|_| expected) else {
            return;
        };
        match reply {
            None => ledger.retry_at = now + COMMAND_RETRY,
            Some(AgentReply::Refused(refusal)) => {
                handle_refusal(ledger, &in_flight.command, refusal, now);
            }
            Some(AgentReply::Done(state)) => {
                let claim = matches!(in_flight.command, AgentCommand::Claim(_));
                if !claim && state.epoch < self.epoch {
                    // The agent lost its state in a restart, so it must be claimed again.
                    ledger.claimed = false;
                    ledger.clock = Millis::ZERO;
                    self.reindex(slot, now);
                    return;
                }
                if state.epoch > self.epoch {
                    ledger.fenced_out = true;
                    self.reindex(slot, now);
                    return;
                }
                let first = claim && !ledger.claimed;
                if first {
                    // The previous owner may have renewed leases until this claim.
                    ledger.lease_sent_at = Some(now);
                }
                ledger.claimed = true;
                apply_done(ledger, &in_flight.command, now);
                ledger.merge(&state, &mut self.interference, first, now);
                schedule_read(ledger, now);
                self.learn(slot, &state, now);
            }
        }
        self.reindex(slot, now);
    }

    /// Updates interference estimates from a report, using the loads at the time of measurement.
    fn learn(&mut self, slot: WorkerSlot, state: &WorkerState, now: Millis) {
        let Some(ledger) = self.ledgers.get(&slot) else {
            return;
        };
        for report in &state.tasks {
            let measured = now - report.measured_age;
            let Some(entry) = ledger.entries.get(&report.task) else {
                continue;
            };
            let Some(loads) = ledger.loads_at(measured) else {
                continue;
            };
            if entry.phase != Phase::Running || entry.throttled.is_some() {
                continue;
            }
            let own = entry.load.0 as f64 / ledger.declared.cpu.0.max(1) as f64;
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
    ledger: &mut WorkerLedger,
    epoch: Epoch,
    me: &MemberId,
    now: Millis,
) -> Option<AgentCommand> {
    if now < ledger.retry_at || ledger.fenced_out {
        return None;
    }
    if !ledger.claimed {
        ledger.retry_at = now + COMMAND_RETRY;
        return Some(AgentCommand::Claim(ClaimWorker {
            epoch,
            owner: me.clone(),
        }));
    }
    if ledger.is_unresponsive(now) {
        ledger.retry_at = now + COMMAND_RETRY;
        return Some(AgentCommand::Read);
    }
    // Renewals and reads come first. Their number is bounded, and starts that were refused because
    // of a stale reading of the worker's clock need a new reading to succeed.
    renew(ledger, epoch, now)
        .or_else(|| acknowledge(ledger, epoch))
        .or_else(|| stop(ledger, epoch, now))
        .or_else(|| start(ledger, epoch, now))
        .or_else(|| throttle(ledger, epoch))
}

fn acknowledge(ledger: &mut WorkerLedger, epoch: Epoch) -> Option<AgentCommand> {
    if ledger.acks.is_empty() {
        return None;
    }
    let count = ledger.acks.len().min(MAX_ACKS);
    let tasks: Vec<TaskAttempt> = ledger.acks.drain(..count).collect();
    Some(AgentCommand::Acknowledge(AcknowledgeTasks { epoch, tasks }))
}

fn stop(ledger: &mut WorkerLedger, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let (task, entry) = ledger.entries.iter_mut().find(|(_, entry)| {
        matches!(entry.phase, Phase::Stopping { sent: false, .. }) && now >= entry.retry_at
    })?;
    let Phase::Stopping { save, .. } = entry.phase else {
        return None;
    };
    entry.retry_at = now + COMMAND_RETRY;
    Some(AgentCommand::Stop(StopTask {
        epoch,
        task: task.clone(),
        attempt: entry.attempt,
        checkpoint: save,
    }))
}

fn start(ledger: &mut WorkerLedger, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let as_of = ledger.clock;
    let entry = ledger
        .entries
        .values_mut()
        .find(|entry| entry.phase == Phase::Starting && now >= entry.retry_at)?;
    let command = entry.start_command(epoch, as_of)?;
    entry.retry_at = now + COMMAND_RETRY;
    entry.finish_due = now + command.run_time;
    ledger.lease_sent_at = Some(now);
    Some(AgentCommand::Start(command))
}

fn throttle(ledger: &mut WorkerLedger, epoch: Epoch) -> Option<AgentCommand> {
    let (task, attempt, share) = ledger.throttles.pop()?;
    Some(AgentCommand::Throttle(ThrottleTask {
        epoch,
        task,
        attempt,
        share,
    }))
}

fn renew(ledger: &mut WorkerLedger, epoch: Epoch, now: Millis) -> Option<AgentCommand> {
    let read_due = ledger.read_due.is_some_and(|at| now >= at);
    if now < ledger.renew_due {
        return read_due.then(|| {
            ledger.read_due = None;
            AgentCommand::Read
        });
    }
    ledger.renew_due = now + RENEW_INTERVAL;
    let tasks: Vec<TaskAttempt> = ledger
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
    ledger.lease_sent_at = Some(now);
    Some(AgentCommand::Renew(RenewLeases {
        epoch,
        lease: TASK_LEASE,
        tasks,
        as_of: ledger.clock,
    }))
}

/// Records what the agent has carried out, before its state report is merged.
fn apply_done(ledger: &mut WorkerLedger, command: &AgentCommand, now: Millis) {
    let AgentCommand::Stop(stop) = command else {
        return;
    };
    if let Some(entry) = ledger
        .entries
        .get_mut(&stop.task)
        .filter(|entry| entry.attempt == stop.attempt)
        && let Phase::Stopping { sent, .. } = &mut entry.phase
    {
        *sent = true;
        ledger.read_due = Some(now + COMMAND_RETRY);
    }
}

fn handle_refusal(
    ledger: &mut WorkerLedger,
    command: &AgentCommand,
    refusal: AgentRefusal,
    now: Millis,
) {
    ledger.responded_at = Some(now);
    if refusal == AgentRefusal::StaleEpoch {
        ledger.fenced_out = true;
        return;
    }
    let AgentCommand::Start(start) = command else {
        return;
    };
    let Some(entry) = ledger
        .entries
        .get_mut(&start.task)
        .filter(|entry| entry.attempt == start.attempt && entry.phase == Phase::Starting)
    else {
        return;
    };
    match refusal {
        AgentRefusal::FencedAttempt => {
            entry.phase = ended(EndKind::NeverStarted);
            entry.report_at = Some(now);
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
            entry.retry_at = now + COMMAND_RETRY;
            ledger.read_due = Some(now);
        }
    }
    ledger.recompute_usage();
}

/// Schedules the next read for when a task is expected to finish, instead of reading often.
fn schedule_read(ledger: &mut WorkerLedger, now: Millis) {
    let stopping = ledger
        .entries
        .values()
        .any(|entry| matches!(entry.phase, Phase::Stopping { sent: true, .. }));
    let due = ledger
        .entries
        .values()
        .filter(|entry| entry.phase == Phase::Running && entry.finish_due > Millis::ZERO)
        .map(|entry| entry.finish_due)
        .min()
        .map(|due| due.max(now + COMMAND_RETRY));
    ledger.read_due = if stopping {
        Some(now + COMMAND_RETRY)
    } else {
        due
    };
}
