//! All state of a leader, and what changes it from outside.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::advice::{Advice, StepKey};
use super::interference::Interference;
use super::worker::{Run, RunState};
use super::{
    Command, Job, JobRecord, JobSpec, JobView, Phase, Placement, QueueTable, StopCommand, TaskKey,
    Worker,
};
use crate::prelude::*;

/// Times that the site sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Lease that workers are given for their runs.
    pub run_lease: Millis,
    /// Time after a takeover at which the runs of a silent worker have lapsed, whatever the
    /// former leader still did.
    pub takeover_expiry: Millis,
    /// How long callers may ask for a job that has ended.
    pub ended_retention: Millis,
    /// Time over its target after which a serving task counts as harmed.
    pub violation_after: Millis,
}

/// Weight of a new job in the mean work of its queue: some 20 jobs count.
const MEAN_WORK_GAIN: f64 = 0.05;

/// Allowance for the rate of a worker's clock, in thousandths.
pub(super) const CLOCK_DRIFT_PERMILLE: u64 = 25;

/// The leader's state.
pub struct Scheduler {
    pub(super) timing: Timing,
    pub(super) fence: u64,
    pub(super) began: Millis,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    pub(super) queues: Arc<QueueTable>,
    pub(super) fresh: Vec<WorkerId>,
    pub(super) orders: Vec<Command>,
    pub(super) dirty: BTreeSet<JobId>,
    pub(super) active: BTreeSet<JobId>,
    /// Mean work of the jobs of each queue, in core-seconds.
    pub(super) mean_work: HashMap<String, f64>,
    pub(super) interference: Interference,
    pub(super) advice: HashMap<StepKey, Advice>,
    pub(super) replan: bool,
    pub(super) may_start: bool,
}

impl Scheduler {
    /// Creates the state of a leader that took over at `now`.
    pub fn new(timing: Timing, fence: u64, queues: Arc<QueueTable>, now: Millis) -> Self {
        Self {
            timing,
            fence,
            began: now,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            queues,
            fresh: Vec::new(),
            orders: Vec::new(),
            dirty: BTreeSet::new(),
            active: BTreeSet::new(),
            mean_work: HashMap::new(),
            interference: Interference::default(),
            advice: HashMap::new(),
            replan: true,
            may_start: true,
        }
    }

    /// Sets whether the leader's authority allows new starts.
    pub fn allow_starts(&mut self, allowed: bool) {
        self.replan |= allowed && !self.may_start;
        self.may_start = allowed;
    }

    /// Puts a configuration in force.
    pub fn set_queues(&mut self, queues: Arc<QueueTable>) {
        self.queues = queues;
        self.replan = true;
    }

