//! Stand-in of a worker.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::capacity::CapacityHistory;
use super::crashes::CrashLog;
use super::{JsonResponse, serve};

/// Interval at which a waiting poll checks for ended runs.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Duration of a run whose spec sets none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(400);

/// Delay in milliseconds with which a worker detects the expiry of its lease, because its clock may
/// be late: 2% of the longest lease.
const EXPIRY_DELAY_MS: u64 = 120;

/// Spec of a task that crashes every worker that starts it.
pub const CRASHING: &str = "crashing";

/// Time from the start of a task that crashes its worker to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(150);

/// Time from a crash to the worker's next incarnation.
const CRASH_TIME: Duration = Duration::from_secs(3);

struct Run {
    number: u64,
    crashing: bool,
    started_at: Instant,
    work: Duration,
    cpu: u64,
    memory: u64,
}

/// Observations of all workers of a site, and the violated guarantees.
#[derive(Default)]
pub struct Observations {
    /// Tasks whose completion was acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// Tasks that have completed.
    pub done: BTreeSet<String>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    crashes: CrashLog,
    workers: Vec<WorkerStandin>,
}

struct State {
    id: String,
    started_at: Instant,
    incarnation: u64,
    observed: Arc<Mutex<Observations>>,
    fence: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    lease: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run number of each task that was started or stopped here.
    last_runs: BTreeMap<String, u64>,
    ended: Vec<Value>,
    /// Number of the last end.
    number: u64,
    starts: Vec<(String, u64)>,
    drop_start_responses: usize,
    capacity: CapacityHistory,
    /// Number of entries written.
    heartbeats: u64,
    /// The worker has crashed and is not back.
    crashed: bool,
}

/// A worker whose runs complete after a short time.
#[derive(Clone)]
pub struct WorkerStandin {
    pub id: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl WorkerStandin {
    pub async fn start(at: usize, observed: &Arc<Mutex<Observations>>) -> Self {
        let id = format!("i-{at}");
        let state = Arc::new(Mutex::new(State {
            id: id.clone(),
            started_at: Instant::now(),
            incarnation: 1,
            observed: observed.clone(),
            fence: 0,
            lease: 0,
            runs: BTreeMap::new(),
            last_runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            starts: Vec::new(),
            drop_start_responses: 0,
            capacity: CapacityHistory::new(),
            heartbeats: 0,
            crashed: false,
        }));
        let own = state.clone();
        let addr = serve(move |path, _, body| {
            let state = own.clone();
            async move { handle(&state, &path, &body).await }
        })
        .await;
        let worker = Self { id, addr, state };
        observed.lock().workers.push(worker.clone());
        worker
    }

    /// Ends all runs and starts a new incarnation under the same id.
    pub fn restart(&self) {
        self.state.lock().restart();
    }

    /// Returns whether the worker has not crashed.
    pub fn is_up(&self) -> bool {
        !self.state.lock().crashed
    }

    /// Returns whether a task whose name has this prefix runs now.
    pub fn runs(&self, prefix: &str) -> bool {
        let mut state = self.state.lock();
        state.advance();
        state.runs.keys().any(|task| task.starts_with(prefix))
    }

    /// Changes the capacity; runs at work are not affected. The next heartbeat shows it.
    pub fn set_capacity(&self, cpu: u64, memory: u64) {
        self.state.lock().capacity.set(cpu, memory);
    }

    /// Returns the worker's next entry in the store, with `address` as its address.
    pub fn entry(&self, address: SocketAddr) -> Value {
        let mut state = self.state.lock();
        state.heartbeats += 1;
        let (cpu, memory) = state.capacity.present();
        json!({
            "service": "s", "address": address.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "warmupLeftMs": 0, "labels": ["a", "r1"],
            "seq": state.heartbeats, "capacity": {"cpu": cpu, "memMb": memory, "gpu": 0},
            "born": state.incarnation,
        })
    }

    /// Executes the next `count` starts without responding to them.
    pub fn drop_start_responses(&self, count: usize) {
        self.state.lock().drop_start_responses = count;
    }

    /// Returns the task and run number of every start that this worker has executed.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state.lock().starts.clone()
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&mut self, task: &str, run: u64, outcome: &str) {
        self.number += 1;
        self.ended
            .push(json!([self.number, task, run, outcome, ""]));
    }

