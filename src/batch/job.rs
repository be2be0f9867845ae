//! State machine of a job and its tasks, on the durable records.

use crate::prelude::*;
use crate::schema::batch::{
    AttemptEnd, EndKind, IndexRange, JobPhase, JobRecord, JobSpec, JobView, Place, TaskRecord,
    TaskState,
};

impl TaskRecord {
    /// Returns the worker that the task is assigned to, if any.
    pub fn place(&self) -> Option<&Place> {
        match &self.state {
            TaskState::Assigned(place) => Some(place),
            TaskState::Pending | TaskState::Parked(_) => None,
        }
    }

    fn new(index: u32) -> Self {
        Self {
            index,
            attempt: Attempt(1),
            state: TaskState::Pending,
            failures: 0,
            checkpoint: None,
            failed_on: Vec::new(),
        }
    }

    fn retry(&mut self) {
        self.attempt = Attempt(self.attempt.0.saturating_add(1));
        self.state = TaskState::Pending;
    }

    /// Records a failure and retries or parks the task.
    ///
    /// A failure on a suspect worker does not count towards the maximum number of attempts.
    fn fail(&mut self, suspect: bool, max_attempts: u32) {
        let worker = self.place().map(|place| place.worker.clone());
        if let Some(worker) = worker.filter(|worker| !self.failed_on.contains(worker)) {
            self.failed_on.push(worker);
        }
        if !suspect {
            self.failures += 1;
        }
        if self.failures >= max_attempts {
            let reason = format!(
                "failed {} times, on {}",
                self.failures,
                join(&self.failed_on)
            );
            self.state = TaskState::Parked(reason);
        } else {
            self.retry();
        }
    }
}

impl JobRecord {
    /// Creates the record of a new job, with all tasks pending.
    pub fn new(id: JobId, spec: JobSpec, submitted: Millis) -> Self {
        Self {
            id,
            spec,
            submitted,
            phase: JobPhase::Open,
            reason: String::new(),
            ended: None,
            fresh: 0,
            done: Vec::new(),
            tasks: Vec::new(),
        }
    }

    /// Returns the record of a task that was assigned before and is not finished.
    pub fn task(&self, index: u32) -> Option<&TaskRecord> {
        let at = self.tasks.binary_search_by_key(&index, |t| t.index).ok()?;
        self.tasks.get(at)
    }

    fn task_mut(&mut self, index: u32) -> Option<&mut TaskRecord> {
        let at = self.tasks.binary_search_by_key(&index, |t| t.index).ok()?;
        self.tasks.get_mut(at)
    }

