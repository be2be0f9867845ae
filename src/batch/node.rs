//! Runs the decisions of job owner and rack owner against the platform and other members.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::calls::PeerClient;
use super::owner::{DueStoreCall, JobOwner};
use super::shard::{ShardOp, StoreResult};
use crate::bundle::ActiveBundle;
use crate::membership::Ownership;
use crate::placement::{DueCommand, Fleet, RackOwner};
use crate::prelude::*;
use crate::provider::{CasOutcome, Store, WorkerAgent};
use crate::schema::batch::{JobReport, RackAnswer, RackCall};
use crate::schema::vm::VmRecord;

/// Longest pause between two rounds.
const ROUND: Duration = Duration::from_millis(250);

/// Shortest pause between two rounds, so that answers that arrive together cost one round.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// Everything that a batch node talks to.
pub struct BatchParts {
    /// Region of this process.
    pub region: RegionId,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Worker agents.
    pub agent: Arc<dyn WorkerAgent>,
    /// Who owns which rack and job shard.
    pub ownership: Arc<dyn Ownership>,
    /// Bundle in force.
    pub bundle: Arc<ActiveBundle>,
    /// Calls to other members.
    pub peers: Arc<dyn PeerClient>,
    /// Seed for the sampling of candidate workers.
    pub seed: u64,
}

/// The batch side of one entry process.
pub struct BatchNode {
    pub(super) parts: BatchParts,
    pub(super) jobs: Mutex<JobOwner>,
    pub(super) changed: Notify,
    racks: Mutex<RackOwner>,
    wake: Notify,
    started: Instant,
    started_wall: Millis,
}

impl BatchNode {
    /// Creates a node that is idle until `run` is called.
    pub fn new(parts: BatchParts) -> Arc<Self> {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Arc::new(Self {
            jobs: Mutex::new(JobOwner::new(parts.region.clone(), parts.ownership.clone())),
            racks: Mutex::new(RackOwner::new(parts.ownership.clone(), parts.seed)),
            parts,
            changed: Notify::new(),
            wake: Notify::new(),
            started: Instant::now(),
            started_wall: wall.into(),
        })
    }

    /// Takes in the VM list.
    pub fn set_vms(&self, vms: &[VmRecord]) {
        let fleet = Arc::new(Fleet::new(&self.parts.region, vms));
        let bundle = self.parts.bundle.current();
        let now = self.now();
        self.racks
            .lock()
            .set_fleet_and_bundle(&fleet, bundle.clone(), now);
        self.jobs.lock().set_fleet_and_bundle(fleet, bundle);
        self.wake.notify_one();
    }

    /// Takes in the measured slowdown of the service on a worker; 1000 is full speed.
    pub fn record_service_slowdown(&self, worker: &VmId, slowdown: Permille, age: Millis) {
        let now = self.now();
        let mut racks = self.racks.lock();
        racks.record_service_slowdown(worker, slowdown, age, now);
    }

    /// Evicts a running attempt with a checkpoint, within the eviction budget.
    pub fn evict(&self, worker: &VmId, task: &TaskId) -> bool {
        let now = self.now();
        let evicted = self.racks.lock().evict(worker, task, now);
        self.wake.notify_one();
        evicted
    }

    /// Evicts all running attempts from a worker of an own rack that an operator drains.
    pub fn evict_all(&self, worker: &VmId) {
        self.racks.lock().evict_all(worker);
        self.wake.notify_one();
    }

    /// Lists quarantined workers of own racks.
    pub fn quarantined(&self) -> Vec<VmId> {
        self.racks.lock().quarantined()
    }

    /// Lists own workers with what is promised on them and their capacity.
    pub fn reserved_capacity(&self) -> Vec<(VmId, Resources, Resources)> {
        self.racks.lock().reserved_capacity()
    }

