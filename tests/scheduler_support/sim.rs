//! Simulates workers, a store and leaders in virtual time; an oracle checks every start.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Command, JobSpec, JobView, PollPlan, RunCompletion, RunOutcome, RunStatus, Scheduler,
    SilentWorker, StartAnswer, StartCommand, StartResponse, TaskKey, WorkerReport,
};

use super::*;

/// Length of a round.
const ROUND_MS: u64 = 50;

/// Time for which a replaced leader still sends starts, and for which it still polls workers.
const OLD_LEADER_STARTS_MS: u64 = 1500;
const OLD_LEADER_POLLS_MS: u64 = 5500;

/// Time for which a worker is away after a task has crashed it.
const CRASH_MS: u64 = 3000;

/// Starts of a task after three workers have crashed under it; a third one breaks the budget.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// Workers in a row that must have crashed under a task before its job may fail for it.
const CRASHES_TO_FAIL: u32 = 2;

const WORKERS: usize = 6;
const WORKER_CPU: u64 = 8000;
const WORKER_MEMORY: u64 = 16_000;

/// Time after the last heartbeat at which the store removes the entry of a silent worker.
const ENTRY_LIFETIME_MS: u64 = 3300;

/// Longest time until leaders see the entry of a worker that has started.
const MAX_ENTRY_DELAY_MS: u64 = 700;

/// Longest lease that a worker accepts.
const LONGEST_LEASE_MS: u64 = 6000;

/// Distinguishes the randomness of entries, so that it does not change the rest of a history.
const ENTRY_SEED: u64 = 1 << 62;

/// Distinguishes the randomness of capacities, so that it does not change the rest of a history.
const CAPACITY_SEED: u64 = 1 << 63;

struct SimWorker {
    id: WorkerId,
    incarnation: u64,
    fence: u64,
    lease: u64,
    runs: BTreeMap<TaskKey, (u32, u64, RunOutcome)>,
    latest_runs: HashMap<TaskKey, u32>,
    ended: Vec<RunCompletion>,
    last_sequence: u64,
    /// Last completion after which the lease has lapsed.
    lapsed_up_to: u64,
    dead_until: u64,
    partitioned_until: u64,
    faulty_until: u64,
    capacity: Resources,
    /// Incarnation of the entry that leaders see until `entry_at`, if they see one.
    former_entry: Option<u64>,
    /// Time from which leaders see the entry of the present incarnation.
    entry_at: u64,
    /// Time at which the entry of a dead worker is removed.
    entry_gone_at: u64,
}

struct Term {
    sched: Scheduler,
    fence: u64,
    replaced_at: Option<u64>,
    partitioned: BTreeSet<usize>,
}

/// A start that a worker has received and executes later, if the worker lives that long.
struct DelayedStart {
    at: u64,
    incarnation: u64,
    start: StartCommand,
}

pub struct Sim {
    rng: ChaCha8Rng,
    capacity_rng: ChaCha8Rng,
    entry_rng: ChaCha8Rng,
    /// Decides which writes of silent workers get no answer, apart from all other choices.
    silence_rng: ChaCha8Rng,
    now: u64,
    workers: Vec<SimWorker>,
    specs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeSet<JobId>,
    records: BTreeMap<JobId, (Vec<u8>, u64)>,
    /// Workers that the leader has declared silent in the store.
    silent: Vec<SilentWorker>,
    revision: u64,
    terms: Vec<Term>,
    delayed_starts: Vec<DelayedStart>,
    acknowledged_done: BTreeSet<TaskKey>,
    done: BTreeSet<TaskKey>,
    acknowledged_failures: HashMap<TaskKey, u32>,
    /// Decides which jobs crash their workers, apart from all other choices.
    crashing_rng: ChaCha8Rng,
    /// Jobs whose first task crashes each worker that starts it.
    crashing: BTreeSet<JobId>,
    /// Number of workers that each task has crashed.
    crashes: HashMap<TaskKey, u32>,
    /// Workers in a row that crashed, for whatever reason, while they had each task or an end of it
    /// that no leader has seen, and the largest such number.
    crashes_in_a_row: HashMap<TaskKey, u32>,
    most_crashes_in_a_row: HashMap<TaskKey, u32>,
    /// Ends `failed` of each task.
    failures: HashMap<TaskKey, u32>,
    pub starts: usize,
}

