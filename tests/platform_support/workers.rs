//! Stand-in of a worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{Answer, serve};

/// Time between two looks of a waiting read.
const LOOK: Duration = Duration::from_millis(10);

/// Length of a run.
const WORK: Duration = Duration::from_millis(400);

struct Run {
    number: u64,
    begun: Instant,
}

struct State {
    begun: Instant,
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
    pub async fn start(at: usize) -> Self {
        let state = Arc::new(Mutex::new(State {
            begun: Instant::now(),
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
        Self {
            id: format!("i-{at}"),
            addr,
            state,
        }
    }

    /// What the worker writes of itself into the store.
    pub fn entry(&self) -> Value {
        json!({
            "service": "s", "address": self.addr.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "warmupLeftMs": 0, "labels": ["a", "r1"], "seq": 1,
            "capacity": {"cpu": 4000, "memMb": 16000, "gpu": 0}, "born": 1,
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
        let lapsed = self.lease <= self.clock();
        let over: Vec<(String, u64, bool)> = self
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.number, run.begun.elapsed() >= WORK))
            .filter(|(_, _, done)| *done || lapsed)
            .collect();
        for (task, run, done) in over {
            self.runs.remove(&task);
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
        self.lease = self.lease.max(deadline);
        self.past.insert(task.clone(), run);
        self.started.push((task.clone(), run));
        let begun = Instant::now();
        self.runs.insert(task, Run { number: run, begun });
        if self.lose_starts > 0 {
            self.lose_starts -= 1;
            return None;
        }
        Some((StatusCode::OK, json!({"clockMs": clock})))
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.begun.elapsed().as_millis() * 100 / WORK.as_millis();
                json!([task, run.number, "", share.min(99) as u64, 1000])
            })
            .collect();
        json!({
            "clockMs": self.clock(), "born": 1, "runningCount": running, "ended": self.ended,
        })
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
            "/run-start" => return state.start(body),
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
        let seen = body["lastSeen"].as_u64().unwrap_or(0);
        state
            .ended
            .retain(|end| end[0].as_u64().unwrap_or(0) > seen);
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
