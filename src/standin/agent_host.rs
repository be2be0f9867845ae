//! Serves many worker agent stand-ins from one listener.

use std::collections::BTreeMap;

use async_trait::async_trait;
use http::StatusCode;

use super::WorkerServer;
use crate::prelude::*;
use crate::web::{WebReq, WebRes, WebService, text};

/// Worker agents by the first part of the path, as in `/worker-1/agent`.
#[derive(Default)]
pub struct AgentHost {
    agents: BTreeMap<VmId, Arc<WorkerServer>>,
}

impl AgentHost {
    /// Hosts the given agents.
    pub fn new(agents: impl IntoIterator<Item = (VmId, Arc<WorkerServer>)>) -> Self {
        Self {
            agents: agents.into_iter().collect(),
        }
    }
}

#[async_trait(?Send)]
impl WebService for AgentHost {
    async fn call(&self, req: WebReq) -> WebRes {
        let name = req
            .uri()
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let agent = name
            .parse::<VmId>()
            .ok()
            .and_then(|vm| self.agents.get(&vm).cloned());
        match agent {
            Some(agent) => agent.call(req).await,
            None => text(StatusCode::NOT_FOUND, "no such worker\n"),
        }
    }
}
