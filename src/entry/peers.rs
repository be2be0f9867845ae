//! Calls between entry processes: lookups at the leader, and writes on behalf of another process.

use async_trait::async_trait;
use http::StatusCode;

use super::TermEnd;
use super::jobs::{self, ChangeOutcome};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::{JobSpec, JobView, MAX_STEPS, StepSpec};
use crate::telemetry::Activity;
use crate::web::{InboundRequest, WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Maximum size of a call in bytes: the body of a job and an allowance for its encoding.
const MAX_CALL_BYTES: usize = 1 << 20;

/// A call to another entry process.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerCall {
    /// Store a job.
    Submit(JobId, Box<JobSpec>),
    /// Cancel a job.
    Cancel(JobId),
    /// Look up the state of a job.
    State(JobId),
    /// Count the waiting jobs of a queue.
    Pending(String),
    /// Tell which configuration is in force, and when it was known to be the newest.
    ConfigAge,
    /// End the term of one claim of the leader key, and all others before the one with this fencing
    /// token.
    EndTerm {
        /// Incarnation of the process that made the claim.
        incarnation: u64,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Fencing token of the present leader.
        fence: u64,
    },
}

/// Response of another entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PeerResponse {
    /// Outcome of a submission or cancellation.
    Change(ChangeOutcome),
    /// State of a job, if the leader knows it.
    State(Option<JobView>),
    /// Number of waiting jobs.
    Pending(usize),
    /// What became of the claim; this process renews no leases under an earlier fencing token.
    TermEnd(TermEnd),
    /// Configuration in force, once there is one.
    ConfigAge(Option<ConfirmedConfig>),
    /// This process does not lead; as an answer to `EndTerm`, it leads under a later fencing token.
    NotLeader,
}

/// A version of the configuration that was the newest some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfirmedConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Time since it was last known to be the newest.
    pub age: Millis,
}

/// Handles calls of other entry processes.
pub(super) struct PeerHandler {
    pub shared: Arc<Shared>,
    pub runtime: tokio::runtime::Handle,
}

#[async_trait(?Send)]
impl WebService for PeerHandler {
    async fn call(&self, req: WebReq) -> WebRes {
        let inbound = req.extensions().get::<InboundRequest>().cloned();
        let body = match read_body(req, MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(err) => return text(err.status(), err.to_string()),
        };
        // A decoded call holds a job with at most so many steps.
        let bytes = body.len() + body.len().min(MAX_STEPS) * size_of::<StepSpec>();
        let reservation = match inbound {
            Some(inbound) => inbound.reserve(bytes).await,
            None => None,
        };
        if reservation.is_none() {
            tracing::info!(bytes, "no memory for the call of a peer; it is refused");
            return text(StatusCode::SERVICE_UNAVAILABLE, "no memory for the call");
        }
        let call: PeerCall = match decode(&body) {
            Ok(call) => call,
            Err(err) => return text(StatusCode::BAD_REQUEST, err),
        };
        let shared = self.shared.clone();
        match self
            .runtime
            .spawn(Activity::Request.measure(async move {
                let response = handle(shared, call).await;
                drop(reservation);
                response
            }))
            .await
        {
            Ok(response) => packed(&response),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}

async fn handle(shared: Arc<Shared>, call: PeerCall) -> PeerResponse {
    match call {
        PeerCall::Submit(id, spec) => {
            PeerResponse::Change(jobs::submit(&shared, &id, &spec, false).await)
        }
        PeerCall::Cancel(id) => PeerResponse::Change(jobs::cancel(&shared, &id, false).await),
        PeerCall::EndTerm {
            incarnation,
            claim,
            fence,
        } => shared
            .end_for_successor(incarnation, claim, fence)
            .map_or(PeerResponse::NotLeader, PeerResponse::TermEnd),
        PeerCall::ConfigAge => PeerResponse::ConfigAge(shared.confirmed_config()),
        PeerCall::State(id) => match shared.local_leader() {
            Some(leader) => PeerResponse::State(leader.sched.lock().view(&id)),
            None => PeerResponse::NotLeader,
        },
        PeerCall::Pending(queue) => match shared.local_leader() {
            Some(leader) => PeerResponse::Pending(leader.sched.lock().pending(&queue)),
            None => PeerResponse::NotLeader,
        },
    }
}
