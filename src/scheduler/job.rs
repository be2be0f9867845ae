//! State of a job in the leader's memory.

use super::record::JobRecordRef;
use super::waits::Waits;
use super::{Crashes, JobRecord, JobSpec, Placement, StepSpec, TaskKey, TaskRecord};
use crate::prelude::*;

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// The job has tasks left to complete.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum JobView {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

/// A step of one occurrence of a job.
#[derive(Clone, Debug)]
pub(super) struct StepInstance {
    pub occurrence: u32,
    pub step: u32,
    /// Earliest time at which the tasks may start.
    pub due: Millis,
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that are done.
    pub done: usize,
    /// Time since when each task of a long-running step has been ready without a place; empty for
    /// other steps.
    pub away_since: Vec<Option<Millis>>,
}

impl StepInstance {
    /// Indices of the tasks that are neither done nor placed on a worker.
    pub fn open_tasks(&self) -> impl Iterator<Item = usize> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| !task.done && task.place.is_none())
            .map(|(index, _)| index)
    }

    pub fn has_open_tasks(&self) -> bool {
        self.open_tasks().next().is_some()
    }
}

/// A job with its tasks and the versions of its record.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) id: JobId,
    pub(super) spec: Arc<JobSpec>,
    pub(super) phase: Phase,
    pub(super) ended: Timestamp,
    pub(super) instances: Vec<StepInstance>,
    /// Time by which the job should be complete.
    pub(super) objective_at: Millis,
    /// Time from the acceptance of the job to `objective_at`.
    pub(super) objective_span: Millis,
    /// A run of the job is known to have started.
    pub(super) started: bool,
    /// Version of the state in memory.
    pub(super) version: u64,
    /// Latest version that the store has acknowledged.
    pub(super) durable_version: u64,
    /// Latest phase that the store has acknowledged.
    pub(super) durable_phase: Phase,
    /// Revision of the record in the store; 0 if there is none.
    pub(super) revision: u64,
    pub(super) write_in_flight: bool,
    /// Time since when a task has been ready while no run of the job is placed.
    pub(super) idle_since: Option<Millis>,
    /// What planning needs to know of the tasks.
    pub(super) waits: Waits,
    /// Tasks, as instance and index, with a run whose start waits for the record. Some of them may
    /// have lost their run since.
    pub(super) unsent: Vec<(usize, usize)>,
}

impl Job {
    pub(super) fn new(id: JobId, spec: Arc<JobSpec>, now: Millis, wall: Timestamp) -> Self {
        let due = |occurrence: u32| {
            let Some(repeat) = &spec.repeat else {
                return now;
            };
            let offset = repeat.interval.0.saturating_mul(occurrence.into());
            let at = repeat.first.0.saturating_add(offset);
            // An occurrence in the past is due immediately.
            now + Millis(at.saturating_sub(wall.0))
        };
        let instances = (0..spec.occurrences())
            .flat_map(|occurrence| {
                let due = due(occurrence);
                spec.steps
                    .iter()
                    .zip(0..)
                    .map(move |(step, number)| StepInstance {
                        occurrence,
                        step: number,
                        due,
                        tasks: vec![TaskRecord::default(); step.tasks as usize],
                        done: 0,
                        away_since: match step.long_running {
                            true => vec![None; step.tasks as usize],
                            false => Vec::new(),
                        },
                    })
            })
            .collect();
        Self {
            id,
            spec,
            phase: Phase::Active,
            ended: Timestamp(0),
            instances,
            objective_at: now,
            objective_span: Millis::ZERO,
            started: false,
            version: 0,
            durable_version: 0,
            durable_phase: Phase::Active,
            revision: 0,
            write_in_flight: false,
            idle_since: None,
            waits: Waits::default(),
            unsent: Vec::new(),
        }
    }

    /// Restores the job from its record; returns `false` if the record has another number of tasks.
    pub(super) fn restore(&mut self, record: &JobRecord, revision: u64) -> bool {
        self.revision = revision;
        if record.phase != Phase::Active {
            self.phase = record.phase;
            self.durable_phase = record.phase;
            self.ended = record.ended;
            self.started = true;
            return true;
        }
        let total: usize = self
            .instances
            .iter()
            .map(|instance| instance.tasks.len())
            .sum();
        if total != record.tasks.len() {
            return false;
        }
        let mut rest = record.tasks.as_slice();
        for instance in &mut self.instances {
            let (own, others) = rest.split_at(instance.tasks.len());
            instance.tasks.clone_from_slice(own);
            if self.spec.steps[instance.step as usize].gang {
                share_checkpoint(&mut instance.tasks);
            }
            instance.done = own.iter().filter(|task| task.done).count();
            // The former leader knew since when a task has been away; it may be for long.
            for (task, since) in own.iter().zip(&mut instance.away_since) {
                *since = (task.run > 0 && task.place.is_none()).then_some(Millis::ZERO);
            }
            rest = others;
        }
        // A recorded run may never have started; only the workers' reports show whether it did.
        self.started = record
            .tasks
            .iter()
            .any(|task| task.done || task.failures > 0 || !task.checkpoint.is_empty());
        true
    }

