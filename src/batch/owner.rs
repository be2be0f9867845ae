//! Decisions of a job owner over its job shards: submission, cancellation, listing and retention.

use std::collections::{BTreeMap, BTreeSet};

use super::ids::{SHARDS, job_id, shard_of_job, shard_of_key, split_task, task_id};
use super::limits::{MAX_RECORD_BYTES, check_spec, infeasible_reason};
use super::refusal::Refusal;
use super::shard::{JobShard, ShardOp, StoreResult};
use super::shares::TeamShares;
use crate::bundle::BundleInForce;
use crate::membership::Ownership;
use crate::placement::Fleet;
use crate::prelude::*;
use crate::schema::batch::{
    BlameWorker, JobFilter, JobPhase, JobRecord, JobSpec, JobView, Place, RackDigest,
    ReleaseAttempt, StopAttempt, TeamUse,
};

/// Time for which a job must be infeasible before it is parked, because the VM list lags and can
/// briefly omit workers.
const PARK_AFTER: Millis = Millis(30_000);

/// A call to the store that is due, with the number that identifies its response.
#[derive(Clone, Debug)]
pub struct DueStoreCall {
    /// Shard that needs the call.
    pub shard: u32,
    /// Store key of the shard record.
    pub key: String,
    /// Number that the response must carry.
    pub number: u64,
    /// Operation on the record.
    pub step: ShardOp,
}

/// The start or stop that was last sent for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) attempt: Attempt,
    pub(super) epoch: Epoch,
    pub(super) at: Millis,
    pub(super) confirmed: bool,
}

/// Waiting state of a job: its last placement, its backoff and how long it has been infeasible.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobWait {
    pub(super) last_placed_at: Millis,
    pub(super) retry_at: Millis,
    pub(super) refusals: u32,
    pub(super) infeasible_since: Option<Millis>,
}

/// The job owner role of an entry process.
pub struct JobOwner {
    pub(super) region: RegionId,
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) epoch: Epoch,
    /// Number of the last call to the store.
    pub(super) store_calls: u64,
    /// State of the generator that varies the choice of rack owners.
    pub(super) random: u64,
    pub(super) shards: BTreeMap<u32, JobShard>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) bundle: Option<Arc<BundleInForce>>,
    pub(super) shares: TeamShares,
    pub(super) digests: BTreeMap<MemberId, RackDigest>,
    pub(super) digest_due: BTreeMap<MemberId, Millis>,
    /// Last start or stop sent for each assigned task.
    pub(super) sent: BTreeMap<TaskId, SentRequest>,
    /// Tasks with a reservation in flight, and the time of its request.
    pub(super) placing: BTreeMap<TaskId, Millis>,
    pub(super) waits: BTreeMap<JobId, JobWait>,
    pub(super) releases: BTreeMap<MemberId, Vec<ReleaseAttempt>>,
    pub(super) stops: BTreeMap<MemberId, Vec<StopAttempt>>,
    /// Failures to attribute to workers, by rack owner.
    pub(super) attributions: BTreeMap<MemberId, Vec<BlameWorker>>,
}

impl JobOwner {
    /// Creates an owner without shards, fleet or bundle.
    pub fn new(region: RegionId, ownership: Arc<dyn Ownership>) -> Self {
        Self {
            region,
            ownership,
            epoch: Epoch(0),
            store_calls: 0,
            random: 0,
            shards: BTreeMap::new(),
            fleet: Arc::default(),
            bundle: None,
            shares: TeamShares::default(),
            digests: BTreeMap::new(),
            digest_due: BTreeMap::new(),
            sent: BTreeMap::new(),
            placing: BTreeMap::new(),
            waits: BTreeMap::new(),
            releases: BTreeMap::new(),
            stops: BTreeMap::new(),
            attributions: BTreeMap::new(),
        }
    }

    /// Sets the VM list and the bundle in force.
    pub fn set_fleet_and_bundle(&mut self, fleet: Arc<Fleet>, bundle: Option<Arc<BundleInForce>>) {
        self.fleet = fleet;
        self.bundle = bundle;
    }

    /// Sets the bundle in force.
    pub fn set_bundle(&mut self, bundle: Option<Arc<BundleInForce>>) {
        self.bundle = bundle;
    }

    /// Adopts the current epoch: adds the shards that this process gains and removes those it
    /// loses.
    pub fn adopt_epoch(&mut self) {
        let epoch = self.ownership.epoch();
        if epoch > self.epoch {
            self.start_epoch(epoch);
        }
        // A shard can also be gained within an epoch, when its previous owner releases it.
        for shard in self.owned_shards() {
            self.shards
                .entry(shard)
                .or_insert_with(|| JobShard::new(&self.region, shard));
        }
    }