    /// Returns whether the job is done or cancelled.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Cancelled | JobPhase::Done)
    }

    /// Iterates over pending tasks with their next attempt. Tasks that have a record come first.
    pub fn pending(&self) -> impl Iterator<Item = (u32, Attempt)> + '_ {
        let recorded = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Pending)
            .map(|task| (task.index, task.attempt));
        recorded.chain((self.fresh..self.spec.tasks).map(|index| (index, Attempt(1))))
    }

    /// Returns the number of finished tasks.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|range| range.to - range.from).sum()
    }

    /// Returns whether a task is recorded as finished.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .iter()
            .any(|range| (range.from..range.to).contains(&index))
    }

    /// Assigns the pending attempt of a task. Returns whether it did.
    pub fn assign(&mut self, index: u32, attempt: Attempt, place: Place) -> bool {
        if self.phase != JobPhase::Open || index >= self.spec.tasks {
            return false;
        }
        if index >= self.fresh {
            self.tasks.extend((self.fresh..=index).map(TaskRecord::new));
            self.fresh = index + 1;
        }
        match self.task_mut(index) {
            Some(task) if task.state == TaskState::Pending && task.attempt == attempt => {
                task.state = TaskState::Assigned(place);
                true
            }
            _ => false,
        }
    }

    /// Records the proven end of the assigned attempt. Returns whether anything changed.
    ///
    /// A finished task is done, a failed one is retried or parked, and a task whose attempt ended
    /// in any other way is retried.
    pub fn end_attempt(
        &mut self,
        index: u32,
        attempt: Attempt,
        end: &AttemptEnd,
        max_attempts: u32,
    ) -> bool {
        let cancelling = self.phase == JobPhase::Cancelling;
        let Some(task) = self
            .task_mut(index)
            .filter(|task| task.attempt == attempt && task.place().is_some())
        else {
            return false;
        };
        if let Some(checkpoint) = &end.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        match end.kind {
            _ if cancelling => self.tasks.retain(|task| task.index != index),
            EndKind::Finished => {
                self.tasks.retain(|task| task.index != index);
                self.mark_done(index);
            }
            EndKind::Failed => task.fail(end.suspect, max_attempts),
            EndKind::Stopped | EndKind::Lapsed | EndKind::NeverStarted | EndKind::Gone => {
                task.retry();
            }
        }
        true
    }

    /// Starts the cancellation. Returns whether anything changed.
    pub fn cancel(&mut self) -> bool {
        if !matches!(self.phase, JobPhase::Open | JobPhase::Parked) {
            return false;
        }
        self.phase = JobPhase::Cancelling;
        self.reason.clear();
        self.fresh = self.spec.tasks;
        self.tasks.retain(|task| task.place().is_some());
        true
    }

    /// Parks a job that cannot run now, or reopens it. Returns whether anything changed.
    pub fn set_feasible(&mut self, infeasible_reason: Option<String>) -> bool {
        if self.pending().next().is_none() {
            return false;
        }
        match (self.phase, infeasible_reason) {
            (JobPhase::Open, Some(reason)) => {
                self.phase = JobPhase::Parked;
                self.reason = reason;
                true
            }
            (JobPhase::Parked, None) => {
                self.phase = JobPhase::Open;
                self.reason.clear();
                true
            }
            _ => false,
        }
    }

    /// Ends the job once all tasks are done or its cancellation is complete, and parks it if only
    /// parked tasks remain.
    pub fn end_if_settled(&mut self, now: Millis) {
        let assigned = self.tasks.iter().any(|task| task.place().is_some());
        if assigned || self.is_ended() {
            return;
        }
        if self.phase == JobPhase::Cancelling {
            self.phase = JobPhase::Cancelled;
            self.ended = Some(now);
        } else if self.done_count() == self.spec.tasks {
            self.phase = JobPhase::Done;
            self.reason.clear();
            self.ended = Some(now);
        } else if self.pending().next().is_none() {
            self.phase = JobPhase::Parked;
            let parked = self.spec.tasks - self.done_count();
            self.reason = format!("{parked} tasks reached their number of attempts");
        }
    }

    /// Returns the job as it is shown to operators.
    pub fn view(&self) -> JobView {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let ended = matches!(self.phase, JobPhase::Cancelling | JobPhase::Cancelled);
        let tracked = count(self.tasks.len());
        let mut reasons: Vec<String> = self.tasks.iter().filter_map(parked_reason).collect();
        let parked = count(reasons.len());
        reasons.sort();
        reasons.dedup();
        reasons.truncate(MAX_REASONS);
        JobView {
            id: self.id.clone(),
            spec: self.spec.clone(),
            submitted: self.submitted,
            phase: self.phase,
            reason: self.reason.clone(),
            pending: count(self.pending().count()),
            assigned: count(self.tasks.iter().filter(|t| t.place().is_some()).count()),
            done: self.done_count(),
            cancelled: if ended {
                self.spec.tasks - self.done_count() - tracked
            } else {
                0
            },
            parked,
            reasons,
        }
    }

    fn mark_done(&mut self, index: u32) {
        let at = self.done.partition_point(|range| range.to < index);
        match self.done.get_mut(at) {
            Some(range) if range.to == index => range.to += 1,
            Some(range) if range.from == index + 1 => range.from = index,
            _ => self.done.insert(
                at,
                IndexRange {
                    from: index,
                    to: index + 1,
                },
            ),
        }
        let merged_end = match (self.done.get(at), self.done.get(at + 1)) {
            (Some(left), Some(right)) if left.to == right.from => Some(right.to),
            _ => None,
        };
        if let Some(to) = merged_end {
            self.done.remove(at + 1);
            if let Some(range) = self.done.get_mut(at) {
                range.to = to;
            }
        }
    }
}

/// Maximum number of distinct reasons in a view.
const MAX_REASONS: usize = 10;

fn parked_reason(task: &TaskRecord) -> Option<String> {
    match &task.state {
        TaskState::Parked(reason) => Some(reason.clone()),
        TaskState::Pending | TaskState::Assigned(_) => None,
    }
}

fn join(workers: &[VmId]) -> String {
    let names: Vec<&str> = workers.iter().map(VmId::as_str).collect();
    names.join(", ")
}
