//! Adapter of worker agents over HTTP with MessagePack.

use async_trait::async_trait;

use super::worker_agent::{AgentCommand, WorkerAgent};
use crate::prelude::*;
use crate::schema::worker::AgentReply;
use crate::web::Caller;

/// Longest wait for an agent's answer.
const TIMEOUT: Millis = Millis(2000);

/// Sends commands to agents that serve `/agent`.
pub struct HttpAgent {
    caller: Caller,
}

impl HttpAgent {
    /// Creates an adapter that keeps idle connections per agent.
    pub fn new() -> Self {
        Self {
            caller: Caller::new(),
        }
    }
}

impl Default for HttpAgent {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl WorkerAgent for HttpAgent {
    async fn send(&self, addr: &str, command: AgentCommand) -> Result<AgentReply, PlatformError> {
        self.caller
            .exchange(addr, "/agent", &command, TIMEOUT)
            .await
            .map_err(|err| err.for_platform("worker agent"))
    }
}
