//! Decisions of a job owner over the job shards that it owns.

use std::collections::{BTreeMap, BTreeSet};

use super::ids::{SHARDS, job_id, shard_of_job, shard_of_key, split_task, task_id};
use super::limits::{MAX_RECORD_BYTES, check_spec, obstacle};
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

/// Time for which a job must be impossible before it is parked; the VM list lags and flickers.
const PARK_AFTER: Millis = Millis(30_000);

/// A call to the store that a shard needs, with the number under which its answer is expected.
#[derive(Clone, Debug)]
pub struct DueStoreCall {
    /// The shard.
    pub shard: u32,
    /// Key of its record.
    pub key: String,
    /// Number of the call.
    pub number: u64,
    /// The call.
    pub step: ShardOp,
}

/// How a start or stop that was sent last is known to stand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) attempt: Attempt,
    pub(super) epoch: Epoch,
    pub(super) at: Millis,
    pub(super) confirmed: bool,
}

/// Backoff of a job that found no room.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobWait {
    pub(super) served_at: Millis,
    pub(super) retry_at: Millis,
    pub(super) refusals: u32,
    pub(super) impossible_since: Option<Millis>,
}

/// The job owner's side of one entry process.
pub struct JobOwner {
    pub(super) region: RegionId,
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) epoch: Epoch,
    pub(super) store_calls: u64,
    pub(super) turn: u64,
    pub(super) shards: BTreeMap<u32, JobShard>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) bundle: Option<Arc<BundleInForce>>,
    pub(super) shares: TeamShares,
    pub(super) digests: BTreeMap<MemberId, RackDigest>,
    pub(super) digest_due: BTreeMap<MemberId, Millis>,
    pub(super) asked: BTreeMap<TaskId, Asked>,
    pub(super) placing: BTreeMap<TaskId, Millis>,
    pub(super) waits: BTreeMap<JobId, JobWait>,
    pub(super) releases: BTreeMap<MemberId, Vec<ReleaseAttempt>>,
    pub(super) stops: BTreeMap<MemberId, Vec<StopAttempt>>,
    pub(super) blames: BTreeMap<MemberId, Vec<BlameWorker>>,
}

impl JobOwner {
    /// Creates an owner that has read nothing yet.
    pub fn new(region: RegionId, ownership: Arc<dyn Ownership>) -> Self {
        Self {
            region,
            ownership,
            epoch: Epoch(0),
            store_calls: 0,
            turn: 0,
            shards: BTreeMap::new(),
            fleet: Arc::default(),
            bundle: None,
            shares: TeamShares::default(),
            digests: BTreeMap::new(),
            digest_due: BTreeMap::new(),
            asked: BTreeMap::new(),
            placing: BTreeMap::new(),
            waits: BTreeMap::new(),
            releases: BTreeMap::new(),
            stops: BTreeMap::new(),
            blames: BTreeMap::new(),
        }
    }

    /// Takes in the VM list and the bundle in force.
    pub fn set_fleet_and_bundle(&mut self, fleet: Arc<Fleet>, bundle: Option<Arc<BundleInForce>>) {
        self.fleet = fleet;
        self.bundle = bundle;
    }

    /// Takes in the bundle in force.
    pub fn set_bundle(&mut self, bundle: Option<Arc<BundleInForce>>) {
        self.bundle = bundle;
    }

    /// Adopts the current epoch: takes new shards over and lets go of others.
    pub fn adopt_epoch(&mut self) {
        let epoch = self.ownership.epoch();
        if epoch > self.epoch {
            self.start_epoch(epoch);
        }
        // A shard can be gained within an epoch, when its previous owner has let go of it.
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
        self.shards.values_mut().for_each(JobShard::reopen);
        self.asked.clear();
        self.placing.clear();
        self.releases.clear();
        self.stops.clear();
        self.blames.clear();
        self.digests.clear();
        self.digest_due.clear();
    }

    /// Returns the epoch that was adopted.
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

    /// Takes in what came of a call to the store.
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

    /// Prepares a job; it is accepted once it is durable.
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

    /// Prepares the cancellation of matching jobs in one shard; returns the jobs it concerns.
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

    /// Lists durable jobs of a shard that match.
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

    /// Returns the number of times that prepared changes of a shard were dropped.
    pub fn rollbacks(&self, shard: u32) -> u64 {
        self.shards
            .get(&shard)
            .map_or(u64::MAX, JobShard::rollbacks)
    }

    /// Tells whether this process owns a shard and knows its durable state.
    pub fn may_act_on(&self, shard: u32) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|held| held.may_act(self.epoch))
    }

    /// Tells whether this process owns a shard.
    pub fn owns(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Returns what teams use in own shards.
    pub fn team_report(&self) -> Vec<TeamUse> {
        self.shares.report()
    }

    /// Takes in what teams use in the shards of another member.
    pub fn take_teams(&mut self, member: &MemberId, teams: &[TeamUse]) {
        if *member != self.ownership.me() {
            self.shares.set_other(member, teams);
        }
    }

    /// Finds the durable record of a job.
    pub fn durable_job(&self, id: &JobId) -> Option<&JobRecord> {
        let shard = self.shards.get(&shard_of_job(id)?)?;
        shard.durable_job(id)
    }

    /// Moves jobs on that no message concerns: ended, impossible and forgotten ones.
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
            shard.forget_ended(now - retention);
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
                    let blocked = obstacle(&job.spec, &bundle.bundle, fleet);
                    check_possible(job, blocked, wait, now) | settle(job, now)
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

    /// Lists tasks that are durably assigned and that no prepared change concerns.
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

fn settle(job: &mut JobRecord, now: Millis) -> bool {
    let before = job.phase;
    job.settle(now);
    job.phase != before
}

fn check_possible(
    job: &mut JobRecord,
    blocked: Option<String>,
    wait: &mut JobWait,
    now: Millis,
) -> bool {
    if blocked.is_none() {
        wait.impossible_since = None;
        return job.phase == JobPhase::Parked && job.set_possible(None);
    }
    let since = *wait.impossible_since.get_or_insert(now);
    now.since(since) >= PARK_AFTER && job.set_possible(blocked)
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
