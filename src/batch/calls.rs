//! Calls between members to job owners and rack owners.

use async_trait::async_trait;

use super::refusal::Refusal;
use crate::membership::Ownership;
use crate::prelude::*;
use crate::schema::batch::{JobFilter, JobReport, JobSpec, JobView, RackAnswer, RackCall};
use crate::web::Caller;

/// Path prefix of the batch service of a member.
pub const PEER_PATH: &str = "/peer/batch/";

/// Timeout of a call to a rack owner, or of a report to a job owner.
const RACK_TIMEOUT: Millis = Millis(2000);

/// Timeout of a call to a job owner, which responds only after the change is durable.
const JOB_TIMEOUT: Millis = Millis(7000);

/// A call to the owner of job shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum JobCall {
    /// Submits a job.
    Submit(JobSpec),
    /// Cancels matching jobs of the shards.
    Cancel(Vec<u32>, JobFilter),
    /// Lists matching jobs of the shards.
    List(Vec<u32>, JobFilter),
}

/// Response of the owner of job shards.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum JobResponse {
    /// The job is durable.
    Submitted(JobId),
    /// The cancellation of these jobs is durable.
    Cancelled(Vec<JobId>),
    /// The matching jobs.
    Jobs(Vec<JobView>),
    /// The call was not carried out, or its outcome is unknown.
    Refused(Refusal),
}

/// Calls other members in their roles as rack owners and job owners.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Reserves, starts, stops and releases attempts at a rack owner, and returns its digest.
    async fn exchange(&self, owner: &MemberId, call: &RackCall) -> Result<RackAnswer, CallError>;

    /// Reports states of attempts to a job owner.
    async fn report(&self, owner: &MemberId, report: &JobReport) -> Result<(), CallError>;

    /// Calls a job owner on behalf of an operator.
    async fn jobs(&self, owner: &MemberId, call: &JobCall) -> Result<JobResponse, CallError>;
}

/// Calls other members over HTTP with MessagePack bodies.
pub struct HttpPeerClient {
    ownership: Arc<dyn Ownership>,
    caller: Caller,
}

impl HttpPeerClient {
    /// Creates a client that resolves member ids to addresses through `ownership`.
    pub fn new(ownership: Arc<dyn Ownership>) -> Self {
        Self {
            ownership,
            caller: Caller::new(),
        }
    }

    async fn call<T, R>(
        &self,
        owner: &MemberId,
        name: &str,
        message: &T,
        timeout: Millis,
    ) -> Result<R, CallError>
    where
        T: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let addr = self
            .ownership
            .peer_addr(owner)
            .ok_or_else(|| CallError::Connect {
                addr: owner.to_string(),
                reason: "member has no known address".to_string(),
            })?;
        let path = format!("{PEER_PATH}{name}");
        self.caller.exchange(&addr, &path, message, timeout).await
    }
}

#[async_trait]
impl PeerClient for HttpPeerClient {
    async fn exchange(&self, owner: &MemberId, call: &RackCall) -> Result<RackAnswer, CallError> {
        self.call(owner, "exchange", call, RACK_TIMEOUT).await
    }

    async fn report(&self, owner: &MemberId, report: &JobReport) -> Result<(), CallError> {
        self.call(owner, "report", report, RACK_TIMEOUT).await
    }

    async fn jobs(&self, owner: &MemberId, call: &JobCall) -> Result<JobResponse, CallError> {
        self.call(owner, "jobs", call, JOB_TIMEOUT).await
    }
}