impl Sim {
    pub fn new(seed: u64) -> Self {
        let workers = (0..WORKERS).map(|at| SimWorker::new(at, 1)).collect();
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            capacity_rng: ChaCha8Rng::seed_from_u64(seed ^ CAPACITY_SEED),
            silence_rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5e1f),
            entry_rng: ChaCha8Rng::seed_from_u64(seed ^ ENTRY_SEED),
            now: 1000,
            workers,
            specs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            records: BTreeMap::new(),
            silent: Vec::new(),
            revision: 10,
            terms: Vec::new(),
            delayed_starts: Vec::new(),
            acknowledged_done: BTreeSet::new(),
            done: BTreeSet::new(),
            acknowledged_failures: HashMap::new(),
            crashing_rng: ChaCha8Rng::seed_from_u64(seed ^ 0xdead),
            crashing: BTreeSet::new(),
            crashes: HashMap::new(),
            crashes_in_a_row: HashMap::new(),
            most_crashes_in_a_row: HashMap::new(),
            failures: HashMap::new(),
            starts: 0,
        };
        sim.take_over();
        sim
    }

    /// Simulates a faulty period, then repairs everything and simulates a fault-free period in
    /// which all jobs must end.
    pub fn simulate(&mut self, faulty: u64, calm: u64) {
        while self.now < faulty {
            self.inject_fault();
            self.round();
        }
        for worker in &mut self.workers {
            worker.partitioned_until = 0;
            worker.faulty_until = 0;
            worker.capacity = Resources::new(WORKER_CPU, WORKER_MEMORY, 0);
        }
        if let Some(term) = self.terms.last_mut() {
            term.partitioned.clear();
        }
        while self.now < faulty + calm {
            self.round();
        }
    }

    /// Returns the jobs that have not ended.
    pub fn unfinished(&self) -> Vec<JobId> {
        let sched = &self.terms.last().expect("a leader").sched;
        let open = |id: &JobId| {
            !matches!(
                sched.view(id),
                Some(JobView::Completed | JobView::Failed | JobView::Cancelled)
            )
        };
        self.specs.keys().filter(|id| open(id)).cloned().collect()
    }

    /// Returns the jobs that have failed although no task has used up its attempts, crashes workers
    /// or has seen several of them crash.
    pub fn failed_without_cause(&self) -> Vec<JobId> {
        let sched = &self.terms.last().expect("a leader").sched;
        let has_cause = |id: &JobId| {
            let most = queues().queues[&self.specs[id].queue].max_attempts;
            let mut failures = self.failures.iter();
            let mut crashes = self.most_crashes_in_a_row.iter();
            self.crashing.contains(id)
                || failures.any(|(key, failures)| key.job == *id && *failures >= most)
                || crashes.any(|(key, crashes)| key.job == *id && *crashes >= CRASHES_TO_FAIL)
        };
        let failed = |id: &JobId| sched.view(id) == Some(JobView::Failed);
        let ids = self.specs.keys();
        ids.filter(|id| failed(id) && !has_cause(id))
            .cloned()
            .collect()
    }

    fn inject_fault(&mut self) {
        let now = self.now;
        self.change_capacity();
        if self.rng.random_bool(0.10) {
            self.submit();
        }
        if self.rng.random_bool(0.02) {
            let at = self.rng.random_range(0..self.specs.len().max(1));
            if let Some(id) = self.specs.keys().nth(at).cloned() {
                self.cancelled.insert(id.clone());
                for term in &mut self.terms {
                    if term.replaced_at.is_none() {
                        term.sched.cancel(&id, Millis(now), Timestamp(now));
                    }
                }
            }
        }
        let at = self.rng.random_range(0..WORKERS);
        if self.rng.random_bool(0.01) {
            self.workers[at].partitioned_until = now + self.rng.random_range(500..9000);
        }
        if self.rng.random_bool(0.01) {
            let away = self.rng.random_range(200..6000);
            self.kill(at, away);
        }
        if self.rng.random_bool(0.005) {
            self.workers[at].faulty_until = now + 2000;
        }
        if self.rng.random_bool(0.01)
            && let Some(term) = self.terms.last_mut()
        {
            term.partitioned.insert(at);
        }
        if self.rng.random_bool(0.01) {
            self.take_over();
        }
    }

    /// Lets a worker shrink or grow again in some rounds; its entry shows it in the same round.
    fn change_capacity(&mut self) {
        let at = self.capacity_rng.random_range(0..WORKERS);
        let quarters = self.capacity_rng.random_range(0..5);
        if self.capacity_rng.random_bool(0.04) {
            self.workers[at].capacity =
                Resources::new(WORKER_CPU * quarters / 4, WORKER_MEMORY * quarters / 4, 0);
        }
    }

    fn submit(&mut self) {
        let mut steps = Vec::new();
        for at in 0..self.rng.random_range(1..4u32) {
            let mut one = step(
                self.rng.random_range(1..5),
                self.rng.random_range(500..4000),
                self.rng.random_range(500..5000),
            );
            one.estimate = Millis(self.rng.random_range(200..2000));
            one.checkpoints = self.rng.random_bool(0.5);
            one.best_effort = self.rng.random_bool(0.3);
            one.gang = self.rng.random_bool(0.1) && one.tasks < 4;
            if at > 0 {
                one.after = vec![at - 1];
            }
            steps.push(one);
        }
        let queue = if self.rng.random_bool(0.5) {
            "urgent"
        } else {
            "patient"
        };
        let name = format!("j{}", self.specs.len());
        let spec = job(queue, steps);
        self.specs.insert(id(&name), spec.clone());
        if self.crashing_rng.random_bool(0.04) {
            self.crashing.insert(id(&name));
        }
        let now = self.now;
        for term in &mut self.terms {
            submit(&mut term.sched, &name, spec.clone(), Millis(now));
        }
    }

    /// Starts a new term: a new leader takes the key and reads the store; the old one does not know
    /// yet.
    fn take_over(&mut self) {
        let now = self.now;
        for term in &mut self.terms {
            term.replaced_at.get_or_insert(now);
        }
        self.revision += 1;
        let fence = self.revision;
        let mut sched = Scheduler::new(timing(), fence, queues(), Millis(now));
        for (id, spec) in &self.specs {
            let record = self
                .records
                .get(id)
                .map(|(value, revision)| (super::decode_record(value), *revision));
            sched.add_job(
                id.clone(),
                spec.clone(),
                record,
                Millis(now),
                Timestamp(now),
            );
            if self.cancelled.contains(id) {
                sched.cancel(id, Millis(now), Timestamp(now));
            }
        }
        sched.restore_silence(&self.silent);
        self.terms.push(Term {
            sched,
            fence,
            replaced_at: None,
            partitioned: BTreeSet::new(),
        });
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        let now = self.now;
        self.terms.retain(|term| {
            term.replaced_at
                .is_none_or(|at| now < at + OLD_LEADER_POLLS_MS)
        });
        self.advance_workers();
        let mut terms = std::mem::take(&mut self.terms);
        for term in &mut terms {
            self.step_leader(term);
        }
        self.terms = terms;
        let (due, rest) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition::<Vec<_>, _>(|delayed| delayed.at <= now);
        self.delayed_starts = rest;
        for delayed in due {
            let alive = |worker: &SimWorker| {
                worker.id == delayed.start.worker && worker.incarnation == delayed.incarnation
            };
            if self.workers.iter().any(alive) {
                self.execute_start(&delayed.start, true);
            }
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.dead_until > 0 && now >= worker.dead_until {
                let delay = self.entry_rng.random_range(0..=MAX_ENTRY_DELAY_MS);
                worker.restart(now, delay);
            }
            let expired = worker.lease <= now;
            if expired {
                worker.lapsed_up_to = worker.last_sequence;
            }
            let over: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, (_, end, _))| expired || *end <= now)
                .map(|(key, _)| key.clone())
                .collect();
            for key in over {
                let (run, end, outcome) = worker.runs.remove(&key).expect("present");
                let outcome = if end <= now {
                    outcome
                } else {
                    RunOutcome::Interrupted
                };
                if outcome == RunOutcome::Done {
                    self.done.insert(key.clone());
                }
                if outcome == RunOutcome::Failed {
                    *self.failures.entry(key.clone()).or_default() += 1;
                }
                worker.complete(&key, run, outcome);
            }
        }
    }

    fn step_leader(&mut self, term: &mut Term) {
        let now = Millis(self.now);
        let current = term.replaced_at.is_none();
        let may_start = term
            .replaced_at
            .is_none_or(|at| self.now < at + OLD_LEADER_STARTS_MS);
        for (at, worker) in self.workers.iter().enumerate() {
            match worker.shown_incarnation(self.now) {
                Some(incarnation) => {
                    let mut own = entry(at, incarnation, WORKER_CPU, WORKER_MEMORY);
                    own.id = worker.id.clone();
                    own.capacity = worker.capacity;
                    term.sched.set_entry(own, now);
                }
                None => term.sched.remove_entry(&worker.id),
            }
        }
        let key_renewed_at = term.replaced_at.unwrap_or(self.now);
        term.sched
            .limit_leases(Millis(key_renewed_at) + LEASE_HORIZON);
        term.sched.allow_starts(may_start);
        for at in 0..WORKERS {
            self.poll(term, at);
        }
        term.sched.tick(now);
        if current && let Some(silent) = term.sched.silence_to_write(now) {
            self.silent.clone_from(&silent);
            if !self.silence_rng.random_bool(0.05) {
                term.sched.on_silence_written(&silent, now);
            }
        }
        term.sched.plan(now);
        while let Some(batch) = term.sched.next_batch(1) {
            let lost = self.rng.random_bool(0.05);
            if !current {
                term.sched.on_commit_failure(&batch);
                break;
            }
            let fits = batch.writes.iter().all(|write| {
                self.records
                    .get(&write.job)
                    .map_or(0, |(_, revision)| *revision)
                    == write.revision
            });
            if fits {
                self.revision += 1;
                for write in &batch.writes {
                    self.records
                        .insert(write.job.clone(), (write.value.clone(), self.revision));
                }
            }
            if fits && !lost {
                term.sched.on_commit(&batch, self.revision, now);
            } else {
                let revisions = self
                    .records
                    .iter()
                    .map(|(id, (_, revision))| (id.clone(), *revision))
                    .collect();
                term.sched.on_commit_conflict(&batch, &revisions);
                break;
            }
        }
        for command in term.sched.take_commands() {
            self.deliver(term, command, may_start);
        }
    }

    fn reachable(&self, term: &Term, at: usize) -> bool {
        let worker = &self.workers[at];
        worker.dead_until == 0
            && worker.partitioned_until <= self.now
            && !(term.partitioned.contains(&at) && term.replaced_at.is_none())
    }

    fn poll(&mut self, term: &mut Term, at: usize) {
        let now = Millis(self.now);
        let known = self.workers[at].id.clone();
        let plan = term.sched.poll_plan(&known, now);
        let PollPlan::Call {
            incarnation,
            fence,
            last_acknowledged,
            deadline,
            ..
        } = plan
        else {
            return;
        };
        if !self.reachable(term, at) {
            term.sched.on_poll_failure(&known, incarnation, "cut");
            return;
        }
        let worker = &mut self.workers[at];
        if fence < worker.fence {
            term.sched.on_poll_failure(&known, incarnation, "fenced");
            return;
        }
        worker.fence = fence;
        if let Some(deadline) = deadline {
            let most = self.now + LONGEST_LEASE_MS;
            worker.lease = worker
                .lease
                .max((deadline.0 + worker.incarnation).min(most));
        }
        for end in worker
            .ended
            .iter()
            .filter(|end| end.sequence <= last_acknowledged)
        {
            if end.outcome != RunOutcome::Interrupted {
                self.crashes_in_a_row.remove(&end.task);
            }
            match end.outcome {
                RunOutcome::Done => {
                    self.acknowledged_done.insert(end.task.clone());
                }
                // An end whose worker's lease lapsed before the acknowledgement is not taken
                // note of.
                RunOutcome::Failed if end.sequence <= worker.lapsed_up_to => {}
                RunOutcome::Failed => {
                    *self
                        .acknowledged_failures
                        .entry(end.task.clone())
                        .or_default() += 1
                }
                RunOutcome::Interrupted => {}
            }
        }
        worker.ended.retain(|end| end.sequence > last_acknowledged);
        let report = WorkerReport {
            incarnation: worker.incarnation,
            clock: Millis(self.now - worker.incarnation),
            running: worker
                .runs
                .iter()
                .map(|(task, (run, end, _))| RunStatus {
                    task: task.clone(),
                    run: *run,
                    checkpoint: String::new(),
                    // Changing progress, so that the run does not count as stalled.
                    percent: u32::try_from(end.saturating_sub(self.now) % 100).unwrap_or(0),
                    gauge: 0,
                })
                .collect(),
            ended: worker.ended.clone(),
        };
        term.sched
            .on_report(&known, now, now, Timestamp(self.now), &report);
    }

    fn deliver(&mut self, term: &mut Term, command: Command, may_start: bool) {
        let now = Millis(self.now);
        match command {
            Command::Start(start) => {
                let Some(at) = self
                    .workers
                    .iter()
                    .position(|worker| worker.id == start.worker)
                else {
                    return;
                };
                if !may_start {
                    return;
                }
                let response = if !self.reachable(term, at) {
                    StartResponse::Unknown
                } else if self.rng.random_bool(0.05) {
                    let incarnation = self.workers[at].incarnation;
                    let at = self.now + self.rng.random_range(500..8000);
                    self.delayed_starts.push(DelayedStart {
                        at,
                        incarnation,
                        start: start.clone(),
                    });
                    StartResponse::Unknown
                } else {
                    let response = self.execute_start(&start, false);
                    if self.rng.random_bool(0.05) {
                        StartResponse::Unknown
                    } else {
                        let clock = self.now.saturating_sub(self.workers[at].incarnation);
                        let answer = StartAnswer {
                            response,
                            clock: Some(Millis(clock)),
                        };
                        answer.for_command(&start)
                    }
                };
                super::respond(&mut term.sched, &start, response, now);
            }
            Command::Stop(stop) => {
                let found = self
                    .workers
                    .iter()
                    .position(|worker| worker.id == stop.worker);
                let reached = found.is_some_and(|at| self.reachable(term, at));
                let mut acknowledged = false;
                if let (Some(at), true) = (found, reached) {
                    let worker = &mut self.workers[at];
                    if stop.fence >= worker.fence {
                        worker.fence = stop.fence;
                        acknowledged = true;
                        let latest_run = worker.latest_runs.entry(stop.task.clone()).or_default();
                        *latest_run = (*latest_run).max(stop.run);
                        if worker
                            .runs
                            .get(&stop.task)
                            .is_some_and(|(run, ..)| *run == stop.run)
                        {
                            worker.runs.remove(&stop.task);
                            worker.complete(&stop.task, stop.run, RunOutcome::Interrupted);
                        }
                    }
                }
                term.sched.on_stop_response(&stop, acknowledged, now);
            }
            Command::Pace { .. } | Command::Advise(_) => {}
        }
    }

    /// Executes a start on its worker, with the checks of the oracle. The worker may have shrunk
    /// since it received a start that it executes late.
    fn execute_start(&mut self, start: &StartCommand, late: bool) -> StartResponse {
        let now = self.now;
        let Some(at) = self
            .workers
            .iter()
            .position(|worker| worker.id == start.worker)
        else {
            return StartResponse::OtherIncarnation;
        };
        let worker = &mut self.workers[at];
        if worker.dead_until > 0 {
            return StartResponse::Unknown;
        }
        if start.fence < worker.fence {
            return StartResponse::Fenced;
        }
        worker.fence = start.fence;
        if start.deadline.0 + worker.incarnation <= now {
            return StartResponse::Late;
        }
        if worker
            .runs
            .get(&start.task)
            .is_some_and(|(run, ..)| *run == start.run)
        {
            return StartResponse::Started;
        }
        if worker
            .latest_runs
            .get(&start.task)
            .is_some_and(|latest_run| *latest_run >= start.run)
        {
            return StartResponse::AlreadyEnded;
        }
        let spec = self.specs[&start.task.job].clone();
        let step = &spec.steps[start.task.step as usize];
        let fails = self.rng.random_bool(0.05) || worker.faulty_until > now;
        let outcome = if fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        let duration = step.estimate.0 * self.rng.random_range(5..15) / 10;
        let most = now + LONGEST_LEASE_MS;
        worker.lease = worker
            .lease
            .max((start.deadline.0 + worker.incarnation).min(most));
        let (run, key) = (start.run, start.task.clone());
        worker.latest_runs.insert(key.clone(), run);
        worker
            .runs
            .insert(key.clone(), (run, now + duration, outcome));
        self.starts += 1;
        self.check_start(at, &key, &spec, late);
        if self.crashing.contains(&key.job) && key.step == 0 && key.index == 0 {
            self.crash(at, &key);
        }
        StartResponse::Started
    }

    /// Crashes a worker by a task that it has just started.
    fn crash(&mut self, at: usize, key: &TaskKey) {
        let crashes = self.crashes.entry(key.clone()).or_default();
        *crashes += 1;
        assert!(
            *crashes <= 3 + MAX_STARTS_AFTER_CRASHES,
            "{} ms: {key} has crashed {crashes} workers",
            self.now
        );
        self.kill(at, CRASH_MS);
    }

    /// Ends a worker process, which is back after `away`.
    fn kill(&mut self, at: usize, away: u64) {
        let runs = std::mem::take(&mut self.workers[at].runs);
        self.workers[at].dead_until = self.now + away;
        self.workers[at].entry_gone_at = self.now + ENTRY_LIFETIME_MS;
        // The ends that no leader has heard of are lost too.
        let worker = &self.workers[at];
        let unheard = worker.ended.iter().map(|end| end.task.clone());
        let tasks: BTreeSet<TaskKey> = runs.into_keys().chain(unheard).collect();
        for key in &tasks {
            self.count_crash(key);
        }
    }

    fn count_crash(&mut self, key: &TaskKey) {
        let crashes = self.crashes_in_a_row.entry(key.clone()).or_default();
        *crashes += 1;
        let most = self.most_crashes_in_a_row.entry(key.clone()).or_default();
        *most = (*most).max(*crashes);
    }

    fn check_start(&self, at: usize, key: &TaskKey, spec: &JobSpec, late: bool) {
        let elsewhere = self
            .workers
            .iter()
            .enumerate()
            .any(|(other, worker)| other != at && worker.runs.contains_key(key));
        assert!(!elsewhere, "{} ms: {key} runs on two workers", self.now);
        assert!(
            !self.acknowledged_done.contains(key),
            "{} ms: {key} is done",
            self.now
        );
        let mut used = Resources::default();
        for task in self.workers[at].runs.keys() {
            let reservation = self.specs[&task.job].steps[task.step as usize].reservation();
            used = used.checked_add(&reservation).expect("small numbers");
        }
        let capacity = if late {
            Resources::new(WORKER_CPU, WORKER_MEMORY, 0)
        } else {
            self.workers[at].capacity
        };
        assert!(
            used.fits(&capacity),
            "{} ms: worker {at} is over its capacity: {used}",
            self.now
        );
        for before in &spec.steps[key.step as usize].after {
            let earlier = &spec.steps[*before as usize];
            let is_done = |index| {
                self.done.contains(&TaskKey {
                    step: *before,
                    index,
                    ..key.clone()
                })
            };
            let met = if earlier.gang {
                (0..earlier.tasks).any(is_done)
            } else {
                (0..earlier.tasks).all(is_done)
            };
            assert!(
                met,
                "{} ms: {key} starts before step {before} is done",
                self.now
            );
        }
        let most = queues().queues[&spec.queue].max_attempts;
        let failures = self.acknowledged_failures.get(key).copied().unwrap_or(0);
        assert!(
            failures < most,
            "{} ms: {key} has used up its attempts",
            self.now
        );
    }
}

