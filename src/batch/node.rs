//! Batch node: carries out the decisions of its job owner and rack owner against the key-value
//! service, the worker agents and other members.

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

/// Maximum pause between two rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum pause between two rounds, so that responses that arrive together cause one round.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Dependencies of a batch node.
pub struct BatchParts {
    /// Region of this process.
    pub region: RegionId,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Worker agents.
    pub agent: Arc<dyn WorkerAgent>,
    /// Owners of racks and job shards.
    pub ownership: Arc<dyn Ownership>,
    /// Bundle in force.
    pub bundle: Arc<ActiveBundle>,
    /// Client for other members.
    pub peers: Arc<dyn PeerClient>,
    /// Seed for the sampling of candidate workers.
    pub seed: u64,
}

/// The batch scheduler of an entry process: its job owner and rack owner with their timers.
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
    /// Creates a node that does nothing until `run` is called.
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

    /// Applies a new VM list.
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

    /// Records the measured slowdown of the service on a worker; 1000 is full speed.
    pub fn record_service_slowdown(&self, worker: &VmId, slowdown: Permille, age: Millis) {
        let now = self.now();
        let mut racks = self.racks.lock();
        racks.record_service_slowdown(worker, slowdown, age, now);
    }

    /// Evicts a running attempt with a checkpoint, within the eviction budget. Returns whether it
    /// did.
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

    /// Returns the quarantined workers of own racks.
    pub fn quarantined(&self) -> Vec<VmId> {
        self.racks.lock().quarantined()
    }

    /// Returns the reserved capacity and the capacity of each claimed worker.
    pub fn reserved_capacity(&self) -> Vec<(VmId, Resources, Resources)> {
        self.racks.lock().reserved_capacity()
    }

    /// Runs rounds until `cancel` fires.
    pub async fn run(self: Arc<Self>, cancel: CancellationToken) {
        loop {
            self.round();
            let pause = async {
                tokio::time::sleep(MIN_ROUND_INTERVAL).await;
                let _ = tokio::time::timeout(
                    MAX_ROUND_INTERVAL - MIN_ROUND_INTERVAL,
                    self.wake.notified(),
                )
                .await;
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

    /// Returns the wall-clock time for records, which outlive this process. It never goes backwards
    /// within a process.
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
                // A response that cannot be decoded shows nothing about the write.
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
        let response = if owner == self.parts.ownership.me() {
            Ok(self.receive_exchange(&call))
        } else {
            self.parts.peers.exchange(&owner, &call).await
        };
        match response {
            Ok(response) => {
                let wall = self.wall();
                self.jobs.lock().handle_rack_response(response, &call, wall);
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

    /// Handles an exchange of a job owner with this rack owner.
    pub fn receive_exchange(&self, call: &RackCall) -> RackAnswer {
        let now = self.now();
        let mut response = self.racks.lock().handle(call, now);
        let mut jobs = self.jobs.lock();
        if response.accepted && !call.teams.is_empty() {
            jobs.record_team_use(&call.from, &call.teams);
        }
        response.teams = jobs.team_report();
        self.wake.notify_one();
        response
    }

    /// Handles a report of a rack owner to this job owner.
    pub fn receive_report(&self, report: JobReport) {
        let wall = self.wall();
        self.jobs.lock().handle_report(report, wall);
        self.wake.notify_one();
    }
}
