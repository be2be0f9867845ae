//! What the scheduler asks of the I/O around it.

use super::{AdviceRequest, TaskKey};
use crate::prelude::*;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Begin a run.
    Start(StartCommand),
    /// End a run.
    Stop(StopCommand),
    /// Ask which workers may run a step.
    Advise(AdviceRequest),
    /// Let a run work at a share of its speed.
    Pace {
        /// The run to change.
        run: StopCommand,
        /// Share, in percent.
        percent: u32,
    },
}

/// Begins a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCommand {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Text for the task.
    pub payload: String,
    /// End of the worker's lease, on the worker's clock.
    pub deadline: Millis,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Leave of the advice service; empty if the queue needs none.
    pub ticket: String,
}

/// Ends a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StopCommand {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Fencing token.
    pub fence: u64,
}

/// A worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResponse {
    /// The run is there.
    Started,
    /// A higher fencing token was seen.
    Fenced,
    /// The run was stopped or has ended there before.
    AlreadyEnded,
    /// The lease in the order had passed.
    LeaseExpired,
    /// The worker has no room.
    NoCapacity,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// Another life answers at the worker's address.
    OtherIncarnation,
    /// The worker has done nothing, for another reason.
    Refused,
    /// The run may exist now or come to exist later.
    Unknown,
}

/// What to do next to hear from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PollPlan {
    /// Read its lists and renew its lease.
    Call {
        /// Address of the worker.
        address: String,
        /// Fencing token.
        fence: u64,
        /// Last end that is acknowledged.
        last_acknowledged: u64,
        /// End of the lease, on the worker's clock.
        deadline: Option<Millis>,
        /// How long the worker may wait for an end.
        wait: Millis,
    },
    /// Ask again after this time, or when the worker has work.
    Pause(Millis),
    /// The worker is not known any more.
    Forget,
}