impl SimWorker {
    fn new(at: usize, incarnation: u64) -> Self {
        Self {
            id: worker_id(at),
            incarnation,
            fence: 0,
            lease: 0,
            runs: BTreeMap::new(),
            latest_runs: HashMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            lapsed_up_to: 0,
            dead_until: 0,
            partitioned_until: 0,
            faulty_until: 0,
            capacity: Resources::new(WORKER_CPU, WORKER_MEMORY, 0),
            former_entry: None,
            entry_at: 0,
            entry_gone_at: 0,
        }
    }

    /// Starts the worker again under its id; leaders see its new entry after `delay`.
    fn restart(&mut self, now: u64, delay: u64) {
        *self = Self {
            id: self.id.clone(),
            former_entry: self.shown_incarnation(now),
            entry_at: now + delay,
            entry_gone_at: self.entry_gone_at,
            ..Self::new(0, now)
        };
    }

    /// Returns the incarnation of the entry that the store shows.
    fn shown_incarnation(&self, now: u64) -> Option<u64> {
        if self.dead_until == 0 && now >= self.entry_at {
            return Some(self.incarnation);
        }
        let former = match now >= self.entry_at {
            true => Some(self.incarnation),
            false => self.former_entry,
        };
        former.filter(|_| now < self.entry_gone_at)
    }

    fn complete(&mut self, task: &TaskKey, run: u32, outcome: RunOutcome) {
        self.last_sequence += 1;
        self.ended.push(RunCompletion {
            sequence: self.last_sequence,
            task: task.clone(),
            run,
            outcome,
            checkpoint: String::new(),
        });
    }
}
