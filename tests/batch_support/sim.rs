//! Simulation of job owners, rack owners and workers in virtual time, with faults as operations.

use std::collections::BTreeMap;

use sapphirecroft::batch::{DueStoreCall, JobOwner, ShardOp, StoreResult, shard_of_key};
use sapphirecroft::bundle::BundleInForce;
use sapphirecroft::membership::Ownership;
use sapphirecroft::placement::{Fleet, RackOwner};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{AgentCommand, CasOutcome, Expected};
use sapphirecroft::schema::batch::{JobFilter, JobPhase, JobSpec};
use sapphirecroft::schema::vm::VmRecord;
use sapphirecroft::schema::worker::{AgentReply, WorkerState};
use sapphirecroft::standin::{Checkpoints, Kv, Worker};

use super::network::{Message, Network};
use super::oracle::{Oracle, Verdict, read_shard};
use super::view::{USED_SHARDS, View};
use super::{bundle, id, job, worker};

const WORKERS: usize = 5;
const MEMBERS: usize = 3;
const ROUND_INTERVAL: Millis = Millis(500);
const STORE_TIMEOUT: Millis = Millis(500);
const AGENT_TIMEOUT: Millis = Millis(2000);
/// Time for which the VM list still shows a killed worker.
const VM_LIST_LAG: Millis = Millis(8000);
/// Maximum virtual time after the last fault until every job has ended or is parked.
const HEAL_LIMIT: Millis = Millis(400_000);

/// An operation of a sequence. Times are in milliseconds, indices wrap around.
#[derive(Clone, Debug)]
pub enum Op {
    Wait(u64),
    Submit {
        tasks: u32,
        cores: u64,
        run_time: u64,
        checkpoint: bool,
    },
    Cancel(usize),
    Evict(usize),
    LoseAnswers(u64),
    StoreDown(u64),
    KillMember(usize),
    KillTwo(usize),
    PauseMember(usize, u64),
    Join,
    Partition(usize, u64),
    KillWorker(usize),
    RestartWorker(usize),
    FailAll(usize, bool),
    IgnoreStop(usize, u64),
    NetworkFaults(u64),
}

/// A simulated entry process with its job owner and rack owner.
struct Member {
    name: MemberId,
    view: Arc<View>,
    jobs: JobOwner,
    racks: RackOwner,
    alive: bool,
    paused_until: Millis,
    next_round: Millis,
    fleet_due: Millis,
}

/// A simulated worker VM with a clock of its own rate.
struct Machine {
    vm: VmRecord,
    worker: Worker,
    rate_permille: u64,
    alive: bool,
    partitioned_until: Millis,
    died_at: Millis,
    seen_events: usize,
}

/// A submission or cancellation whose outcome is outstanding.
struct PendingCall {
    member: usize,
    shard: u32,
    rollbacks: u64,
    job: JobId,
    key: String,
    cancel: bool,
}

/// The simulated site: members, workers, store and network in virtual time.
pub struct Sim {
    now: Millis,
    kv: Kv,
    net: Network,
    members: Vec<Member>,
    machines: Vec<Machine>,
    bundle: Arc<BundleInForce>,
    oracle: Oracle,
    pending_calls: Vec<PendingCall>,
    epoch: Epoch,
    record: Vec<MemberId>,
    down_until: Millis,
    lose_answers: u64,
    submitted: u64,
}

impl Sim {
    pub fn new(seed: u64) -> Self {
        let checkpoints = Checkpoints::default();
        let machines = (0..WORKERS)
            .map(|n| {
                let vm = worker(n);
                Machine {
                    worker: Worker::new(vm.vm.clone(), vm.capacity, checkpoints.clone()),
                    vm,
                    rate_permille: 960 + 20 * u64::try_from(n).expect("small"),
                    alive: true,
                    partitioned_until: Millis::ZERO,
                    died_at: Millis::ZERO,
                    seen_events: 0,
                }
            })
            .collect();
        let mut sim = Self {
            now: Millis(1000),
            kv: Kv::default(),
            net: Network::new(seed),
            members: Vec::new(),
            machines,
            bundle: Arc::new(bundle()),
            oracle: Oracle::default(),
            pending_calls: Vec::new(),
            epoch: Epoch(0),
            record: Vec::new(),
            down_until: Millis::ZERO,
            lose_answers: 0,
            submitted: 0,
        };
        for _ in 0..MEMBERS {
            sim.join();
        }
        sim
    }

