//! A worker whose tasks slow each other and its service by known factors.
//!
//! Slowdown grows with the load of its cause and with that of the whole worker, which the linear
//! estimates of the rack owner have to approximate.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::worker::{
    AgentRefusal, AgentReply, StartTask, TaskPhase, TaskReport, WorkerState,
};

/// Number of kinds of task.
pub const KINDS: usize = 6;

/// Slowdown of the service per unit of load, by kind.
const ON_SERVICE: [f64; KINDS] = [0.05, 0.1, 0.2, 0.4, 4.0, 6.0];

/// Slowdown of a task (row) per unit of load of another (column).
const ON_TASKS: [[f64; KINDS]; KINDS] = [
    [0.10, 0.05, 0.10, 0.20, 0.30, 0.20],
    [0.05, 0.10, 0.10, 0.20, 0.30, 0.20],
    [0.10, 0.10, 0.90, 0.30, 0.80, 0.30],
    [0.10, 0.10, 0.30, 1.20, 0.60, 0.30],
    [0.20, 0.20, 0.80, 0.60, 2.00, 0.90],
    [0.10, 0.10, 0.30, 0.30, 0.90, 1.50],
];

/// Age of the measurements in reports.
pub const LAG: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Task {
    start: StartTask,
    kind: usize,
    left_ms: f64,
    share: f64,
    phase: TaskPhase,
    history: VecDeque<(Millis, f64)>,
}

/// A worker of the model.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    vm: VmId,
    capacity: Resources,
    epoch: Epoch,
    tasks: Vec<Task>,
    clock: Millis,
    /// Commands that limited a task.
    pub throttles: u32,
}

impl ModelWorker {
    /// Creates an idle worker.
    pub fn new(vm: VmId, capacity: Resources) -> Self {
        Self {
            vm,
            capacity,
            epoch: Epoch(0),
            tasks: Vec::new(),
            clock: Millis::ZERO,
            throttles: 0,
        }
    }

    /// Moves tasks on by one step.
    pub fn advance(&mut self, now: Millis) {
        let span = now.since(self.clock).0 as f64;
        self.clock = now;
        let loads = self.loads();
        let pressure = pressure(&loads);
        for task in &mut self.tasks {
            if task.phase != TaskPhase::Running {
                continue;
            }
            let own = cpu_part(&task.start.resources, &self.capacity) * task.share;
            let slowdown: f64 = (0..KINDS)
                .map(|other| {
                    let load = if other == task.kind {
                        loads[other] - own
                    } else {
                        loads[other]
                    };
                    ON_TASKS[task.kind][other] * load.max(0.0)
                })
                .sum();
            let slowdown = slowdown * pressure;
            task.history.push_back((now, slowdown));
            while task.history.len() > 1
                && task
                    .history
                    .get(1)
                    .is_some_and(|(at, _)| now.since(*at) >= LAG)
            {
                task.history.pop_front();
            }
            task.left_ms -= span * task.share / (1.0 + slowdown);
            if task.left_ms <= 0.0 {
                task.phase = TaskPhase::Finished;
            }
        }
    }

    /// Returns the slowdown of the service now.
    pub fn service_slowdown(&self) -> f64 {
        let loads = self.loads();
        let sum: f64 = (0..KINDS).map(|kind| ON_SERVICE[kind] * loads[kind]).sum();
        sum * pressure(&loads)
    }

    fn loads(&self) -> [f64; KINDS] {
        let mut loads = [0.0; KINDS];
        for task in self.tasks.iter().filter(|t| t.phase == TaskPhase::Running) {
            loads[task.kind] += cpu_part(&task.start.resources, &self.capacity) * task.share;
        }
        loads
    }

    /// Returns what running tasks have reserved.
    pub fn used(&self) -> Resources {
        self.tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Running)
            .fold(Resources::default(), |sum, task| {
                sum.checked_add(&task.start.resources).unwrap_or(sum)
            })
    }

    /// Starts a task with part of its work left.
    pub fn start(&mut self, start: StartTask, kind: usize, left_ms: f64) {
        self.tasks.push(Task {
            start,
            kind,
            left_ms,
            share: 1.0,
            phase: TaskPhase::Running,
            history: VecDeque::new(),
        });
    }

    /// Takes tasks that have finished.
    pub fn take_finished(&mut self) -> Vec<TaskId> {
        let ended = |task: &&Task| task.phase != TaskPhase::Running;
        let out = self.tasks.iter().filter(ended);
        let out = out.map(|task| task.start.task.clone()).collect();
        self.tasks.retain(|task| task.phase == TaskPhase::Running);
        out
    }

    /// Returns the work that is left of a task.
    pub fn left_of(&self, task: &TaskId) -> Option<f64> {
        let held = self.tasks.iter().find(|held| held.start.task == *task)?;
        Some(held.left_ms)
    }

    /// Answers a command of a rack owner; starts take their work left from `left_of`.
    pub fn command(
        &mut self,
        command: AgentCommand,
        left_of: impl Fn(&TaskId) -> (usize, f64),
    ) -> AgentReply {
        match command {
            AgentCommand::Claim(claim) => self.epoch = claim.epoch,
            AgentCommand::Start(start) => {
                let used = self.used().checked_add(&start.resources);
                if !used.is_some_and(|used| used.fits(&self.capacity)) {
                    return AgentReply::Refused(AgentRefusal::NoCapacity);
                }
                let (kind, left) = left_of(&start.task);
                self.start(start, kind, left);
            }
            AgentCommand::Stop(stop) => {
                for task in self.tasks.iter_mut().filter(|t| t.start.task == stop.task) {
                    if task.phase == TaskPhase::Running {
                        task.phase = TaskPhase::Stopped;
                    }
                }
            }
            AgentCommand::Throttle(throttle) => {
                let share = f64::from(throttle.share.0) / 1000.0;
                self.throttles += u32::from(share < 1.0);
                for task in self
                    .tasks
                    .iter_mut()
                    .filter(|t| t.start.task == throttle.task)
                {
                    task.share = share;
                }
            }
            AgentCommand::Acknowledge(ack) => self.tasks.retain(|task| {
                let listed = ack.tasks.iter().any(|t| t.task == task.start.task);
                !listed || task.phase == TaskPhase::Running
            }),
            AgentCommand::Renew(_) | AgentCommand::Read => {}
        }
        AgentReply::Done(self.state())
    }

    fn state(&self) -> WorkerState {
        WorkerState {
            vm: self.vm.clone(),
            epoch: self.epoch,
            capacity: self.capacity,
            clock: self.clock,
            tasks: self.tasks.iter().map(|task| self.report(task)).collect(),
        }
    }

    fn report(&self, task: &Task) -> TaskReport {
        let (at, slowdown) = task.history.front().copied().unwrap_or((self.clock, 0.0));
        TaskReport {
            task: task.start.task.clone(),
            attempt: task.start.attempt,
            phase: task.phase,
            resources: task.start.resources,
            kind: task.start.kind.clone(),
            checkpoint: None,
            slowdown: Permille((slowdown * 1000.0) as u32 + 1000),
            measured_age: self.clock.since(at),
            used: task.start.resources,
        }
    }
}

/// Returns how much the load of the whole worker strengthens interference.
fn pressure(loads: &[f64; KINDS]) -> f64 {
    0.5 + loads.iter().sum::<f64>()
}

fn cpu_part(size: &Resources, capacity: &Resources) -> f64 {
    size.cpu.0 as f64 / capacity.cpu.0.max(1) as f64
}
