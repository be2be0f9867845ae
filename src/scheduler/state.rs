//! State of the scheduler, and the changes that come from jobs and configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::advice::{Advice, StepKey};
use super::crash::needs_trial;
use super::crash_tracker::CrashTracker;
use super::fleet::Fleet;
use super::incarnation::Incarnation;
use super::interference::Interference;
use super::poll_gap::PollGap;
use super::record_queue::RecordQueue;
use super::round::Resume;
use super::run_lease::with_clock_drift;
use super::silence::Silence;
use super::trial::TrialQueue;
use super::worker::{Run, RunState};
use super::{Command, Job, JobRecord, JobSpec, JobView, QueueTable, Worker, WorkerEntry};
use crate::prelude::*;

/// Durations that the site configures.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Lease that workers are given for their runs.
    pub run_lease: Millis,
    /// Longest lease that a worker accepts; it shortens a longer one.
    pub longest_lease: Millis,
    /// Time after a takeover by which the leases that a former leader has granted have ended, also if
    /// it does not know of its end.
    pub former_leases: Millis,
    /// Time for which callers can query a job after its end.
    pub ended_retention: Millis,
    /// Time over its target after which a serving task's target counts as violated.
    pub violation_after: Millis,
}

impl Timing {
    /// Returns the latest end of a lease that is granted at `at`.
    pub fn lease_end(&self, at: Millis) -> Millis {
        at + with_clock_drift(self.run_lease)
    }
}

/// Decisions and state of one leader.
pub struct Scheduler {
    pub(super) timing: Timing,
    pub(super) fence: u64,
    pub(super) took_over_at: Millis,
    /// Time by which the leases that former leaders have granted have ended.
    pub(super) inherited_until: Millis,
    /// Time beyond which this leader grants no lease; `None` without a limit.
    pub(super) lease_horizon: Option<Millis>,
    pub(super) silence: Silence,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Cancellations of jobs that are not known, and when callers asked for them.
    pub(super) cancel_marks: BTreeMap<JobId, Timestamp>,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    /// Entries that name a service which the configuration does not; they apply once it does.
    pub(super) foreign_entries: BTreeMap<WorkerId, WorkerEntry>,
    pub(super) queues: Arc<QueueTable>,
    /// Workers that the caller does not poll yet.
    pub(super) new_workers: Vec<WorkerId>,
    pub(super) commands: Vec<Command>,
    /// Jobs whose records have to be written.
    pub(super) dirty: RecordQueue,
    /// Jobs that have not ended.
    pub(super) active: BTreeSet<JobId>,
    pub(super) interference: Interference,
    pub(super) advice: HashMap<StepKey, Advice>,
    pub(super) resume: Resume,
    pub(super) crashes: CrashTracker,
    pub(super) trials: TrialQueue,
    /// The last time of day that was passed in, and when.
    pub(super) wall: (Millis, Timestamp),
    /// Something has changed since the last round of planning.
    pub(super) replan: bool,
    /// Time of the last answered watch of entries; `None` before the first.
    pub(super) entries_watched_at: Option<Millis>,
    /// The leader is authorised to send new starts.
    pub(super) may_start: bool,
    pub(super) counts: PlanCounts,
    pub(super) fleet: Fleet,
    pub(super) poll_gap: PollGap,
}

/// What planning has cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanCounts {
    /// Planning rounds.
    pub rounds: u64,
    /// Searches of the whole fleet, for a worker with room or for runs to preempt.
    pub searches: u64,
}

impl Scheduler {
    /// Creates the state of a leader that takes over at `now`.
    pub fn new(timing: Timing, fence: u64, queues: Arc<QueueTable>, now: Millis) -> Self {
        Self {
            inherited_until: now + timing.former_leases,
            lease_horizon: None,
            silence: Silence::default(),
            timing,
            fence,
            took_over_at: now,
            jobs: BTreeMap::new(),
            cancel_marks: BTreeMap::new(),
            workers: BTreeMap::new(),
            foreign_entries: BTreeMap::new(),
            queues,
            new_workers: Vec::new(),
            commands: Vec::new(),
            dirty: RecordQueue::default(),
            active: BTreeSet::new(),
            interference: Interference::default(),
            advice: HashMap::new(),
            resume: Resume::default(),
            crashes: CrashTracker::default(),
            trials: TrialQueue::new(),
            wall: (now, Timestamp(0)),
            replan: true,
            entries_watched_at: None,
            may_start: true,
            counts: PlanCounts::default(),
            fleet: Fleet::default(),
            poll_gap: PollGap::default(),
        }
    }

    /// Returns what planning has cost so far.
    pub fn plan_counts(&self) -> PlanCounts {
        self.counts
    }

    /// Sets the time by which the leases of former leaders have ended, once it is known better.
    pub fn inherit_until(&mut self, until: Millis) {
        self.inherited_until = until;
    }

    /// Sets the time beyond which no lease is granted. Successors count on it.
    pub fn limit_leases(&mut self, horizon: Millis) {
        self.lease_horizon = Some(horizon);
    }

    /// Sets whether the leader is authorised to send new starts.
    pub fn allow_starts(&mut self, allowed: bool) {
        self.replan |= allowed && !self.may_start;
        self.may_start = allowed;
    }

