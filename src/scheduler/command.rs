//! Commands to workers, their responses, and the next poll of a worker.

use super::{AdviceRequest, TaskKey};
use crate::prelude::*;

/// A call that the scheduler wants to be made.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a run.
    Start(StartCommand),
    /// Stop a run.
    Stop(StopCommand),
    /// Ask the advice service which workers may run a step.
    Advise(AdviceRequest),
    /// Let a run work at a share of its full speed.
    Pace {
        /// The run to change; its `StopCommand` only identifies it here.
        run: StopCommand,
        /// Share of the full speed, in percent.
        percent: u32,
    },
}

/// Command to start a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCommand {
    /// Worker to run on.
    pub worker: WorkerId,
    /// Incarnation of the worker that the call is meant for.
    pub incarnation: u64,
    /// Address of the worker.
    pub address: String,
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Payload of the job, which the task receives.
    pub payload: String,
    /// Expiry of the worker's lease, on the worker's clock.
    pub deadline: Millis,
    /// Reading that the clock of the incarnation had passed when the command was made.
    pub earliest_clock: Millis,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the advice service; empty if the queue needs none.
    pub ticket: String,
    /// Time from the assignment of the run, or from its last call, to this command.
    pub waited: Millis,
}

/// Command to stop a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StopCommand {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Incarnation of the worker that the call is meant for.
    pub incarnation: u64,
    /// Address of the worker.
    pub address: String,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Fencing token of the leader.
    pub fence: u64,
}

/// A worker's response to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResponse {
    /// The run is present on the worker.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run was stopped or has ended on this worker before.
    AlreadyEnded,
    /// The lease in the command has expired; the name is part of a log line.
    Late,
    /// The worker lacks the resources; the name is part of a log line.
    NoRoom,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// Another incarnation answers at the worker's address.
    OtherIncarnation,
    /// The worker rejected the start for another reason.
    Refused,
    /// The outcome is unknown: the run may exist now or start later.
    Unknown,
}

/// A worker's response to a start, with the reading of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAnswer {
    /// The response.
    pub response: StartResponse,
    /// The worker's clock when it responded; `None` without one.
    pub clock: Option<Millis>,
}

impl StartAnswer {
    /// Returns the answer to a start whose outcome is unknown.
    pub fn unknown() -> Self {
        Self {
            response: StartResponse::Unknown,
            clock: None,
        }
    }

    /// Returns the response as one of the incarnation that the command was meant for. The clock of
    /// a later one starts anew, so a start with an earlier reading than expected counts as
    /// unanswered.
    pub fn for_command(&self, command: &StartCommand) -> StartResponse {
        let is_behind = self
            .clock
            .is_some_and(|clock| clock < command.earliest_clock);
        if self.response != StartResponse::Started || !is_behind {
            return self.response;
        }
        tracing::info!(task = %command.task, run = command.run, worker = %command.worker, born = command.incarnation, clock_ms = ?self.clock.map(|clock| clock.0), earliest_ms = command.earliest_clock.0, "start executed by another incarnation");
        StartResponse::Unknown
    }
}

/// The next step of polling a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PollPlan {
    /// Poll the worker, which also renews its lease.
    Call {
        /// Address of the worker.
        address: String,
        /// Incarnation of the worker that the poll is meant for.
        incarnation: u64,
        /// Fencing token of the leader.
        fence: u64,
        /// Sequence number of the last acknowledged completion.
        last_acknowledged: u64,
        /// Expiry of the lease, on the worker's clock; `None` if the lease is not renewed.
        deadline: Option<Millis>,
        /// Maximum time that the worker waits for a completion before it responds.
        wait: Millis,
    },
    /// Plan again after this time, or when the worker has work.
    Pause(Millis),
    /// The worker is no longer known; polling ends.
    Forget,
}