    /// Adds an accepted job, with its record if a former leader has written one.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: JobSpec,
        record: Option<(JobRecord, u64)>,
        now: Millis,
        wall: Timestamp,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id.clone(), Arc::new(spec), now, wall);
        job.span = match self.queues.queues.get(&job.spec.queue) {
            Some(queue) => queue.objective(job.spec.critical_path()),
            None => job.spec.critical_path().scale_permille(1500),
        };
        let (work, _) = job.work();
        let mean = self.mean_work.entry(job.spec.queue.clone()).or_insert(work);
        *mean += MEAN_WORK_GAIN * (work - *mean);
        let age = Millis(wall.0.saturating_sub(job.spec.submitted.0));
        job.objective_at = (now + job.span) - age.min(now);
        if let Some((record, revision)) = &record
            && !job.restore(record, *revision)
        {
            tracing::error!(job = %id, "record does not match the job; its tasks start anew");
        }
        let queue = self.queues.queues.get(&job.spec.queue);
        let priority = queue.map_or(0, |queue| queue.priority);
        for unit in 0..job.units.len() {
            for index in 0..job.units[unit].tasks.len() {
                let task = &job.units[unit].tasks[index];
                let (Some(place), run) = (task.place.clone(), task.run) else {
                    continue;
                };
                let key = job.key(unit, index);
                let mut entry = new_run(&job, unit, run, priority, now);
                entry.state = RunState::Placed;
                entry.settled = Some(Millis::ZERO);
                let worker = self.worker(&place.worker, place.incarnation);
                worker.insert(key, entry);
            }
        }
        if job.is_active() {
            self.active.insert(id.clone());
        }
        self.jobs.insert(id, job);
        self.replan = true;
    }

    pub(super) fn worker(&mut self, id: &WorkerId, incarnation: u64) -> &mut Worker {
        let fresh = &mut self.fresh;
        self.workers.entry(id.clone()).or_insert_with(|| {
            fresh.push(id.clone());
            Worker {
                id: id.clone(),
                incarnation,
                ..Worker::default()
            }
        })
    }

    /// Takes the ids of workers that have become known.
    pub fn take_new_workers(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.fresh)
    }

    /// Cancels a job: its runs are stopped and none begins any more.
    pub fn cancel(&mut self, id: &JobId, now: Millis, wall: Timestamp) {
        if self.jobs.get(id).is_some_and(Job::is_active) {
            tracing::info!(job = %id, "job cancelled");
            self.end_job(id, Phase::Cancelled, now, wall);
        }
    }

    /// Ends a job in `phase` and stops what is left of it.
    pub(super) fn end_job(&mut self, id: &JobId, phase: Phase, now: Millis, wall: Timestamp) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        job.ended = wall;
        job.version += 1;
        self.dirty.insert(id.clone());
        self.active.remove(id);
        self.advice.retain(|(job, _), _| job != id);
        self.replan = true;
        let mut stops = Vec::new();
        for unit in 0..job.units.len() {
            for index in 0..job.units[unit].tasks.len() {
                if let Some(place) = job.units[unit].tasks[index].place.clone() {
                    stops.push((place.worker, job.key(unit, index)));
                }
            }
        }
        for (worker, key) in stops {
            self.stop(&worker, &key, now);
        }
    }

    /// Ends a run; its room stays taken until the worker has confirmed the end.
    pub(super) fn stop(&mut self, worker: &WorkerId, key: &TaskKey, now: Millis) {
        let Some(found) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = found.runs.get_mut(key) else {
            return;
        };
        match run.state {
            RunState::Planned { .. } => {
                let number = run.run;
                let place = found.place();
                found.drop_run(key);
                self.free_task(key, &place, number);
            }
            RunState::Stopping => {}
            RunState::Sent | RunState::Placed => {
                run.state = RunState::Stopping;
                run.settled = None;
                self.call_stop(worker, key, now);
            }
        }
    }

    /// Notes in its job that a run is gone; returns whether the record changed.
    pub(super) fn free_task(&mut self, key: &TaskKey, place: &Placement, run: u32) -> bool {
        let freed = self
            .jobs
            .get_mut(&key.job)
            .is_some_and(|job| job.release(key, place, run));
        if freed {
            self.dirty.insert(key.job.clone());
        }
        freed
    }

    pub(super) fn call_stop(&mut self, worker: &WorkerId, key: &TaskKey, now: Millis) {
        let Some(found) = self.workers.get_mut(worker) else {
            return;
        };
        let address = found.address.clone();
        if let Some(run) = found.runs.get_mut(key)
            && !address.is_empty()
        {
            run.called = now;
            run.calling = true;
            self.orders.push(Command::Stop(StopCommand {
                worker: worker.clone(),
                address,
                task: key.clone(),
                run: run.run,
                fence: self.fence,
            }));
        }
    }

    /// Encodes what was learned of disturbance, for a successor.
    pub fn encode_interference(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(&self.interference)
    }

    /// Takes over what a former leader has learned; returns whether it could be used.
    pub fn restore_interference(&mut self, value: &[u8]) -> bool {
        match rmp_serde::from_slice::<Interference>(value) {
            Ok(learned) if learned.is_valid() => {
                self.interference = learned;
                true
            }
            _ => false,
        }
    }

    /// Tells whether a round of planning may find something to assign.
    pub fn needs_plan(&self) -> bool {
        self.replan && self.may_start
    }

    /// Tells whether records wait to be written.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the orders that are ready to be sent.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the state of a job as its caller sees it.
    pub fn view(&self, id: &JobId) -> Option<JobView> {
        self.jobs.get(id).map(Job::view)
    }

    /// Counts the jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        self.active
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| !job.begun && job.spec.queue == queue)
            .count()
    }

    /// Counts active jobs, workers and runs.
    pub fn summary(&self) -> (usize, usize, usize) {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        (self.active.len(), self.workers.len(), runs)
    }
}

pub(super) fn new_run(job: &Job, unit: usize, number: u32, priority: u32, now: Millis) -> Run {
    let step = job.step(unit);
    Run {
        best_effort: step.best_effort,
        long_running: step.long_running,
        priority,
        saved: step.checkpoints,
        image: step.image.clone(),
        target: step.tail_target,
        ..Run::new(number, step.reservation(), step.need.cpu, now)
    }
}