    fn restart(&mut self) {
        self.advance();
        self.crashed = false;
        self.incarnation += 1;
        self.started_at = Instant::now();
        self.fence = 0;
        self.lease = 0;
        self.number = 0;
        self.runs.clear();
        self.last_runs.clear();
        self.ended.clear();
    }

    /// Ends all runs without a trace; the worker answers no call until it restarts.
    fn crash(&mut self) {
        self.crashed = true;
        let mut observed = self.observed.lock();
        for (task, _) in self.runs.iter().filter(|(_, run)| run.crashing) {
            observed.crashes.record_crash(task);
        }
        self.runs.clear();
    }

    /// Returns whether this run of a task that crashes its worker is at work.
    fn runs_crashing(&self, task: &str) -> bool {
        self.runs.get(task).is_some_and(|run| run.crashing)
    }

    fn advance(&mut self) {
        let lease_expired = self.lease + EXPIRY_DELAY_MS <= self.clock();
        let finished: Vec<(String, u64, bool)> = self
            .runs
            .iter()
            .map(|(task, run)| {
                (
                    task.clone(),
                    run.number,
                    run.started_at.elapsed() >= run.work,
                )
            })
            .filter(|(_, _, done)| *done || lease_expired)
            .collect();
        for (task, run, done) in finished {
            self.runs.remove(&task);
            if done {
                self.observed.lock().done.insert(task.clone());
            }
            self.end(&task, run, if done { "done" } else { "lapsed" });
        }
    }

    fn start(&mut self, body: &Value) -> JsonResponse {
        let task = body["task"].as_str().unwrap_or_default().to_string();
        let run = body["runId"].as_u64().unwrap_or(0);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        let clock = self.clock();
        let refuse = |reason: &str| {
            Some((
                StatusCode::CONFLICT,
                json!({"clockMs": clock, "reason": reason}),
            ))
        };
        if deadline <= clock {
            return refuse("late");
        }
        if self
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return Some((StatusCode::OK, json!({"clockMs": clock})));
        }
        if self
            .last_runs
            .get(&task)
            .is_some_and(|last_run| *last_run >= run)
        {
            return refuse("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        if spec.contains("advised") && body["ticket"] != json!(format!("t-{}", self.id)) {
            return refuse("ticket");
        }
        self.lease = self.lease.max(deadline);
        self.last_runs.insert(task.clone(), run);
        self.starts.push((task.clone(), run));
        let number = |name: &str, default: u64| {
            let found = spec.split(' ').find_map(|part| part.strip_prefix(name));
            found.and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let work = Duration::from_millis(number("work=", DEFAULT_RUN_TIME.as_millis() as u64));
        let (cpu, memory) = (number("cpu=", 1000), number("mem=", 1000));
        let started_at = Instant::now();
        let new_run = Run {
            number: run,
            crashing: spec.contains(CRASHING),
            started_at,
            work,
            cpu,
            memory,
        };
        self.runs.insert(task.clone(), new_run);
        self.check_start(&task);
        if self.drop_start_responses > 0 {
            self.drop_start_responses -= 1;
            return None;
        }
        Some((StatusCode::OK, json!({"clockMs": clock})))
    }

    /// Records a violation if the runs exceed the worker's capacity, or if the task was already
    /// acknowledged as complete.
    fn check_start(&self, task: &str) {
        let runs = || self.runs.values();
        let (cpu, memory) = (
            runs().map(|run| run.cpu).sum::<u64>(),
            runs().map(|run| run.memory).sum::<u64>(),
        );
        let mut observed = self.observed.lock();
        if !self.capacity.allows(cpu, memory) {
            let (id, present) = (&self.id, self.capacity.present());
            observed.violations.push(format!(
                "a start of {task} takes {cpu} millicores and {memory} MiB of {present:?} on {id}"
            ));
        }
        if let Some(violation) = observed.crashes.record_start(task) {
            observed.violations.push(violation);
        }
        if observed.acknowledged.contains(task) {
            observed
                .violations
                .push(format!("{task} starts after its end was acknowledged"));
        }
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let share =
                    run.started_at.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
                json!([task, run.number, "", share.min(99) as u64, 1000])
            })
            .collect();
        json!({
            "clockMs": self.clock(), "born": self.incarnation, "runningCount": running, "ended": self.ended,
        })
    }
}

