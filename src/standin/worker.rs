//! State of the worker agent stand-in, with time passed in.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use super::WorkerFaults;
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::worker::{
    AgentRefusal, AgentReply, StartTask, StopTask, TaskAttempt, TaskPhase, TaskReport, WorkerState,
};

/// Time that a task runs on a worker that fails everything.
const FAIL_AFTER: Millis = Millis(50);

/// Remaining run time by checkpoint; all workers of a site can read every checkpoint.
pub type Checkpoints = Arc<Mutex<BTreeMap<CheckpointId, Millis>>>;

/// Something that happened to a task, as an observer of the worker would record it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEvent {
    /// Time on the worker's clock.
    pub at: Millis,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The phase that was entered.
    pub phase: TaskPhase,
    /// Checkpoint that the attempt started from, or saved when it stopped.
    pub checkpoint: Option<CheckpointId>,
}

#[derive(Debug)]
struct Task {
    attempt: Attempt,
    phase: TaskPhase,
    start: StartTask,
    remaining: Millis,
    progress_at: Millis,
    lease_until: Millis,
    stop_at: Option<Millis>,
    save: bool,
    checkpoint: Option<CheckpointId>,
    share: Permille,
}

impl Task {
    fn holds_capacity(&self) -> bool {
        matches!(self.phase, TaskPhase::Running | TaskPhase::Stopping)
    }
}

/// A worker agent: it runs tasks under leases, fences epochs and attempts, and checks capacity.
pub struct Worker {
    vm: VmId,
    capacity: Resources,
    epoch: Epoch,
    clock: Millis,
    tasks: BTreeMap<TaskId, Task>,
    fenced: BTreeMap<TaskId, Attempt>,
    checkpoints: Checkpoints,
    events: Vec<WorkerEvent>,
    overcommits: u64,
    booted: Millis,
    /// Faults to show.
    pub faults: WorkerFaults,
}

impl Worker {
    /// Creates an idle worker.
    pub fn new(vm: VmId, capacity: Resources, checkpoints: Checkpoints) -> Self {
        Self {
            vm,
            capacity,
            epoch: Epoch(0),
            clock: Millis::ZERO,
            tasks: BTreeMap::new(),
            fenced: BTreeMap::new(),
            checkpoints,
            events: Vec::new(),
            overcommits: 0,
            booted: Millis::ZERO,
            faults: WorkerFaults::default(),
        }
    }

    /// Returns everything that happened so far.
    pub fn events(&self) -> &[WorkerEvent] {
        &self.events
    }

    /// Returns how many starts asked for more than the worker had left.
    pub fn overcommits(&self) -> u64 {
        self.overcommits
    }

    /// Returns the sum of what running tasks have reserved.
    pub fn reserved(&self) -> Resources {
        self.tasks
            .values()
            .filter(|task| task.holds_capacity())
            .fold(Resources::default(), |sum, task| {
                sum.checked_add(&task.start.resources).unwrap_or(sum)
            })
    }

    /// Returns the capacity that the worker has.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Carries out a command at `now` on the worker's clock.
    pub fn command(&mut self, command: AgentCommand, now: Millis) -> AgentReply {
        self.advance(now);
        let result = match command {
            AgentCommand::Claim(claim) => self.check_epoch(claim.epoch),
            AgentCommand::Start(start) => self.start(start),
            AgentCommand::Renew(renew) => self.check_epoch(renew.epoch).map(|()| {
                for listed in &renew.tasks {
                    self.renew(listed, renew.as_of + renew.lease);
                }
            }),
            AgentCommand::Stop(stop) => self.stop(&stop),
            AgentCommand::Throttle(throttle) => self.check_epoch(throttle.epoch).and_then(|()| {
                let task = self.find(&throttle.task, throttle.attempt)?;
                task.share = throttle.share;
                Ok(())
            }),
            AgentCommand::Acknowledge(ack) => self.check_epoch(ack.epoch).map(|()| {
                for listed in &ack.tasks {
                    self.forget(listed);
                }
            }),
            AgentCommand::Read => Ok(()),
        };
        match result {
            Ok(()) => AgentReply::Done(self.state()),
            Err(refusal) => AgentReply::Refused(refusal),
        }
    }

    /// Loses everything in memory, as when the VM restarts; the clock runs on.
    ///
    /// Fenced attempts are forgotten too, so starts that were prepared before are refused.
    pub fn restart(&mut self, now: Millis) {
        self.advance(now);
        self.epoch = Epoch(0);
        self.tasks.clear();
        self.fenced.clear();
        self.booted = self.clock;
    }