    /// Applies one operation.
    pub fn apply(&mut self, op: &Op) -> Verdict {
        match *op {
            Op::Wait(ms) => return self.run_until(self.now + Millis(ms)),
            Op::Submit {
                tasks,
                cores,
                run_time,
                checkpoint,
            } => {
                self.submit(tasks, cores, run_time, checkpoint);
            }
            Op::Cancel(n) => self.cancel(n),
            Op::Evict(n) => self.evict(n),
            Op::LoseAnswers(n) => self.lose_answers = n,
            Op::StoreDown(ms) => self.down_until = self.now + Millis(ms),
            Op::KillMember(n) => self.kill_member(n),
            Op::KillTwo(n) => {
                self.kill_member(n);
                self.kill_member(n + 1);
            }
            Op::PauseMember(n, ms) => self.pause_member(n, Millis(ms)),
            Op::Join => self.join(),
            Op::Partition(n, ms) => {
                let until = self.now + Millis(ms);
                self.machine(n).partitioned_until = until;
            }
            Op::KillWorker(n) => {
                let now = self.now;
                let alive = self.machines.iter().filter(|m| m.alive).count();
                let machine = self.machine(n);
                if alive > 2 && machine.alive {
                    machine.worker.advance(machine.clock(now));
                    machine.alive = false;
                    machine.died_at = now;
                }
            }
            Op::RestartWorker(n) => {
                let now = self.now;
                let machine = self.machine(n);
                machine.worker.restart(machine.clock(now));
            }
            Op::FailAll(n, fail) => self.machine(n).worker.faults.set_fail_all(fail),
            Op::IgnoreStop(n, ms) => self.machine(n).worker.faults.set_ignore_stop_ms(ms),
            Op::NetworkFaults(permille) => self.net.fault_permille = permille,
        }
        Ok(())
    }

    /// Ends all faults and runs until every job has ended or is parked.
    pub fn settle(&mut self) -> Verdict {
        self.net.fault_permille = 0;
        self.lose_answers = 0;
        self.down_until = self.now;
        for machine in &mut self.machines {
            machine.partitioned_until = Millis::ZERO;
            machine.worker.faults.set_fail_all(false);
            machine.worker.faults.set_ignore_stop_ms(0);
        }
        if !self
            .members
            .iter()
            .any(|m| m.alive && m.paused_until <= self.now)
        {
            self.join();
        }
        let limit = self.now + HEAL_LIMIT;
        while self.now < limit {
            self.run_until(self.now + Millis(2000))?;
            let member_free = self
                .record
                .iter()
                .all(|name| self.members.iter().any(|m| m.name == *name && m.alive));
            if member_free && self.is_settled() {
                return Ok(());
            }
        }
        Err(format!("not settled: {}", self.unsettled()))
    }

    fn is_settled(&self) -> bool {
        let jobs_end = USED_SHARDS.iter().all(|shard| {
            read_shard(&self.kv, *shard).jobs.iter().all(|job| {
                matches!(
                    job.phase,
                    JobPhase::Done | JobPhase::Cancelled | JobPhase::Parked
                )
            })
        });
        let idle = |m: &Machine| !m.alive || m.worker.state().tasks.is_empty();
        // Callers of processes that died or were removed get no response.
        let answered = self.pending_calls.iter().all(|call| {
            let member = &self.members[call.member];
            !member.alive || !member.view.is_active()
        });
        jobs_end && answered && self.machines.iter().all(idle)
    }