    fn owned_shards(&self) -> BTreeSet<u32> {
        let me = self.ownership.me();
        (0..SHARDS)
            .filter(|shard| self.ownership.shard_owner(*shard).as_ref() == Some(&me))
            .collect()
    }

    fn start_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        let owned = self.owned_shards();
        self.shards.retain(|shard, _| owned.contains(shard));
        self.shards
            .values_mut()
            .for_each(JobShard::require_takeover);
        self.sent.clear();
        self.placing.clear();
        self.releases.clear();
        self.stops.clear();
        self.attributions.clear();
        self.digests.clear();
        self.digest_due.clear();
    }

    /// Returns the adopted epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the calls to the store that are due.
    pub fn due_store_calls(&mut self, now: Millis) -> Vec<DueStoreCall> {
        if !self.ownership.is_active() {
            return Vec::new();
        }
        let epoch = self.epoch;
        let me = self.ownership.me();
        let mut work = Vec::new();
        for (id, shard) in &mut self.shards {
            let number = self.store_calls + 1;
            let token = || format!("{me}:{number}").parse().unwrap_or_default();
            if let Some(step) = shard.next_op(epoch, number, token, now) {
                self.store_calls = number;
                work.push(DueStoreCall {
                    shard: *id,
                    key: shard.key().to_string(),
                    number,
                    step,
                });
            }
        }
        work
    }

    /// Handles the result of a call to the store.
    pub fn handle_store_result(
        &mut self,
        shard: u32,
        number: u64,
        result: StoreResult,
        now: Millis,
    ) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.complete_op(number, result, now);
        }
    }

    /// Adds a job to the working copy of its shard. It is accepted once it is durable.
    ///
    /// A repeated submission with the same key and specification returns the existing job.
    pub fn submit(&mut self, spec: JobSpec, now: Millis) -> Result<JobId, Refusal> {
        let bundle = self
            .bundle
            .clone()
            .ok_or_else(|| Refusal::NotAccepted("no bundle is in force".to_string()))?;
        let id = shard_of_key(&spec.team, &spec.key);
        let shard = self.accepting(id)?;
        let earlier = shard
            .working()
            .iter()
            .find(|job| job.spec.key == spec.key && job.spec.team == spec.team);
        if let Some(job) = earlier {
            if job.spec == spec {
                return Ok(job.id.clone());
            }
            if shard.durable_job(&job.id).is_none() {
                let busy = "another job with this key is being recorded".to_string();
                return Err(Refusal::NotAccepted(busy));
            }
            return Err(Refusal::KeyReused {
                key: spec.key,
                job: job.id.clone(),
            });
        }
        check_spec(&spec, &bundle.bundle, &self.fleet)?;
        let shard = self.accepting(id)?;
        if shard.encoded_len() > MAX_RECORD_BYTES {
            let full = format!("job shard {id} is full");
            return Err(Refusal::NotAccepted(full));
        }
        Ok(shard.add_job(|number| JobRecord::new(job_id(id, number), spec, now)))
    }

    fn accepting(&mut self, id: u32) -> Result<&mut JobShard, Refusal> {
        let refuse = |why: String| Err(Refusal::NotAccepted(why));
        if !self.ownership.is_active() {
            return refuse("this entry process is not an active member".to_string());
        }
        let epoch = self.epoch;
        match self.shards.get_mut(&id) {
            None => refuse(format!("job shard {id} belongs to another member")),
            Some(shard) if !shard.accepts(epoch) => refuse(format!(
                "job shard {id} is not ready; the key-value service may be down"
            )),
            Some(shard) => Ok(shard),
        }
    }

    /// Starts the cancellation of matching jobs in one shard and returns their ids. It takes effect
    /// once it is durable.
    pub fn cancel(&mut self, shard: u32, filter: &JobFilter) -> Result<Vec<JobId>, Refusal> {
        let shard = self.accepting(shard)?;
        let jobs: Vec<JobId> = shard
            .working()
            .iter()
            .filter(|job| matches(job, filter) && !job.is_ended())
            .map(|job| job.id.clone())
            .collect();
        for job in &jobs {
            shard.edit_job(job, JobRecord::cancel);
        }
        Ok(jobs)
    }

    /// Returns the durable jobs of a shard that match.
    pub fn list(&self, shard: u32, filter: &JobFilter) -> Result<Vec<JobView>, Refusal> {
        let shard = self
            .shards
            .get(&shard)
            .filter(|shard| shard.may_act(self.epoch))
            .ok_or_else(|| Refusal::NotAccepted(format!("job shard {shard} is not ready")))?;
        Ok(shard
            .durable()
            .iter()
            .filter(|job| matches(job, filter))
            .map(JobRecord::view)
            .collect())
    }

    /// Returns how many times uncommitted changes of a shard were dropped.
    pub fn rollbacks(&self, shard: u32) -> u64 {
        self.shards
            .get(&shard)
            .map_or(u64::MAX, JobShard::rollbacks)
    }

    /// Returns whether this process has taken a shard over and knows its durable state.
    pub fn may_act_on(&self, shard: u32) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|held| held.may_act(self.epoch))
    }

    /// Returns whether this process owns a shard, whether or not its record is read.
    pub fn owns(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Returns the use of each team in own shards.
    pub fn team_report(&self) -> Vec<TeamUse> {
        self.shares.report()
    }

    /// Records the use of each team in the shards of another member.
    pub fn record_team_use(&mut self, member: &MemberId, teams: &[TeamUse]) {
        if *member != self.ownership.me() {
            self.shares.set_other(member, teams);
        }
    }

    /// Returns the durable record of a job.
    pub fn durable_job(&self, id: &JobId) -> Option<&JobRecord> {
        let shard = self.shards.get(&shard_of_job(id)?)?;
        shard.durable_job(id)
    }

    /// Updates jobs by time and configuration: parks infeasible jobs, reopens feasible ones, ends
    /// settled ones and removes those past retention.
    pub fn update_jobs(&mut self, now: Millis) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        if !self.ownership.is_active() {
            return;
        }
        let retention = Millis::from_secs(bundle.bundle.batch.finished_retention_s.into());
        for shard in self.shards.values_mut() {
            if !shard.may_act(self.epoch) {
                continue;
            }
            shard.remove_ended(now - retention);
            let open: Vec<JobId> = shard
                .working()
                .iter()
                .filter(|job| !job.is_ended())
                .map(|job| job.id.clone())
                .collect();
            for id in open {
                let wait = self.waits.entry(id.clone()).or_default();
                let fleet = &self.fleet;
                shard.edit_job(&id, |job| {
                    let blocked = infeasible_reason(&job.spec, &bundle.bundle, fleet);
                    update_feasibility(job, blocked, wait, now) | end_settled_job(job, now)
                });
            }
        }
        let shards = &self.shards;
        self.waits.retain(|id, _| {
            shard_of_job(id)
                .and_then(|shard| shards.get(&shard)?.working_job(id))
                .is_some_and(|job| !job.is_ended())
        });
    }

    pub(super) fn rack_owner(&self, place: &Place) -> Option<MemberId> {
        self.ownership.rack_owner(&place.rack)
    }

    /// Returns the durable record of a task's job, if its shard may act.
    pub(super) fn acting_job(&self, task: &TaskId) -> Option<(u32, &JobRecord, u32)> {
        let (shard, job, index) = split_task(task)?;
        let held = self.shards.get(&shard)?;
        if !held.may_act(self.epoch) {
            return None;
        }
        held.durable_job(&job).map(|job| (shard, job, index))
    }

    /// Returns the tasks that are durably assigned and have no uncommitted change.
    pub(super) fn assigned_tasks(&self) -> Vec<(TaskId, Attempt, Place, u32)> {
        let mut out = Vec::new();
        for shard in self.shards.values() {
            if !shard.may_act(self.epoch) {
                continue;
            }
            for job in shard.durable() {
                for task in &job.tasks {
                    let Some(place) = task.place() else { continue };
                    let next = shard
                        .working_job(&job.id)
                        .and_then(|job| job.task(task.index));
                    if next.is_some_and(|next| next.attempt == task.attempt) {
                        let id = task_id(&job.id, task.index);
                        out.push((id, task.attempt, place.clone(), task.index));
                    }
                }
            }
        }
        out
    }
}

fn end_settled_job(job: &mut JobRecord, now: Millis) -> bool {
    let before = job.phase;
    job.end_if_settled(now);
    job.phase != before
}

fn update_feasibility(
    job: &mut JobRecord,
    blocked: Option<String>,
    wait: &mut JobWait,
    now: Millis,
) -> bool {
    if blocked.is_none() {
        wait.infeasible_since = None;
        return job.phase == JobPhase::Parked && job.set_feasible(None);
    }
    let since = *wait.infeasible_since.get_or_insert(now);
    now.since(since) >= PARK_AFTER && job.set_feasible(blocked)
}

fn matches(job: &JobRecord, filter: &JobFilter) -> bool {
    let labels = filter
        .labels
        .iter()
        .all(|(name, value)| job.spec.labels.get(name) == Some(value));
    filter.job.as_ref().is_none_or(|id| *id == job.id)
        && filter
            .team
            .as_ref()
            .is_none_or(|team| *team == job.spec.team)
        && labels
}
