//! State of a worker in the leader's memory.

use std::collections::BTreeMap;

use super::crash::TRIAL_PERIOD;
use super::incarnation::Incarnation;
use super::slack::SlackEstimate;
use super::{Placement, RunStatus, TaskKey};
use crate::prelude::*;

/// The entry that a worker publishes in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub id: WorkerId,
    /// Start time of the worker process, which identifies its incarnation.
    pub incarnation: u64,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address for calls to the worker.
    pub address: String,
    /// Resources that the worker offers to runs.
    pub capacity: Resources,
    /// Kind and rack of the worker, in this order.
    pub labels: Vec<String>,
    /// The worker accepts no new runs.
    pub draining: bool,
}

/// State of a run from the scheduler's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The start waits until the record with this version is durable.
    Planned { version: u64 },
    /// The start is in flight or its outcome is unknown.
    Sent,
    /// The worker has the run, or a former leader has recorded it.
    Running,
    /// The run has to end; the stop may be unanswered.
    Stopping,
}

/// A run that holds resources of a worker until it is known to be gone.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Number of the run within its task.
    pub run: u32,
    pub state: RunState,
    /// Resources that the run takes from the worker's capacity.
    pub reservation: Resources,
    /// CPU that the step requests; a best-effort run does not reserve it.
    pub cpu: Millicores,
    pub best_effort: bool,
    pub long_running: bool,
    /// Priority of the queue at the time of assignment; 0 is the most urgent.
    pub priority: u32,
    /// The step saves checkpoints, so preemption wastes little work.
    pub saves_checkpoints: bool,
    pub image: String,
    /// Target for the tail latency of a serving run.
    pub target: Option<Millis>,
    /// A report that was requested after this time lists the run if it exists; `None` while the
    /// last start or stop is unanswered.
    pub settled_at: Option<Millis>,
    /// Time of the last start or stop call.
    pub called_at: Millis,
    pub call_in_flight: bool,
    /// A report of this incarnation of the worker has listed the run.
    pub listed: bool,
    /// Number of the last report of the worker that has listed the run.
    pub listed_in: u64,
    /// A start is in doubt: a copy of it may still arrive.
    pub in_doubt: bool,
    pub started_at: Millis,
    pub percent: u32,
    pub progressed_at: Millis,
    /// Tail latency in milliseconds of a serving run, CPU use in millicores of any other run.
    pub gauge: u64,
    /// Share of the full speed that was last commanded, in percent.
    pub pace: u32,
    pub pace_changed_at: Millis,
    /// Estimate of the slack below the latency target.
    pub slack: SlackEstimate,
    /// Crashes under the task at the assignment of the run.
    pub crashes: u32,
    /// The task is tried alone: its worker takes no other new runs for a while.
    pub in_trial: bool,
    /// The worker has acknowledged the start or listed the run.
    pub was_seen: bool,
    /// Taken from a record: a former leader may have started the run, at an unknown time.
    pub is_restored: bool,
    /// Left over from the incarnation before, whose end has been counted.
    pub left_over: bool,
}

impl Run {
    /// Returns whether the next incarnation of the worker may have executed the start, or may still
    /// do so.
    pub fn may_survive_restart(&self) -> bool {
        let planned = matches!(self.state, RunState::Planned { .. });
        !planned && (!self.listed || self.call_in_flight || self.in_doubt)
    }

    /// Marks a run that the next incarnation of its worker may have and that is to be stopped there.
    /// What the incarnation before has said of the run is void.
    pub fn leave_over(&mut self) {
        self.state = RunState::Stopping;
        self.settled_at = None;
        self.listed = false;
        self.listed_in = 0;
        self.left_over = true;
    }

    /// Takes over what the report with this number says of the run.
    pub fn note_status(&mut self, status: &RunStatus, report: u64, now: Millis) {
        self.listed = true;
        self.was_seen = true;
        self.listed_in = report;
        if self.state == RunState::Sent {
            self.state = RunState::Running;
            self.settled_at = Some(now);
        }
        if status.percent != self.percent {
            self.percent = status.percent;
            self.progressed_at = now;
        }
        self.gauge = status.gauge;
    }

    /// Creates a run of which only the resources are known.
    pub fn new(run: u32, reservation: Resources, cpu: Millicores, now: Millis) -> Self {
        Self {
            run,
            state: RunState::Sent,
            reservation,
            cpu,
            best_effort: false,
            long_running: false,
            priority: 0,
            saves_checkpoints: false,
            image: String::new(),
            target: None,
            settled_at: None,
            called_at: now,
            call_in_flight: false,
            listed: false,
            listed_in: 0,
            in_doubt: false,
            started_at: now,
            percent: 0,
            progressed_at: now,
            gauge: 0,
            pace: 100,
            pace_changed_at: Millis::ZERO,
            slack: SlackEstimate::default(),
            crashes: 0,
            in_trial: false,
            was_seen: false,
            is_restored: false,
            left_over: false,
        }
    }
}

/// A worker with its runs and everything that is known of its state.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub(super) id: WorkerId,
    pub(super) entry: Option<WorkerEntry>,
    /// The entry may date from before an outage of the store.
    pub(super) entry_is_old: bool,
    pub(super) address: String,
    /// What is known of the present process of the worker.
    pub(super) current: Incarnation,
    pub(super) reserved: Resources,
    /// CPU that best-effort runs request.
    pub(super) best_effort_cpu: Millicores,
    pub(super) serving_runs: u32,
    /// Expected CPU use in millicores: reserved CPU, and the average use of serving tasks.
    pub(super) expected_cpu: u64,
    /// Smallest slack margin beside the present tasks for each serving image, by its index in the
    /// model; `None` if out of date.
    pub(super) margins: Option<Vec<(Option<usize>, f64)>>,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Number of runs whose tasks are suspected of crashing workers.
    pub(super) suspects: u32,
}

