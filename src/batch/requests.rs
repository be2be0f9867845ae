//! Calls of operators to submit, show, list and cancel jobs, routed to the owners of their shards.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::calls::{JobCall, JobResponse};
use super::ids::{SHARDS, shard_of_job, shard_of_key};
use super::node::BatchNode;
use super::owner::JobOwner;
use super::refusal::Refusal;
use crate::prelude::*;
use crate::schema::batch::{JobFilter, JobPhase, JobSpec, JobView};

/// Maximum wait until a change is durable.
const DURABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a waiting call checks the record again without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

impl BatchNode {
    /// Submits a job. Returns once it is durable.
    pub async fn submit(&self, spec: JobSpec) -> Result<JobId, Refusal> {
        let shard = shard_of_key(&spec.team, &spec.key);
        match self.call_owner(shard, JobCall::Submit(spec)).await? {
            JobResponse::Submitted(id) => Ok(id),
            other => Err(unexpected(other)),
        }
    }

    /// Returns a job, or `None` if it does not exist.
    pub async fn show(&self, id: &JobId) -> Result<Option<JobView>, Refusal> {
        let filter = JobFilter {
            job: Some(id.clone()),
            team: None,
            labels: BTreeMap::new(),
        };
        Ok(self.list(&filter).await?.into_iter().next())
    }

    /// Returns the matching jobs of all shards.
    pub async fn list(&self, filter: &JobFilter) -> Result<Vec<JobView>, Refusal> {
        let mut jobs = Vec::new();
        for (shard, shards) in self.shards_by_owner(filter)? {
            let call = JobCall::List(shards, filter.clone());
            match self.call_owner(shard, call).await? {
                JobResponse::Jobs(found) => jobs.extend(found),
                other => return Err(unexpected(other)),
            }
        }
        Ok(jobs)
    }

    /// Cancels matching jobs. Returns their ids once the cancellation is durable.
    pub async fn cancel(&self, filter: &JobFilter) -> Result<Vec<JobId>, Refusal> {
        let mut jobs = Vec::new();
        for (shard, shards) in self.shards_by_owner(filter)? {
            let call = JobCall::Cancel(shards, filter.clone());
            match self.call_owner(shard, call).await? {
                JobResponse::Cancelled(found) => jobs.extend(found),
                other => return Err(unexpected(other)),
            }
        }
        Ok(jobs)
    }

    /// Groups the shards that a filter can match by owner. Each group starts with the shard by
    /// which the owner is called.
    fn shards_by_owner(&self, filter: &JobFilter) -> Result<Vec<(u32, Vec<u32>)>, Refusal> {
        let wanted: Vec<u32> = match &filter.job {
            None => (0..SHARDS).collect(),
            Some(id) => shard_of_job(id).into_iter().collect(),
        };
        let mut groups: BTreeMap<MemberId, Vec<u32>> = BTreeMap::new();
        for shard in wanted {
            groups.entry(self.owner_of(shard)?).or_default().push(shard);
        }
        let groups = groups.into_values();
        Ok(groups
            .filter_map(|shards| Some((*shards.first()?, shards)))
            .collect())
    }

    fn owner_of(&self, shard: u32) -> Result<MemberId, Refusal> {
        self.parts
            .ownership
            .shard_owner(shard)
            .ok_or_else(|| Refusal::NotAccepted(format!("job shard {shard} has no owner")))
    }

    async fn call_owner(&self, shard: u32, call: JobCall) -> Result<JobResponse, Refusal> {
        let owner = self.owner_of(shard)?;
        if owner == self.parts.ownership.me() {
            return Ok(self.receive_job_call(call).await);
        }
        let sent = self.parts.peers.jobs(&owner, &call).await;
        sent.map_err(|err| match err {
            CallError::Connect { .. } => Refusal::NotAccepted(err.to_string()),
            _ => Refusal::Unknown(err.to_string()),
        })
    }

    /// Handles a call about jobs of own shards.
    pub async fn receive_job_call(&self, call: JobCall) -> JobResponse {
        let response = match call {
            JobCall::Submit(spec) => self.submit_local(spec).await.map(JobResponse::Submitted),
            JobCall::Cancel(shards, filter) => self
                .cancel_local(&shards, &filter)
                .await
                .map(JobResponse::Cancelled),
            JobCall::List(shards, filter) => {
                self.list_local(&shards, &filter).map(JobResponse::Jobs)
            }
        };
        response.unwrap_or_else(JobResponse::Refused)
    }

    async fn submit_local(&self, spec: JobSpec) -> Result<JobId, Refusal> {
        let shard = shard_of_key(&spec.team, &spec.key);
        let wall = self.wall();
        let (id, rollbacks) = {
            let mut jobs = self.jobs.lock();
            let rollbacks = jobs.rollbacks(shard);
            (jobs.submit(spec, wall)?, rollbacks)
        };
        self.wait_until_durable(shard, rollbacks, |jobs| jobs.durable_job(&id).is_some())
            .await?;
        Ok(id)
    }

    async fn cancel_local(
        &self,
        shards: &[u32],
        filter: &JobFilter,
    ) -> Result<Vec<JobId>, Refusal> {
        let mut cancelled = Vec::new();
        for shard in shards {
            let (ids, rollbacks) = {
                let mut jobs = self.jobs.lock();
                let rollbacks = jobs.rollbacks(*shard);
                (jobs.cancel(*shard, filter)?, rollbacks)
            };
            let is_durable = |jobs: &JobOwner| ids.iter().all(|id| is_cancelled(jobs, id));
            self.wait_until_durable(*shard, rollbacks, is_durable)
                .await?;
            cancelled.extend(ids);
        }
        Ok(cancelled)
    }

    fn list_local(&self, shards: &[u32], filter: &JobFilter) -> Result<Vec<JobView>, Refusal> {
        let jobs = self.jobs.lock();
        let mut found = Vec::new();
        for shard in shards {
            found.extend(jobs.list(*shard, filter)?);
        }
        Ok(found)
    }

    /// Waits until a change of a shard is durable, or definitely dropped.
    async fn wait_until_durable(
        &self,
        shard: u32,
        rollbacks: u64,
        is_durable: impl Fn(&JobOwner) -> bool,
    ) -> Result<(), Refusal> {
        let deadline = Instant::now() + DURABLE_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            {
                let jobs = self.jobs.lock();
                if !jobs.owns(shard) {
                    let moved = "the job shard moved to another member".to_string();
                    return Err(Refusal::Unknown(moved));
                }
                if jobs.may_act_on(shard) {
                    if is_durable(&jobs) {
                        return Ok(());
                    }
                    if jobs.rollbacks(shard) != rollbacks {
                        let lost = "the change could not be recorded".to_string();
                        return Err(Refusal::NotAccepted(lost));
                    }
                }
            }
            if Instant::now() >= deadline {
                let late = "the key-value service has not confirmed the change".to_string();
                return Err(Refusal::Unknown(late));
            }
            let recheck_at = deadline.min(Instant::now() + RECHECK_INTERVAL);
            let _ = timeout_at(recheck_at, changed).await;
        }
    }
}

fn is_cancelled(jobs: &JobOwner, id: &JobId) -> bool {
    jobs.durable_job(id).is_none_or(|job| {
        matches!(
            job.phase,
            JobPhase::Cancelling | JobPhase::Cancelled | JobPhase::Done
        )
    })
}

fn unexpected(response: JobResponse) -> Refusal {
    match response {
        JobResponse::Refused(refusal) => refusal,
        _ => Refusal::Unknown("the job owner gave an unexpected answer".to_string()),
    }
}
