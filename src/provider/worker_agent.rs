//! The platform's agent on each worker.

use async_trait::async_trait;

use crate::prelude::*;
use crate::schema::worker::{
    AcknowledgeTasks, AgentReply, ClaimWorker, RenewLeases, StartTask, StopTask, ThrottleTask,
};

/// A command to a worker agent; agents refuse commands with an epoch below the highest seen.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum AgentCommand {
    /// Takes over the worker.
    Claim(ClaimWorker),
    /// Starts an attempt.
    Start(StartTask),
    /// Renews leases.
    Renew(RenewLeases),
    /// Stops or fences an attempt.
    Stop(StopTask),
    /// Limits an attempt's processor time.
    Throttle(ThrottleTask),
    /// Lets the agent forget ended attempts.
    Acknowledge(AcknowledgeTasks),
    /// Reads the worker's state.
    Read,
}

/// Sends commands to worker agents.
#[async_trait]
pub trait WorkerAgent: Send + Sync {
    /// Sends one command to the agent at `addr`.
    async fn send(&self, addr: &str, command: AgentCommand) -> Result<AgentReply, PlatformError>;
}