    /// Moves time on: progress, completions, failures, stops and lapsed leases.
    pub fn advance(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            self.advance_task(&id);
        }
    }

    /// Returns the state as a report.
    pub fn state(&self) -> WorkerState {
        WorkerState {
            vm: self.vm.clone(),
            epoch: self.epoch,
            clock: self.clock,
            capacity: self.capacity,
            tasks: self
                .tasks
                .iter()
                .map(|(id, task)| self.report(id, task))
                .collect(),
        }
    }

    fn report(&self, id: &TaskId, task: &Task) -> TaskReport {
        TaskReport {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            resources: task.start.resources,
            kind: task.start.kind.clone(),
            checkpoint: task.checkpoint.clone(),
            slowdown: Permille(1000),
            measured_age: Millis(self.faults.report_lag_ms()),
            used: task.start.resources,
        }
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), AgentRefusal> {
        if epoch < self.epoch {
            return Err(AgentRefusal::StaleEpoch);
        }
        self.epoch = epoch;
        Ok(())
    }

    fn find(&mut self, id: &TaskId, attempt: Attempt) -> Result<&mut Task, AgentRefusal> {
        self.tasks
            .get_mut(id)
            .filter(|task| task.attempt == attempt)
            .ok_or(AgentRefusal::UnknownTask)
    }

    fn start(&mut self, start: StartTask) -> Result<(), AgentRefusal> {
        self.check_epoch(start.epoch)?;
        if self
            .fenced
            .get(&start.task)
            .is_some_and(|fenced| start.attempt <= *fenced)
        {
            return Err(AgentRefusal::FencedAttempt);
        }
        if let Some(task) = self.tasks.get(&start.task) {
            let same = task.attempt == start.attempt;
            if same || task.holds_capacity() {
                return Err(AgentRefusal::AlreadyRunning);
            }
        }
        let lease_until = start.as_of + start.lease;
        if lease_until <= self.clock || start.as_of < self.booted {
            return Err(AgentRefusal::LeaseEnded);
        }
        let wanted = self.reserved().checked_add(&start.resources);
        if !wanted.is_some_and(|wanted| wanted.fits(&self.capacity)) {
            self.overcommits += 1;
            return Err(AgentRefusal::NoCapacity);
        }
        let remaining = start
            .resume_from
            .as_ref()
            .and_then(|id| self.checkpoints.lock().get(id).copied())
            .unwrap_or(start.run_time);
        let task = Task {
            attempt: start.attempt,
            phase: TaskPhase::Running,
            remaining,
            progress_at: self.clock,
            lease_until,
            stop_at: None,
            save: false,
            checkpoint: None,
            share: Permille(1000),
            start,
        };
        let (id, from) = (task.start.task.clone(), task.start.resume_from.clone());
        self.record(&id, task.attempt, TaskPhase::Running, from, self.clock);
        self.tasks.insert(id, task);
        Ok(())
    }

    fn renew(&mut self, listed: &TaskAttempt, until: Millis) {
        if let Ok(task) = self.find(&listed.task, listed.attempt) {
            task.lease_until = task.lease_until.max(until);
        }
    }

    fn stop(&mut self, stop: &StopTask) -> Result<(), AgentRefusal> {
        self.check_epoch(stop.epoch)?;
        let fenced = self.fenced.entry(stop.task.clone()).or_default();
        *fenced = (*fenced).max(stop.attempt);
        let ignore = Millis(self.faults.ignore_stop_ms());
        let clock = self.clock;
        if let Ok(task) = self.find(&stop.task, stop.attempt)
            && task.phase == TaskPhase::Running
        {
            task.phase = TaskPhase::Stopping;
            task.stop_at = Some(clock + ignore);
            task.save = stop.checkpoint;
        }
        self.advance_task(&stop.task);
        Ok(())
    }

    fn forget(&mut self, listed: &TaskAttempt) {
        let ended = self
            .tasks
            .get(&listed.task)
            .is_some_and(|task| task.attempt == listed.attempt && !task.holds_capacity());
        if ended {
            self.tasks.remove(&listed.task);
            let fenced = self.fenced.entry(listed.task.clone()).or_default();
            *fenced = (*fenced).max(listed.attempt);
        }
    }

    fn advance_task(&mut self, id: &TaskId) {
        let clock = self.clock;
        let fails = self.faults.fails_all();
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.holds_capacity()) else {
            return;
        };
        let until = clock.min(task.lease_until);
        let ran = until
            .since(task.progress_at)
            .scale_permille(u64::from(task.share.0));
        task.progress_at = task.progress_at.max(until);
        task.remaining = task.remaining - ran;
        let ran_total = task.start.run_time - task.remaining;
        let phase = if fails && ran_total >= FAIL_AFTER {
            TaskPhase::Failed
        } else if task.remaining == Millis::ZERO {
            TaskPhase::Finished
        } else if clock >= task.lease_until {
            TaskPhase::Lapsed
        } else if task.stop_at.is_some_and(|at| clock >= at) {
            TaskPhase::Stopped
        } else {
            return;
        };
        self.end(id, phase, until);
    }

    fn end(&mut self, id: &TaskId, phase: TaskPhase, at: Millis) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.phase = phase;
        let saves = match phase {
            TaskPhase::Stopped => task.save,
            TaskPhase::Lapsed => true,
            _ => false,
        };
        let attempt = task.attempt;
        if saves && task.start.can_checkpoint {
            let name = format!("{id}/{attempt}");
            task.checkpoint = CheckpointId::try_from(name).ok();
            let remaining = task.remaining;
            if let Some(checkpoint) = task.checkpoint.clone() {
                self.checkpoints.lock().insert(checkpoint, remaining);
            }
        }
        let checkpoint = task.checkpoint.clone();
        self.record(id, attempt, phase, checkpoint, at);
    }

    fn record(
        &mut self,
        id: &TaskId,
        attempt: Attempt,
        phase: TaskPhase,
        checkpoint: Option<CheckpointId>,
        at: Millis,
    ) {
        self.events.push(WorkerEvent {
            at,
            task: id.clone(),
            attempt,
            phase,
            checkpoint,
        });
    }
}
