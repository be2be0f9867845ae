//! A job in the leader's memory.

use super::{JobRecord, JobSpec, Placement, StepSpec, TaskKey, TaskRecord};
use crate::prelude::*;

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// Work is left.
    Active,
    /// All tasks have ended as done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller has cancelled it.
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
    /// All tasks have ended as done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

/// A step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub occurrence: u32,
    pub step: u32,
    pub due: Millis,
    pub tasks: Vec<TaskRecord>,
    pub done: usize,
}

impl Unit {
    /// Numbers of the tasks that are neither done nor on a worker.
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
    pub(super) units: Vec<Unit>,
    pub(super) objective_at: Millis,
    pub(super) span: Millis,
    pub(super) begun: bool,
    /// Version of the state in memory.
    pub(super) version: u64,
    /// Version that the store has acknowledged.
    pub(super) durable: u64,
    /// Phase that the store has acknowledged.
    pub(super) durable_phase: Phase,
    /// Revision of the record in the store; 0 if there is none.
    pub(super) revision: u64,
    pub(super) writing: bool,
    /// Since when a task could run while none of the job is on a worker.
    pub(super) idle_since: Option<Millis>,
}

impl Job {
    pub(super) fn new(id: JobId, spec: Arc<JobSpec>, now: Millis, wall: Timestamp) -> Self {
        let due = |occurrence: u32| {
            let Some(repeat) = &spec.repeat else {
                return now;
            };
            let at = repeat.first.0 + u64::from(occurrence) * repeat.interval.0;
            // An occurrence in the past is due at once.
            now + Millis(at.saturating_sub(wall.0))
        };
        let units = (0..spec.occurrences())
            .flat_map(|occurrence| {
                let due = due(occurrence);
                spec.steps.iter().zip(0..).map(move |(step, number)| Unit {
                    occurrence,
                    step: number,
                    due,
                    tasks: vec![TaskRecord::default(); step.tasks as usize],
                    done: 0,
                })
            })
            .collect();
        Self {
            id,
            spec,
            phase: Phase::Active,
            ended: Timestamp(0),
            units,
            objective_at: now,
            span: Millis::ZERO,
            begun: false,
            version: 0,
            durable: 0,
            durable_phase: Phase::Active,
            revision: 0,
            writing: false,
            idle_since: None,
        }
    }

    /// Notes whether a task can be assigned, and since when the job waits with nothing running;
    /// returns the former.
    pub(super) fn note_wait(&mut self, now: Millis) -> bool {
        let waits = self.has_open_tasks(now);
        let runs = || {
            let mut tasks = self.units.iter().flat_map(|unit| &unit.tasks);
            tasks.any(|task| task.place.is_some())
        };
        self.idle_since = (waits && !runs()).then(|| self.idle_since.unwrap_or(now));
        waits
    }

    /// Takes over what the store keeps; a record of another shape is refused.
    pub(super) fn restore(&mut self, record: &JobRecord, revision: u64) -> bool {
        self.revision = revision;
        if record.phase != Phase::Active {
            self.phase = record.phase;
            self.durable_phase = record.phase;
            self.ended = record.ended;
            self.begun = true;
            return true;
        }
        let total: usize = self.units.iter().map(|unit| unit.tasks.len()).sum();
        if total != record.tasks.len() {
            return false;
        }
        let mut rest = record.tasks.as_slice();
        for unit in &mut self.units {
            let (own, others) = rest.split_at(unit.tasks.len());
            unit.tasks.clone_from_slice(own);
            unit.done = own.iter().filter(|task| task.done).count();
            rest = others;
        }
        // A recorded run may never have been started; the workers' lists tell.
        self.begun = record
            .tasks
            .iter()
            .any(|task| task.done || task.failures > 0 || !task.checkpoint.is_empty());
        true
    }

    pub(super) fn record(&self) -> JobRecord {
        let tasks = if self.phase == Phase::Active {
            let all = self.units.iter().flat_map(|unit| unit.tasks.iter());
            all.cloned().collect()
        } else {
            Vec::new()
        };
        JobRecord {
            phase: self.phase,
            ended: self.ended,
            tasks,
        }
    }

    pub(super) fn step(&self, unit: usize) -> &StepSpec {
        &self.spec.steps[self.units[unit].step as usize]
    }

    pub(super) fn unit_of(&self, key: &TaskKey) -> Option<usize> {
        let unit = key.occurrence as usize * self.spec.steps.len() + key.step as usize;
        let found = self.units.get(unit)?;
        ((key.step as usize) < self.spec.steps.len() && (key.index as usize) < found.tasks.len())
            .then_some(unit)
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRecord> {
        let unit = self.unit_of(key)?;
        self.units[unit].tasks.get_mut(key.index as usize)
    }

    pub(super) fn key(&self, unit: usize, index: usize) -> TaskKey {
        TaskKey {
            job: self.id.clone(),
            occurrence: self.units[unit].occurrence,
            step: self.units[unit].step,
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn is_ready(&self, unit: usize, now: Millis) -> bool {
        if self.units[unit].due > now {
            return false;
        }
        let steps = self.spec.steps.len();
        let base = unit / steps * steps;
        self.step(unit).after.iter().all(|&before| {
            let before = &self.units[base + before as usize];
            before.done == before.tasks.len()
        })
    }

    /// Tells whether a task can be assigned.
    fn has_open_tasks(&self, now: Millis) -> bool {
        let units = self.units.iter().enumerate();
        units
            .filter(|(_, unit)| unit.has_open_tasks())
            .any(|(at, _)| self.is_ready(at, now))
    }

    /// Longest chain of estimated work through the steps that are not done.
    pub(super) fn rest(&self) -> Millis {
        let mut ends = vec![Millis::ZERO; self.units.len()];
        let steps = self.spec.steps.len();
        for (i, unit) in self.units.iter().enumerate() {
            let step = self.step(i);
            let base = i / steps * steps;
            let begin = step
                .after
                .iter()
                .map(|&before| ends[base + before as usize])
                .max()
                .unwrap_or_default();
            let own = if unit.done == unit.tasks.len() {
                Millis::ZERO
            } else {
                step.estimate
            };
            ends[i] = begin + own;
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Estimated work of all tasks, and of those that are not done, in core-seconds.
    pub(super) fn work(&self) -> (f64, f64) {
        let mut total = 0.0;
        let mut left = 0.0;
        for (i, unit) in self.units.iter().enumerate() {
            let step = self.step(i);
            let one = step.need.cpu.0 as f64 * step.estimate.0 as f64 / 1e6;
            total += one * unit.tasks.len() as f64;
            left += one * (unit.tasks.len() - unit.done) as f64;
        }
        (total, left)
    }

    pub(super) fn is_done(&self) -> bool {
        self.units.iter().all(|unit| unit.done == unit.tasks.len())
    }

    pub(super) fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Marks a run as ended where it was placed; returns whether the record changed.
    ///
    /// The number tells runs apart, so the life of the worker is not compared: a record may
    /// name a life that has ended since.
    pub(super) fn release(&mut self, key: &TaskKey, place: &Placement, run: u32) -> bool {
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

    /// Returns the state that callers are told; an end counts once it is durable.
    pub fn view(&self) -> JobView {
        match (self.phase, self.durable_phase) {
            (Phase::Cancelled, _) => JobView::Cancelled,
            (_, Phase::Completed) => JobView::Completed,
            (_, Phase::Failed) => JobView::Failed,
            _ if self.begun => JobView::Running,
            _ => JobView::Queued,
        }
    }

    /// Returns the specification.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }
}