/// Records a violation if a task that has just been started runs on more than one worker.
fn check_runs_once(observed: &Mutex<Observations>, task: &str) {
    let workers = observed.lock().workers.clone();
    let holders: Vec<&str> = workers
        .iter()
        .filter(|worker| {
            let mut state = worker.state.lock();
            state.advance();
            state.runs.contains_key(task)
        })
        .map(|worker| worker.id.as_str())
        .collect();
    if holders.len() > 1 {
        observed
            .lock()
            .violations
            .push(format!("{task} runs on {holders:?} at once"));
    }
}

/// Crashes the worker shortly after the start of a crashing task, and restarts it later.
async fn crash_and_restart(shared: Arc<Mutex<State>>, task: String) {
    let incarnation = shared.lock().incarnation;
    tokio::time::sleep(CRASH_DELAY).await;
    {
        let mut state = shared.lock();
        if state.incarnation != incarnation || !state.runs_crashing(&task) {
            return;
        }
        state.crash();
    }
    tokio::time::sleep(CRASH_TIME).await;
    let mut state = shared.lock();
    if state.incarnation == incarnation {
        state.restart();
    }
}

async fn handle(shared: &Arc<Mutex<State>>, path: &str, body: &Value) -> JsonResponse {
    let fence = body["fence"].as_u64().unwrap_or(0);
    let until = {
        let mut state = shared.lock();
        if state.crashed {
            return None;
        }
        state.advance();
        if fence < state.fence {
            let refused = json!({"clockMs": state.clock(), "reason": "fence"});
            return Some((StatusCode::CONFLICT, refused));
        }
        state.fence = fence;
        match path {
            "/run-start" => {
                let started = state.starts.len();
                let response = state.start(body);
                let has_started = state.starts.len() > started;
                let task = body["task"].as_str().unwrap_or_default();
                if has_started && state.runs_crashing(task) {
                    tokio::spawn(crash_and_restart(shared.clone(), task.to_string()));
                }
                let observed = state.observed.clone();
                drop(state);
                check_runs_once(&observed, task);
                return response;
            }
            "/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default().to_string();
                let run = body["runId"].as_u64().unwrap_or(0);
                let last_run = state.last_runs.entry(task.clone()).or_default();
                *last_run = (*last_run).max(run);
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|known| known.number == run)
                {
                    state.runs.remove(&task);
                    state.end(&task, run, "stopped");
                }
                return Some((StatusCode::OK, json!({"clockMs": state.clock()})));
            }
            "/pace" => return Some((StatusCode::OK, json!({"clockMs": state.clock()}))),
            _ => {}
        }
        let last = body["lastSeen"].as_u64().unwrap_or(0);
        let (forgotten, kept): (Vec<Value>, Vec<Value>) = std::mem::take(&mut state.ended)
            .into_iter()
            .partition(|end| end[0].as_u64().unwrap_or(0) <= last);
        state.ended = kept;
        let done = forgotten.iter().filter(|end| end[3] == "done");
        let tasks = done.filter_map(|end| Some(end[1].as_str()?.to_string()));
        state.observed.lock().acknowledged.extend(tasks);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        state.lease = state.lease.max(deadline);
        Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0))
    };
    loop {
        {
            let mut state = shared.lock();
            state.advance();
            if state.crashed {
                return None;
            }
            if !state.ended.is_empty() || Instant::now() >= until {
                return Some((StatusCode::OK, state.lists()));
            }
        }
        tokio::time::sleep(POLL_CHECK_INTERVAL).await;
    }
}