impl Worker {
    pub(super) fn placement(&self) -> Placement {
        Placement {
            worker: self.id.clone(),
            incarnation: self.current.number,
        }
    }

    pub(super) fn add_run(&mut self, key: TaskKey, run: Run) {
        self.remove_run(&key);
        self.reserved = self
            .reserved
            .checked_add(&run.reservation)
            .unwrap_or(self.reserved);
        if run.best_effort {
            self.best_effort_cpu = self.best_effort_cpu.saturating_add(run.cpu);
        }
        if run.target.is_some() {
            self.serving_runs += 1;
        }
        self.suspects += u32::from(run.crashes > 0);
        if run.in_trial {
            self.current.trial_until = run.started_at + TRIAL_PERIOD;
        }
        self.expected_cpu += run.expected_cpu();
        self.margins = None;
        self.runs.insert(key, run);
    }

    pub(super) fn remove_run(&mut self, key: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.reserved = self.reserved.saturating_sub(&run.reservation);
        if run.best_effort {
            self.best_effort_cpu = self.best_effort_cpu.saturating_sub(run.cpu);
        }
        if run.target.is_some() {
            self.serving_runs = self.serving_runs.saturating_sub(1);
        }
        self.suspects = self.suspects.saturating_sub(u32::from(run.crashes > 0));
        if run.in_trial {
            self.current.trial_until = Millis::ZERO;
        }
        self.expected_cpu = self.expected_cpu.saturating_sub(run.expected_cpu());
        self.margins = None;
        Some(run)
    }

    /// Clears a run of the suspicion of crashing workers.
    pub(super) fn clear_suspect(&mut self, key: &TaskKey) {
        if let Some(run) = self.runs.get_mut(key)
            && run.crashes > 0
        {
            run.crashes = 0;
            self.suspects = self.suspects.saturating_sub(1);
        }
    }

    /// Returns the acknowledgement that the next poll carries; 0 for none.
    ///
    /// Each incarnation numbers its completions from 1, and a worker cannot tell for which one an
    /// acknowledgement is meant. It is sent until a poll with it is answered, and only while no
    /// other incarnation can have completions that nobody has read: not after a silence, and not
    /// beside a start of which the executor is not known.
    pub(super) fn due_acknowledgement(&self) -> u64 {
        let may_be_another = self.current.missed_polls > 0 || self.has_unanswered_start();
        if may_be_another || !self.current.owes_acknowledgement() {
            return 0;
        }
        self.current.acknowledged
    }

    /// Returns whether a start is unanswered, or the stop that followed it.
    pub(super) fn has_unanswered_start(&self) -> bool {
        self.runs
            .values()
            .any(|run| run.call_in_flight && !run.was_seen)
    }

    /// Returns whether the worker is registered and not draining.
    pub(super) fn accepts_work(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| !entry.draining)
    }

    /// Returns whether the worker can be given runs now, apart from its free resources.
    pub(super) fn takes_runs(&self, now: Millis) -> bool {
        let current = &self.current;
        let is_known = current.is_fenced()
            && !self.entry_is_old
            && !current.is_declared
            && current.missed_polls == 0;
        let entry = self.entry.as_ref();
        is_known
            && !self.has_trial(now)
            && !current.health.is_cooling_down(now)
            && entry
                .is_some_and(|entry| !entry.draining && entry.incarnation == self.current.number)
    }

    /// Returns whether the worker belongs to a service.
    pub(super) fn belongs_to(&self, service: &str) -> bool {
        self.entry
            .as_ref()
            .is_some_and(|entry| entry.service == service)
    }

    /// Returns the resources that the worker offers at present; they may be less than its runs
    /// reserve.
    pub(super) fn capacity(&self) -> Resources {
        self.entry
            .as_ref()
            .map(|entry| entry.capacity)
            .unwrap_or_default()
    }

    /// Returns the resources that no run reserves.
    pub(super) fn free(&self) -> Resources {
        self.capacity().saturating_sub(&self.reserved)
    }

    /// Returns whether the worker stays within its capacity with one more reservation, once the
    /// runs that hold `released` have ended.
    pub(super) fn has_room_for(&self, reservation: &Resources, released: &Resources) -> bool {
        self.reserved
            .saturating_sub(released)
            .checked_add(reservation)
            .is_some_and(|sum| sum.fits(&self.capacity()))
    }

    /// Returns whether a start of this run leaves the worker within its capacity. Other runs whose
    /// start has not been sent do not count; they are checked when it is.
    pub(super) fn has_room_to_start(&self, key: &TaskKey) -> bool {
        let unsent = self
            .runs
            .iter()
            .filter(|(other, run)| *other != key && matches!(run.state, RunState::Planned { .. }));
        let unsent = unsent.fold(Resources::default(), |sum, (_, run)| {
            sum.checked_add(&run.reservation).unwrap_or(sum)
        });
        self.has_room_for(&Resources::default(), &unsent)
    }

    /// Returns the rack, which is the second label; the first is the kind of the worker.
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
