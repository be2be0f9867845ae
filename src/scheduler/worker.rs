//! A worker in the leader's memory.

use std::collections::{BTreeMap, VecDeque};

use super::slack::Slack;
use super::worker_health::Blame;
use super::{Placement, TaskKey};
use crate::prelude::*;

/// What a worker says of itself in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// Its id.
    pub id: WorkerId,
    /// Start of its life.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it is called.
    pub address: String,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It takes no new work.
    pub draining: bool,
}

/// How far a run has come from the scheduler's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Waits for its record to be durable.
    Planned { version: u64 },
    /// The start is on its way or unanswered.
    Sent,
    /// The worker has it, or a former leader has recorded it.
    Placed,
    /// It is to end; the stop may be unanswered.
    Stopping,
}

/// A run that takes room on a worker until it is known to be gone.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub run: u32,
    pub state: RunState,
    pub room: Resources,
    pub cpu: Millicores,
    pub best_effort: bool,
    pub long_running: bool,
    /// Urgency of its queue when it was assigned; 0 comes first.
    pub priority: u32,
    /// It resumes from a checkpoint.
    pub saved: bool,
    pub image: String,
    pub target: Option<Millis>,
    /// A list that was asked for after this time is complete for this run.
    pub settled: Option<Millis>,
    pub called: Millis,
    pub calling: bool,
    /// A list of this life of the worker has shown it.
    pub listed: bool,
    /// A start was not answered; a copy of it may still arrive.
    pub doubtful: bool,
    pub started: Millis,
    pub percent: u32,
    pub moved: Millis,
    pub gauge: u64,
    pub pace: u32,
    pub paced: Millis,
    /// How far its tail stays below its target.
    pub slack: Slack,
}

impl Run {
    /// Tells whether a next life of the worker may have carried out the start, or may yet do so.
    pub fn may_outlive(&self) -> bool {
        let planned = matches!(self.state, RunState::Planned { .. });
        !planned && (!self.listed || self.calling || self.doubtful)
    }

    /// A run of which nothing but its size is known.
    pub fn new(run: u32, room: Resources, cpu: Millicores, now: Millis) -> Self {
        Self {
            run,
            state: RunState::Sent,
            room,
            cpu,
            best_effort: false,
            long_running: false,
            priority: 0,
            saved: false,
            image: String::new(),
            target: None,
            settled: None,
            called: now,
            calling: false,
            listed: false,
            doubtful: false,
            started: now,
            percent: 0,
            moved: now,
            gauge: 0,
            pace: 100,
            paced: Millis::ZERO,
            slack: Slack::default(),
        }
    }
}

/// A worker with everything that takes its room.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub(super) id: WorkerId,
    pub(super) entry: Option<WorkerEntry>,
    pub(super) address: String,
    pub(super) incarnation: u64,
    /// It has answered under this leader's fence.
    pub(super) fenced: bool,
    pub(super) used: Resources,
    pub(super) filling: Millicores,
    pub(super) serving: u32,
    /// Since when a serving task has been over its target.
    pub(super) over_since: Option<Millis>,
    /// Processors in use: reserved ones, and on average by tasks that serve.
    pub(super) busy: u64,
    /// Least slack that is to spare for each serving image, by its place in the model, beside the
    /// present tasks; `None` if not up to date.
    pub(super) margins: Option<Vec<(Option<usize>, f64)>>,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Own time and the worker's clock at its last answer.
    pub(super) clock: Option<(Millis, Millis)>,
    /// Latest end of its lease that was ever sent, on its clock.
    pub(super) lease: Millis,
    pub(super) handled: u64,
    pub(super) seen: u64,
    pub(super) unseen: VecDeque<(u64, JobId, u64)>,
    pub(super) heard: Millis,
    pub(super) misses: u32,
    pub(super) blame: Blame,
}

impl Worker {
    pub(super) fn place(&self) -> Placement {
        Placement {
            worker: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    pub(super) fn insert(&mut self, key: TaskKey, run: Run) {
        self.drop_run(&key);
        self.used = self.used.checked_add(&run.room).unwrap_or(self.used);
        if run.best_effort {
            self.filling = self.filling.saturating_add(run.cpu);
        }
        if run.target.is_some() {
            self.serving += 1;
        }
        self.busy += run.busy();
        self.margins = None;
        self.runs.insert(key, run);
    }

    pub(super) fn drop_run(&mut self, key: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used = self.used.saturating_sub(&run.room);
        if run.best_effort {
            self.filling = self.filling.saturating_sub(run.cpu);
        }
        if run.target.is_some() {
            self.serving = self.serving.saturating_sub(1);
        }
        self.busy = self.busy.saturating_sub(run.busy());
        self.margins = None;
        Some(run)
    }

    /// Tells whether it is registered and stays.
    pub(super) fn is_open(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| !entry.draining)
    }

    /// Tells whether it belongs to a service.
    pub(super) fn serves(&self, service: &str) -> bool {
        self.entry
            .as_ref()
            .is_some_and(|entry| entry.service == service)
    }

    /// Capacity that nothing takes.
    pub(super) fn free(&self) -> Resources {
        let capacity = self
            .entry
            .as_ref()
            .map(|entry| entry.capacity)
            .unwrap_or_default();
        capacity.saturating_sub(&self.used)
    }

    /// Estimates the worker's clock.
    pub(super) fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(at, clock)| clock + now.since(at))
    }

    /// Own time at which everything on it has lapsed, if nothing is renewed.
    pub(super) fn lapses(&self, drift_permille: u64) -> Option<Millis> {
        let (at, clock) = self.clock?;
        Some(
            at + self
                .lease
                .since(clock)
                .scale_permille(1000 + drift_permille),
        )
    }

    /// Returns its rack, which is the label that is not its kind.
    pub(super) fn rack(&self) -> Option<&str> {
        let entry = self.entry.as_ref()?;
        entry.labels.get(1).map(String::as_str)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry
            .as_ref()
            .is_some_and(|entry| entry.labels.iter().any(|own| own == label))
    }
}
