//! Stand-in of a worker.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{Answer, serve};

/// Time between two looks of a waiting read.
const LOOK: Duration = Duration::from_millis(10);

/// Length of a run whose text names none.
const WORK: Duration = Duration::from_millis(400);

/// What each worker offers, in millicores and MiB.
pub const CAPACITY: (u64, u64) = (4000, 16_000);

/// Time by which a worker's clock may be late when its lease lapses: 2% of the longest lease.
const LATE_CLOCK: u64 = 120;

struct Run {
    number: u64,
    begun: Instant,
    work: Duration,
    cpu: u64,
    memory: u64,
}

/// What all workers of a site have seen together, and the promises that were broken.
#[derive(Default)]
pub struct Seen {
    /// Tasks whose end as done was acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// Tasks that have ended as done.
    pub done: BTreeSet<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    workers: Vec<WorkerStandin>,
}

struct State {
    id: String,
    begun: Instant,
    born: u64,
    seen: Arc<Mutex<Seen>>,
    fence: u64,
    lease: u64,
    runs: BTreeMap<String, Run>,
    past: BTreeMap<String, u64>,
    ended: Vec<Value>,
    number: u64,
    started: Vec<(String, u64)>,
    lose_starts: usize,
}

/// A worker whose runs end as done after a short while.
#[derive(Clone)]
pub struct WorkerStandin {
    pub id: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl WorkerStandin {
    pub async fn start(at: usize, seen: &Arc<Mutex<Seen>>) -> Self {
        let id = format!("i-{at}");
        let state = Arc::new(Mutex::new(State {
            id: id.clone(),
            begun: Instant::now(),
            born: 1,
            seen: seen.clone(),
            fence: 0,
            lease: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            started: Vec::new(),
            lose_starts: 0,
        }));
        let own = state.clone();
        let addr = serve(move |path, _, body| {
            let state = own.clone();
            async move { answer(&state, &path, &body).await }
        })
        .await;
        let worker = Self { id, addr, state };
        seen.lock().workers.push(worker.clone());
        worker
    }

    /// Ends everything here and begins a new life under the same id.
    pub fn restart(&self) {
        let mut state = self.state.lock();
        state.advance();
        state.born += 1;
        state.begun = Instant::now();
        state.fence = 0;
        state.lease = 0;
        state.number = 0;
        state.runs.clear();
        state.past.clear();
        state.ended.clear();
    }

    /// Tells whether a task of this job runs here now.
    pub fn runs(&self, prefix: &str) -> bool {
        let mut state = self.state.lock();
        state.advance();
        state.runs.keys().any(|task| task.starts_with(prefix))
    }

    /// What the worker writes of itself into the store; callers reach it at `address`.
    pub fn entry(&self, address: SocketAddr) -> Value {
        let born = self.state.lock().born;
        json!({
            "service": "s", "address": address.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "warmupLeftMs": 0, "labels": ["a", "r1"], "seq": 1,
            "capacity": {"cpu": CAPACITY.0, "memMb": CAPACITY.1, "gpu": 0}, "born": born,
        })
    }

    /// Carries out the next starts without answering them.
    pub fn lose_starts(&self, count: usize) {
        self.state.lock().lose_starts = count;
    }

    /// All runs that were begun here.
    pub fn started(&self) -> Vec<(String, u64)> {
        self.state.lock().started.clone()
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&mut self, task: &str, run: u64, how: &str) {
        self.number += 1;
        self.ended.push(json!([self.number, task, run, how, ""]));
    }

    fn advance(&mut self) {
        let lapsed = self.lease + LATE_CLOCK <= self.clock();
        let over: Vec<(String, u64, bool)> = self
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.number, run.begun.elapsed() >= run.work))
            .filter(|(_, _, done)| *done || lapsed)
            .collect();
        for (task, run, done) in over {
            self.runs.remove(&task);
            if done {
                self.seen.lock().done.insert(task.clone());
            }
            self.end(&task, run, if done { "done" } else { "lapsed" });
        }
    }

    fn start(&mut self, body: &Value) -> Answer {
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
        if self.past.get(&task).is_some_and(|past| *past >= run) {
            return refuse("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        if spec.contains("advised") && body["ticket"] != json!(format!("t-{}", self.id)) {
            return refuse("ticket");
        }
        self.lease = self.lease.max(deadline);
        self.past.insert(task.clone(), run);
        self.started.push((task.clone(), run));
        let number = |name: &str, most: u64| {
            let found = spec.split(' ').find_map(|part| part.strip_prefix(name));
            found.and_then(|text| text.parse().ok()).unwrap_or(most)
        };
        let work = Duration::from_millis(number("work=", WORK.as_millis() as u64));
        let (cpu, memory) = (number("cpu=", 1000), number("mem=", 1000));
        let begun = Instant::now();
        let one = Run {
            number: run,
            begun,
            work,
            cpu,
            memory,
        };
        self.runs.insert(task.clone(), one);
        self.check_promises(&task);
        if self.lose_starts > 0 {
            self.lose_starts -= 1;
            return None;
        }
        Some((StatusCode::OK, json!({"clockMs": clock})))
    }

    /// Notes if this start exceeds the worker or follows an acknowledged end.
    fn check_promises(&self, task: &str) {
        let runs = || self.runs.values();
        let (cpu, memory) = (
            runs().map(|run| run.cpu).sum::<u64>(),
            runs().map(|run| run.memory).sum::<u64>(),
        );
        let mut seen = self.seen.lock();
        if cpu > CAPACITY.0 || memory > CAPACITY.1 {
            seen.broken.push(format!(
                "a start of {task} takes {cpu} millicores and {memory} MiB"
            ));
        }
        if seen.acknowledged.contains(task) {
            seen.broken
                .push(format!("{task} starts after its end was acknowledged"));
        }
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.begun.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
                json!([task, run.number, "", share.min(99) as u64, 1000])
            })
            .collect();
        json!({
            "clockMs": self.clock(), "born": self.born, "runningCount": running, "ended": self.ended,
        })
    }
}

/// Notes if a task that has just been started runs on more than one worker.
fn check_single(seen: &Mutex<Seen>, task: &str) {
    let workers = seen.lock().workers.clone();
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
        seen.lock()
            .broken
            .push(format!("{task} runs on {holders:?} at once"));
    }
}

async fn answer(state: &Mutex<State>, path: &str, body: &Value) -> Answer {
    let fence = body["fence"].as_u64().unwrap_or(0);
    let until = {
        let mut state = state.lock();
        state.advance();
        if fence < state.fence {
            let refused = json!({"clockMs": state.clock(), "reason": "fence"});
            return Some((StatusCode::CONFLICT, refused));
        }
        state.fence = fence;
        match path {
            "/run-start" => {
                let answer = state.start(body);
                let seen = state.seen.clone();
                drop(state);
                check_single(&seen, body["task"].as_str().unwrap_or_default());
                return answer;
            }
            "/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default().to_string();
                let run = body["runId"].as_u64().unwrap_or(0);
                let past = state.past.entry(task.clone()).or_default();
                *past = (*past).max(run);
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
        state.seen.lock().acknowledged.extend(tasks);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        state.lease = state.lease.max(deadline);
        Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0))
    };
    loop {
        {
            let mut state = state.lock();
            state.advance();
            if !state.ended.is_empty() || Instant::now() >= until {
                return Some((StatusCode::OK, state.lists()));
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}