    pub(super) fn record(&self) -> JobRecordRef<'_> {
        let tasks = match self.phase {
            Phase::Active => {
                let all = self.instances.iter();
                all.flat_map(|instance| &instance.tasks).collect()
            }
            _ => Vec::new(),
        };
        JobRecordRef {
            phase: self.phase,
            ended: self.ended,
            tasks,
        }
    }

    pub(super) fn step(&self, instance: usize) -> &StepSpec {
        &self.spec.steps[self.instances[instance].step as usize]
    }

    pub(super) fn instance_of(&self, key: &TaskKey) -> Option<usize> {
        let instance = key.occurrence as usize * self.spec.steps.len() + key.step as usize;
        let found = self.instances.get(instance)?;
        ((key.step as usize) < self.spec.steps.len() && (key.index as usize) < found.tasks.len())
            .then_some(instance)
    }

    /// Returns the tasks under which workers have crashed.
    pub(super) fn crashed_tasks(&self) -> impl Iterator<Item = (TaskKey, &Crashes)> {
        let instances = self.instances.iter().enumerate();
        instances.flat_map(move |(at, instance)| {
            let tasks = instance.tasks.iter().enumerate();
            tasks
                .filter(|(_, task)| !task.crashes.is_empty())
                .map(move |(index, task)| (self.key(at, index), &task.crashes))
        })
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRecord> {
        let instance = self.instance_of(key)?;
        self.instances[instance].tasks.get_mut(key.index as usize)
    }

    /// Returns the checkpoint from which a task resumes. The members of a gang share one, which the
    /// first member holds: the value of any of them is valid for all, but all must carry the same.
    pub(super) fn checkpoint_mut(&mut self, key: &TaskKey) -> Option<&mut String> {
        let instance = self.instance_of(key)?;
        let holder = match self.step(instance).gang {
            true => 0,
            false => key.index as usize,
        };
        let task = self.instances[instance].tasks.get_mut(holder)?;
        Some(&mut task.checkpoint)
    }

    pub(super) fn key(&self, instance: usize, index: usize) -> TaskKey {
        TaskKey {
            job: self.id.clone(),
            occurrence: self.instances[instance].occurrence,
            step: self.instances[instance].step,
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn is_ready(&self, instance: usize, now: Millis) -> bool {
        if self.instances[instance].due > now {
            return false;
        }
        let steps = self.spec.steps.len();
        let base = instance / steps * steps;
        self.step(instance).after.iter().all(|&before| {
            let before = &self.instances[base + before as usize];
            before.done == before.tasks.len()
        })
    }

    /// Returns whether a task can be assigned.
    pub(super) fn has_open_tasks(&self, now: Millis) -> bool {
        let instances = self.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| instance.has_open_tasks())
            .any(|(at, _)| self.is_ready(at, now))
    }

    /// Returns the estimated work of all tasks and of those that are not done, in core-seconds.
    pub(super) fn work(&self) -> (f64, f64) {
        let mut total = 0.0;
        let mut left = 0.0;
        for (i, instance) in self.instances.iter().enumerate() {
            let step = self.step(i);
            let one = step.need.cpu.0 as f64 * step.estimate.0 as f64 / 1e6;
            total += one * instance.tasks.len() as f64;
            left += one * (instance.tasks.len() - instance.done) as f64;
        }
        (total, left)
    }

    pub(super) fn is_done(&self) -> bool {
        self.instances
            .iter()
            .all(|instance| instance.done == instance.tasks.len())
    }

    /// Returns whether the job has tasks that run until it is cancelled.
    pub(super) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    pub(super) fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Clears the placement of a run that has ended; returns whether the record changed.
    ///
    /// The number identifies the run, so the incarnation of the worker is not compared: the record
    /// may name an incarnation that has ended since.
    pub(super) fn clear_placement(&mut self, key: &TaskKey, place: &Placement, run: u32) -> bool {
        let Some(task) = self.task_mut(key) else {
            return false;
        };
        if task.run != run || task.place.as_ref().map(|known| &known.worker) != Some(&place.worker)
        {
            return false;
        }
        task.place = None;
        self.version += 1;
        true
    }

    /// Returns the state that callers see; completion and failure count once they are durable.
    pub fn view(&self) -> JobView {
        match (self.phase, self.durable_phase) {
            (Phase::Cancelled, _) => JobView::Cancelled,
            (_, Phase::Completed) => JobView::Completed,
            (_, Phase::Failed) => JobView::Failed,
            _ if self.started => JobView::Running,
            _ => JobView::Queued,
        }
    }

    /// Returns the specification of the job.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }
}

/// Gives the first member of a gang a checkpoint if another one has one: records of earlier builds
/// hold one for each member.
fn share_checkpoint(members: &mut [TaskRecord]) {
    let held = members.iter().find(|task| !task.checkpoint.is_empty());
    let checkpoint = held.map(|task| task.checkpoint.clone()).unwrap_or_default();
    if let Some(first) = members.first_mut() {
        first.checkpoint = checkpoint;
    }
}
