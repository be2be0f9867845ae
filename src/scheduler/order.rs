//! What the scheduler asks of the I/O around it.

use super::{AdviseOrder, TaskKey};
use crate::prelude::*;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Begin a run.
    Start(StartOrder),
    /// End a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    Advise(AdviseOrder),
    /// Let a run work at a share of its speed.
    Pace {
        /// The run to change.
        run: StopOrder,
        /// Share, in percent.
        percent: u32,
    },
}

/// Begins a run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
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
pub struct StopOrder {
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
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// A higher fencing token was seen.
    Fenced,
    /// The run was stopped or has ended there before.
    Old,
    /// The lease in the order had passed.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// Another life answers at the worker's address.
    Ended,
    /// The worker has done nothing, for another reason.
    Refused,
    /// The run may exist now or come to exist later.
    Unknown,
}

/// What to do next to hear from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldPlan {
    /// Read its lists and renew its lease.
    Call {
        /// Address of the worker.
        address: String,
        /// Fencing token.
        fence: u64,
        /// Last end that is acknowledged.
        last_seen: u64,
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