    fn unsettled(&self) -> String {
        let mut out = format!("waiting {}; ", self.pending_calls.len());
        for shard in USED_SHARDS {
            for job in read_shard(&self.kv, shard).jobs {
                out += &format!("{} {} {:?}; ", job.id, job.phase, job.tasks);
            }
        }
        for machine in &self.machines {
            let state = machine.worker.state();
            out += &format!("{} {} {:?}; ", state.vm, machine.alive, state.tasks);
        }
        out
    }

    fn machine(&mut self, n: usize) -> &mut Machine {
        let n = n % self.machines.len();
        &mut self.machines[n]
    }

    // Members.

    fn join(&mut self) {
        if self.record.len() >= 5 || self.now < self.down_until {
            return;
        }
        let n = self.members.len();
        let name: MemberId = id(&format!("m{n}"));
        self.record.push(name.clone());
        self.epoch = Epoch(self.epoch.0 + 1);
        let view = View::new(name.clone(), self.epoch, self.record.clone());
        self.members.push(Member {
            jobs: JobOwner::new(id("r1"), view.clone()),
            racks: RackOwner::new(view.clone(), 7),
            name,
            view,
            alive: true,
            paused_until: Millis::ZERO,
            next_round: self.now,
            fleet_due: Millis::ZERO,
        });
        self.announce();
    }

    fn announce(&mut self) {
        for member in 0..self.members.len() {
            let late = Millis(self.net.roll(1500));
            let message = Message::Adopt {
                member,
                epoch: self.epoch,
                members: self.record.clone(),
            };
            self.net.at(self.now + late, message);
        }
    }

    fn kill_member(&mut self, n: usize) {
        let n = n % self.members.len();
        if !std::mem::replace(&mut self.members[n].alive, false) {
            return;
        }
        let member = self.members[n].name.clone();
        let detected = Millis(4000 + self.net.roll(1500));
        self.net.at(self.now + detected, Message::Remove { member });
    }

    fn pause_member(&mut self, n: usize, span: Millis) {
        let n = n % self.members.len();
        let until = self.now + span;
        let member = &mut self.members[n];
        member.paused_until = member.paused_until.max(until);
        if span >= Millis(3500) {
            let member = member.name.clone();
            let detected = Millis(4000 + self.net.roll(1500));
            self.net.at(self.now + detected, Message::Remove { member });
            // A process that resumes after its store lease expired never acts again.
            let mut state = self.members[n].view.state.lock().expect("not poisoned");
            state.active = false;
        }
    }

    fn remove(&mut self, member: MemberId) {
        if self.now < self.down_until {
            let later = self.down_until + Millis(500);
            return self.net.at(later, Message::Remove { member });
        }
        let before = self.record.len();
        self.record.retain(|held| *held != member);
        if self.record.len() != before {
            self.epoch = Epoch(self.epoch.0 + 1);
            self.announce();
        }
        if self.record.is_empty() {
            self.join();
        }
    }

    fn index_of(&self, name: &MemberId) -> Option<usize> {
        self.members.iter().position(|m| m.name == *name)
    }

    fn can_run(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.alive && member.paused_until <= self.now
    }

    // Operators.

    fn submit(&mut self, tasks: u32, cores: u64, run_time: u64, checkpoint: bool) {
        self.submitted += 1;
        let number = self.submitted;
        let key = (0..)
            .map(|n| format!("k{number}-{n}"))
            .find(|key| USED_SHARDS.contains(&shard_of_key(&id("red"), key)))
            .expect("some key fits");
        let mut spec: JobSpec = job(&key, tasks, Resources::new(cores * 1000, 1000, 0), run_time);
        spec.can_checkpoint = checkpoint;
        let shard = shard_of_key(&spec.team, &spec.key);
        let now = self.now;
        for member in 0..self.members.len() {
            if !self.can_run(member) {
                continue;
            }
            let jobs = &mut self.members[member].jobs;
            let rollbacks = jobs.rollbacks(shard);
            if let Ok(job) = jobs.submit(spec.clone(), now) {
                self.pending_calls.push(PendingCall {
                    member,
                    shard,
                    rollbacks,
                    job,
                    key,
                    cancel: false,
                });
                return;
            }
        }
        self.oracle.refused_keys.insert(key);
    }