    /// Works until `cancel` fires.
    pub async fn run(self: Arc<Self>, cancel: CancellationToken) {
        loop {
            self.round();
            let pause = async {
                tokio::time::sleep(MIN_ROUND).await;
                let _ = tokio::time::timeout(ROUND - MIN_ROUND, self.wake.notified()).await;
            };
            tokio::select! {
                () = pause => {}
                () = cancel.cancelled() => return,
            }
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Returns the time for records, which outlive this process; it never goes back.
    pub(super) fn wall(&self) -> Millis {
        self.started_wall + self.now()
    }

    fn round(self: &Arc<Self>) {
        let (now, wall) = (self.now(), self.wall());
        let bundle = self.parts.bundle.current();
        let (steps, calls) = {
            let mut jobs = self.jobs.lock();
            jobs.adopt_epoch();
            jobs.set_bundle(bundle);
            jobs.update_jobs(wall);
            (jobs.due_store_calls(wall), jobs.due_rack_calls(wall))
        };
        let (work, reports) = {
            let mut racks = self.racks.lock();
            racks.adopt_epoch(now);
            (racks.due_commands(now), racks.due_reports(now))
        };
        for item in steps {
            tokio::spawn(self.clone().call_store(item));
        }
        for (owner, call) in calls {
            tokio::spawn(self.clone().send_exchange(owner, call));
        }
        for item in work {
            tokio::spawn(self.clone().send_command(item));
        }
        for (owner, report) in reports {
            tokio::spawn(self.clone().send_report(owner, report));
        }
    }

    async fn call_store(self: Arc<Self>, work: DueStoreCall) {
        let store = &self.parts.store;
        let DueStoreCall {
            shard,
            key,
            number,
            step,
        } = work;
        let result = match step {
            ShardOp::Read => store.get(&key).await.map(StoreResult::Found),
            ShardOp::Write { expected, value } => store
                .cas(&key, expected, Some(value), None)
                .await
                .map(|outcome| match outcome {
                    CasOutcome::Written(revision) => StoreResult::Written(revision),
                    CasOutcome::Conflict(found) => StoreResult::Found(found),
                }),
        };
        let result = result.unwrap_or_else(|err| {
            tracing::warn!(shard, %err, "call for a job shard record failed");
            match err {
                StoreError::Unavailable(_) => StoreResult::NotApplied,
                // An answer that cannot be understood says nothing about the write.
                StoreError::AnswerLost(_) | StoreError::Invalid(_) => StoreResult::Unknown,
            }
        });
        let wall = self.wall();
        self.jobs
            .lock()
            .handle_store_result(shard, number, result, wall);
        self.changed.notify_waiters();
        self.wake.notify_one();
    }

    async fn send_exchange(self: Arc<Self>, owner: MemberId, call: RackCall) {
        let answer = if owner == self.parts.ownership.me() {
            Ok(self.receive_exchange(&call))
        } else {
            self.parts.peers.exchange(&owner, &call).await
        };
        match answer {
            Ok(answer) => {
                let wall = self.wall();
                self.jobs.lock().handle_rack_response(answer, &call, wall);
                self.wake.notify_one();
            }
            Err(err) => tracing::debug!(%owner, %err, "exchange with a rack owner failed"),
        }
    }

    async fn send_report(self: Arc<Self>, owner: MemberId, report: JobReport) {
        if owner == self.parts.ownership.me() {
            self.receive_report(report);
        } else if let Err(err) = self.parts.peers.report(&owner, &report).await {
            tracing::debug!(%owner, %err, "report to a job owner failed");
        }
    }

    async fn send_command(self: Arc<Self>, work: DueCommand) {
        let reply = self.parts.agent.send(&work.addr, work.command).await;
        if let Err(err) = &reply {
            tracing::debug!(worker = %work.worker, %err, "command to a worker agent failed");
        }
        let now = self.now();
        let mut racks = self.racks.lock();
        racks.handle_agent_response(&work.worker, work.number, reply.ok(), now);
        self.wake.notify_one();
    }

    /// Carries out an exchange of a job owner with this rack owner.
    pub fn receive_exchange(&self, call: &RackCall) -> RackAnswer {
        let now = self.now();
        let mut answer = self.racks.lock().handle(call, now);
        let mut jobs = self.jobs.lock();
        if answer.accepted && !call.teams.is_empty() {
            jobs.take_teams(&call.from, &call.teams);
        }
        answer.teams = jobs.team_report();
        self.wake.notify_one();
        answer
    }

    /// Takes in a report of a rack owner.
    pub fn receive_report(&self, report: JobReport) {
        let wall = self.wall();
        self.jobs.lock().handle_report(report, wall);
        self.wake.notify_one();
    }
}
