//! Calls between entry processes: what only the leader knows, and writes on behalf of others.

use async_trait::async_trait;
use http::StatusCode;

use super::jobs::{self, Change};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobSpec, JobView};
use crate::web::{WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Largest call: a job's body with some allowance for its encoding.
const MAX_CALL_BYTES: usize = 1 << 20;

/// A question or a request to another entry process.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerCall {
    /// Store a job.
    Submit(JobId, JobSpec),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell the state of a job.
    State(JobId),
    /// Count the jobs of a queue that wait.
    Pending(String),
}

/// An answer of another entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerAnswer {
    /// What became of a change.
    Change(Change),
    /// State of a job, if the leader knows it.
    State(Option<JobView>),
    /// Number of jobs that wait.
    Pending(usize),
    /// This process does not lead.
    NotLeader,
}

/// Answers other entry processes.
pub(super) struct PeerHandler {
    pub shared: Arc<Shared>,
    pub runtime: tokio::runtime::Handle,
}

#[async_trait(?Send)]
impl WebService for PeerHandler {
    async fn call(&self, req: WebReq) -> WebRes {
        let body = match read_body(req, MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(err) => return text(StatusCode::BAD_REQUEST, err),
        };
        let call: PeerCall = match decode(&body) {
            Ok(call) => call,
            Err(err) => return text(StatusCode::BAD_REQUEST, err),
        };
        let shared = self.shared.clone();
        match self.runtime.spawn(answer(shared, call)).await {
            Ok(answer) => packed(&answer),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}

async fn answer(shared: Arc<Shared>, call: PeerCall) -> PeerAnswer {
    match call {
        PeerCall::Submit(id, spec) => {
            PeerAnswer::Change(jobs::submit(&shared, &id, &spec, false).await)
        }
        PeerCall::Cancel(id) => PeerAnswer::Change(jobs::cancel(&shared, &id, false).await),
        PeerCall::State(id) => match shared.lead() {
            Some(leader) => PeerAnswer::State(leader.sched.lock().view(&id)),
            None => PeerAnswer::NotLeader,
        },
        PeerCall::Pending(queue) => match shared.lead() {
            Some(leader) => PeerAnswer::Pending(leader.sched.lock().pending(&queue)),
            None => PeerAnswer::NotLeader,
        },
    }
}