    fn cancel(&mut self, n: usize) {
        let Some(job) = self.oracle.acknowledged.iter().nth(n % 7).cloned() else {
            return;
        };
        let shard = sapphirecroft::batch::shard_of_job(&job).expect("job has a shard");
        let filter = JobFilter {
            job: Some(job.clone()),
            team: None,
            labels: BTreeMap::new(),
        };
        for member in 0..self.members.len() {
            if !self.can_run(member) {
                continue;
            }
            let jobs = &mut self.members[member].jobs;
            let rollbacks = jobs.rollbacks(shard);
            if jobs
                .cancel(shard, &filter)
                .is_ok_and(|found| !found.is_empty())
            {
                let key = String::new();
                self.pending_calls.push(PendingCall {
                    member,
                    shard,
                    rollbacks,
                    job,
                    key,
                    cancel: true,
                });
                return;
            }
        }
    }

    fn evict(&mut self, n: usize) {
        let now = self.now;
        let running: Vec<(VmId, TaskId)> = self
            .machines
            .iter()
            .flat_map(|m| {
                let vm = m.vm.vm.clone();
                m.worker
                    .state()
                    .tasks
                    .into_iter()
                    .map(move |t| (vm.clone(), t.task))
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let (vm, task) = running[n % running.len()].clone();
        for member in 0..self.members.len() {
            if self.can_run(member) && self.members[member].view.is_active() {
                self.members[member].racks.evict(&vm, &task, now);
            }
        }
    }

    /// Resolves operator calls whose change became durable or was definitely dropped.
    fn resolve_operator_calls(&mut self, member: usize) {
        let jobs = &self.members[member].jobs;
        let oracle = &mut self.oracle;
        self.pending_calls.retain(|call| {
            if call.member != member {
                return true;
            }
            if !jobs.owns(call.shard) {
                return false;
            }
            if !jobs.may_act_on(call.shard) {
                return true;
            }
            let held = jobs.durable_job(&call.job);
            if call.cancel {
                let cancelling = held.is_some_and(|job| {
                    matches!(job.phase, JobPhase::Cancelling | JobPhase::Cancelled)
                });
                if cancelling {
                    oracle.cancelled.insert(call.job.clone());
                }
                return !cancelling && jobs.rollbacks(call.shard) == call.rollbacks;
            }
            if held.is_some_and(|job| job.spec.key == call.key) {
                oracle.acknowledged.insert(call.job.clone());
                return false;
            }
            if jobs.rollbacks(call.shard) != call.rollbacks {
                oracle.refused_keys.insert(call.key.clone());
                return false;
            }
            true
        });
    }

    // Time.

    fn run_until(&mut self, until: Millis) -> Verdict {
        loop {
            let round = (0..self.members.len())
                .filter(|m| self.members[*m].alive)
                .map(|m| self.members[m].next_round.max(self.members[m].paused_until))
                .min()
                .unwrap_or(Millis(u64::MAX));
            if let Some((at, message)) = self.net.next(round.min(until)) {
                self.now = self.now.max(at);
                self.deliver(message)?;
                continue;
            }
            if round > until {
                self.now = until;
                return Ok(());
            }
            self.now = self.now.max(round);
            for member in 0..self.members.len() {
                if self.can_run(member) && self.members[member].next_round <= self.now {
                    self.round(member)?;
                }
            }
        }
    }

    fn fleet(&self) -> Fleet {
        let now = self.now;
        let shown: Vec<VmRecord> = self
            .machines
            .iter()
            .filter(|m| m.alive || now.since(m.died_at) < VM_LIST_LAG)
            .map(|m| m.vm.clone())
            .collect();
        Fleet::new(&id("r1"), &shown)
    }

    fn round(&mut self, n: usize) -> Verdict {
        let now = self.now;
        let fleet = (now >= self.members[n].fleet_due).then(|| self.fleet());
        let member = &mut self.members[n];
        member.next_round = now + ROUND_INTERVAL;
        member.jobs.adopt_epoch();
        member.racks.adopt_epoch(now);
        if let Some(fleet) = fleet {
            member.fleet_due = now + Millis(1000);
            member
                .racks
                .set_fleet_and_bundle(&fleet, Some(self.bundle.clone()), now);
            member
                .jobs
                .set_fleet_and_bundle(Arc::new(fleet), Some(self.bundle.clone()));
        }
        member.jobs.update_jobs(now);
        let steps = member.jobs.due_store_calls(now);
        let calls = member.jobs.due_rack_calls(now);
        let work = member.racks.due_commands(now);
        let reports = member.racks.due_reports(now);
        for work in steps {
            self.send_store_call(n, work);
        }
        for (to, call) in calls {
            self.net.send(now, Message::Exchange { from: n, to, call });
        }
        for work in work {
            let (worker, number) = (work.worker.clone(), work.number);
            self.net.send(now, Message::Command { member: n, work });
            let timeout = Message::CommandDone {
                member: n,
                worker,
                number,
                reply: None,
            };
            self.net.at(now + AGENT_TIMEOUT, timeout);
        }
        for (to, report) in reports {
            self.net.send(now, Message::Report { to, report });
        }
        self.resolve_operator_calls(n);
        self.check_capacity(n)
    }

    fn wake(&mut self, member: usize) {
        let soon = self.now + Millis(100);
        let member = &mut self.members[member];
        member.next_round = member.next_round.min(soon);
    }

    // Messages.

    fn deliver(&mut self, message: Message) -> Verdict {
        let to = match &message {
            Message::StoreDone { member, .. }
            | Message::CommandDone { member, .. }
            | Message::Adopt { member, .. } => Some(*member),
            Message::Response { to, .. } => Some(*to),
            Message::Exchange { to, .. } | Message::Report { to, .. } => self.index_of(to),
            _ => None,
        };
        if let Some(member) = to {
            if !self.members[member].alive {
                return Ok(());
            }
            if !self.can_run(member) {
                let resumed = self.members[member].paused_until;
                self.net.at(resumed, message);
                return Ok(());
            }
            self.wake(member);
        }
        let now = self.now;
        match message {
            Message::StoreCall { member, work } => return self.handle_store_call(member, work),
            Message::StoreDone {
                member,
                number,
                shard,
                result,
            } => {
                self.members[member]
                    .jobs
                    .handle_store_result(shard, number, result, now);
            }
            Message::Command { member, work } => {
                if let Some(reply) = self.command(&work.worker, work.command)? {
                    let (worker, number) = (work.worker, work.number);
                    let done = Message::CommandDone {
                        member,
                        worker,
                        number,
                        reply: Some(reply),
                    };
                    self.net.send(now, done);
                }
            }
            Message::CommandDone {
                member,
                worker,
                number,
                reply,
            } => {
                let racks = &mut self.members[member].racks;
                racks.handle_agent_response(&worker, number, reply, now);
            }
            Message::Exchange { from, to, call } => {
                if let Some(n) = self.index_of(&to) {
                    let answer = self.members[n].racks.handle(&call, now);
                    self.net.send(
                        now,
                        Message::Response {
                            to: from,
                            call,
                            answer,
                        },
                    );
                }
            }
            Message::Response { to, call, answer } => {
                self.members[to]
                    .jobs
                    .handle_rack_response(answer, &call, now);
            }
            Message::Report { to, report } => {
                if let Some(n) = self.index_of(&to) {
                    self.members[n].jobs.handle_report(report, now);
                }
            }
            Message::Adopt {
                member,
                epoch,
                members,
            } => {
                let view = &self.members[member].view;
                view.state
                    .lock()
                    .expect("not poisoned")
                    .adopt(epoch, members);
            }
            Message::Remove { member } => self.remove(member),
        }
        Ok(())
    }

    fn send_store_call(&mut self, member: usize, work: DueStoreCall) {
        let (shard, number) = (work.shard, work.number);
        let result = StoreResult::Unknown;
        let timeout = Message::StoreDone {
            member,
            number,
            shard,
            result,
        };
        self.net.at(self.now + STORE_TIMEOUT, timeout);
        self.net.send(self.now, Message::StoreCall { member, work });
    }

    fn handle_store_call(&mut self, member: usize, work: DueStoreCall) -> Verdict {
        let (shard, number, key) = (work.shard, work.number, work.key.as_str());
        let mut lost = false;
        let result = if self.now < self.down_until {
            StoreResult::NotApplied
        } else {
            match work.step {
                ShardOp::Read => StoreResult::Found(self.kv.get(key)),
                ShardOp::Write { expected, value } => {
                    let result = self.write(key, expected, value);
                    if matches!(result, StoreResult::Written(_)) {
                        self.oracle.record_written(&self.kv, shard)?;
                    }
                    lost = self.lose_answers > 0;
                    self.lose_answers = self.lose_answers.saturating_sub(1);
                    result
                }
            }
        };
        if !lost {
            self.net.send(
                self.now,
                Message::StoreDone {
                    member,
                    number,
                    shard,
                    result,
                },
            );
        }
        Ok(())
    }

    fn write(&mut self, key: &str, expected: Expected, value: Vec<u8>) -> StoreResult {
        match self.kv.cas(key, expected, Some(value), None) {
            Ok(CasOutcome::Written(revision)) => StoreResult::Written(revision),
            Ok(CasOutcome::Conflict(found)) => StoreResult::Found(found),
            Err(_) => StoreResult::Unknown,
        }
    }

    fn command(&mut self, vm: &VmId, command: AgentCommand) -> Result<Option<AgentReply>, String> {
        let now = self.now;
        let at = self.machines.iter().position(|m| m.vm.vm == *vm);
        let at = at.expect("worker exists");
        if !self.machines[at].alive || now < self.machines[at].partitioned_until {
            return Ok(None);
        }
        self.machines[at].advance(now);
        self.machines[at].seen_events = self.machines[at].worker.events().len();
        let state = self.machines[at].worker.state();
        if state.epoch <= command_epoch(&command) {
            self.oracle.acknowledging(&self.kv, &command, &state)?;
        }
        let clock = self.machines[at].clock(now);
        let reply = self.machines[at].worker.command(command.clone(), clock);
        if matches!(reply, AgentReply::Done(_))
            && let AgentCommand::Start(start) = &command
        {
            let states = self.states();
            let from = start.resume_from.as_ref();
            let (task, attempt) = (&start.task, start.attempt);
            self.oracle
                .started(&self.kv, vm, task, attempt, from, &states)?;
        }
        Ok(Some(reply))
    }

    fn states(&mut self) -> Vec<WorkerState> {
        let now = self.now;
        self.machines
            .iter_mut()
            .filter(|machine| machine.alive)
            .map(|machine| {
                machine.advance(now);
                machine.worker.state()
            })
            .collect()
    }

    fn check_capacity(&mut self, member: usize) -> Verdict {
        let now = self.now;
        let racks = &self.members[member].racks;
        for machine in self.machines.iter_mut().filter(|machine| machine.alive) {
            let reservations = racks.reservations(&machine.vm.vm);
            if reservations.is_empty() {
                continue;
            }
            machine.advance(now);
            let state = machine.worker.state();
            if state.epoch == racks.epoch() {
                self.oracle
                    .capacity(&state, machine.vm.capacity, reservations)?;
            }
        }
        Ok(())
    }
}

impl Machine {
    /// Returns the reading of the worker's clock, which runs at its own rate.
    fn clock(&self, now: Millis) -> Millis {
        Millis(now.0 * self.rate_permille / 1000 + 5_000)
    }

    fn advance(&mut self, now: Millis) {
        let clock = self.clock(now);
        self.worker.advance(clock);
    }
}

fn command_epoch(command: &AgentCommand) -> Epoch {
    match command {
        AgentCommand::Acknowledge(ack) => ack.epoch,
        _ => Epoch(0),
    }
}