    /// Applies a new configuration.
    pub fn set_queues(&mut self, queues: Arc<QueueTable>, now: Millis) {
        self.log_removed_queues(&queues);
        self.queues = queues;
        self.replan = true;
        for (_, entry) in std::mem::take(&mut self.foreign_entries) {
            self.set_entry(entry, now);
        }
    }

    /// Logs which queues with jobs are not in the next configuration. Their jobs go on.
    fn log_removed_queues(&self, next: &QueueTable) {
        let mut jobs: BTreeMap<&str, usize> = BTreeMap::new();
        for job in self.active.iter().filter_map(|id| self.jobs.get(id)) {
            let queue = job.spec.queue.as_str();
            if self.queues.queues.contains_key(queue) && !next.queues.contains_key(queue) {
                *jobs.entry(queue).or_default() += 1;
            }
        }
        for (queue, jobs) in jobs {
            tracing::info!(
                queue,
                jobs,
                config = next.version,
                "queue is removed; its accepted jobs go on as it accepted them"
            );
        }
    }

    /// Estimates the time of day from the last one that was passed in.
    pub(super) fn wall_at(&self, now: Millis) -> Timestamp {
        let (at, wall) = self.wall;
        Timestamp(wall.0 + now.since(at).0)
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
        self.wall = (now, wall);
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id.clone(), Arc::new(spec), now, wall);
        job.objective_span = match self.queues.of(&job.spec) {
            Some(queue) => queue.objective(job.spec.critical_path()),
            None => job.spec.critical_path().scale_permille(1500),
        };
        let age = Millis(wall.0.saturating_sub(job.spec.submitted.0));
        job.objective_at = (now + job.objective_span) - age.min(now);
        if let Some((record, revision)) = &record
            && !job.restore(record, *revision)
        {
            tracing::error!(job = %id, "record does not match the job and is ignored; all tasks run again");
        }
        let queue = self.queues.of(&job.spec);
        let priority = queue.map_or(0, |queue| queue.priority);
        for instance in 0..job.instances.len() {
            for index in 0..job.instances[instance].tasks.len() {
                let task = &job.instances[instance].tasks[index];
                let Some(place) = task.place.clone() else {
                    continue;
                };
                let mut run = new_run(&job, instance, index, priority, now);
                run.state = RunState::Running;
                run.settled_at = Some(Millis::ZERO);
                run.in_trial = needs_trial(run.crashes) && !job.step(instance).gang;
                let key = job.key(instance, index);
                run.is_restored = true;
                let worker = self.worker(&place.worker, place.incarnation);
                worker.add_run(key, run);
            }
        }
        if job.is_active() {
            self.active.insert(id.clone());
            for (key, crashes) in job.crashed_tasks() {
                self.crashes.remember_counted(&key, crashes);
            }
        }
        let is_cancelled = self.cancel_marks.remove(&id).is_some();
        self.jobs.insert(id.clone(), job);
        self.replan = true;
        if is_cancelled {
            self.cancel(&id, now, wall);
        }
    }

    pub(super) fn worker(&mut self, id: &WorkerId, incarnation: u64) -> &mut Worker {
        let new_workers = &mut self.new_workers;
        let silence = &self.silence;
        self.workers.entry(id.clone()).or_insert_with(|| {
            new_workers.push(id.clone());
            Worker {
                id: id.clone(),
                current: Incarnation {
                    is_declared: silence.binds(id, incarnation),
                    ..Incarnation::inherited(incarnation)
                },
                ..Worker::default()
            }
        })
    }

    /// Returns the workers that became known since the last call.
    pub fn take_new_workers(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.new_workers)
    }

    /// Encodes the interference model for a successor.
    pub fn encode_interference(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(&self.interference)
    }

    /// Restores the interference model of a former leader; returns whether it is usable.
    pub fn restore_interference(&mut self, value: &[u8]) -> bool {
        match rmp_serde::from_slice::<Interference>(value) {
            Ok(model) if model.is_valid() => {
                self.interference = model;
                true
            }
            _ => false,
        }
    }

    /// Returns whether a round of planning may find something to assign.
    pub fn needs_plan(&self) -> bool {
        self.replan && self.may_start
    }

    /// Returns whether records wait to be written.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns the number of jobs whose records have to be written, and the one that has waited
    /// longest with its waiting time.
    pub fn record_backlog(&self, now: Millis) -> Option<(usize, &JobId, Millis)> {
        let (oldest, changed_at) = self.dirty.oldest()?;
        Some((self.dirty.len(), oldest, now.since(changed_at)))
    }

    /// Takes the commands that are ready to be sent.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
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
            .filter(|job| !job.started && job.spec.queue == queue)
            .count()
    }

    /// Returns the numbers of active jobs, workers and runs.
    pub fn summary(&self) -> (usize, usize, usize) {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        (self.active.len(), self.workers.len(), runs)
    }
}

/// Creates the run of a task from its record.
pub(super) fn new_run(job: &Job, instance: usize, index: usize, priority: u32, now: Millis) -> Run {
    let step = job.step(instance);
    let task = &job.instances[instance].tasks[index];
    Run {
        crashes: task.crashes.count(),
        best_effort: step.best_effort,
        long_running: step.long_running,
        priority,
        saves_checkpoints: step.checkpoints,
        image: step.image.clone(),
        target: step.tail_target,
        ..Run::new(task.run, step.reservation(), step.need.cpu, now)
    }
}
