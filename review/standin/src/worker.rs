//! Stand-in of a worker, as a process of its own. It appends what it starts and ends to a file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, call, serve};
use crate::json::{Value, list, number, object, text};

/// Longest lease, `holdMaxMs`.
const LONGEST_LEASE_MS: u64 = 6000;

/// Interval at which runs are ended and a waiting poll looks for ends.
const STEP: Duration = Duration::from_millis(5);

/// Time after which a task that lasts is at work.
const STARTUP_MS: u64 = 400;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1100);

/// What a worker is started with.
pub struct Settings {
    pub id: String,
    pub listen: SocketAddr,
    /// Address that the entry names: the worker itself or a proxy.
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub cpu: u64,
    /// Time that a stop takes.
    pub stop: Duration,
    /// Kind and rack.
    pub labels: [String; 2],
    pub log: String,
}

struct Run {
    number: u64,
    ends_at: Instant,
    /// The task runs until it is stopped.
    lasts: bool,
    started_at: Instant,
    work: Duration,
    is_stopping: bool,
}

struct State {
    started_at: Instant,
    born: u64,
    fence: u64,
    /// End of the lease on the worker's clock.
    lease: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was started or stopped here.
    last_runs: BTreeMap<String, u64>,
    ended: Vec<(u64, Value)>,
    number: u64,
    log: File,
}

pub fn now_us() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_micros()
}

impl State {
    fn clock(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1000
    }

    fn record(&mut self, event: &str) {
        let line = format!("{} {event}\n", now_us());
        self.log.write_all(line.as_bytes()).expect("a record");
    }

    fn end(&mut self, task: &str, how: &str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.record(&format!("end {task} {} {how}", run.number));
        self.number += 1;
        let row = [
            number(self.number),
            text(task),
            number(run.number),
            text(how),
            text(""),
        ];
        self.ended.push((self.number, list(row)));
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let lapsed = self.clock() > self.lease;
        let mut over = Vec::new();
        for (task, run) in &self.runs {
            let how = match (run.ends_at <= now, run.is_stopping) {
                (true, true) => "stopped",
                (true, false) => "done",
                _ if lapsed => "lapsed",
                _ => continue,
            };
            over.push((task.clone(), how));
        }
        for (task, how) in over {
            self.end(&task, how);
        }
    }

    fn answer(&self, status: u16) -> Response {
        Some((status, object([("clockMs", number(self.clock()))])))
    }

    fn refuse(&self, reason: &str) -> Response {
        let members = [("clockMs", number(self.clock())), ("reason", text(reason))];
        Some((409, object(members)))
    }

    fn extend(&mut self, deadline: u64) {
        self.lease = self
            .lease
            .max(deadline.min(self.clock() + LONGEST_LEASE_MS));
    }

    fn start(&mut self, body: &Value) -> Response {
        let task = body.get("task").text().to_string();
        let run = body.get("runId").number();
        let deadline = body.get("deadlineMs").number();
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        self.extend(deadline);
        if self
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return self.answer(200);
        }
        if self.last_runs.get(&task).is_some_and(|last| *last >= run) {
            return self.refuse("old");
        }
        self.last_runs.insert(task.clone(), run);
        let spec = body.get("spec").text();
        let figure = |name: &str| spec.split(' ').find_map(|word| word.strip_prefix(name));
        let lasting = if spec.contains("lasts") {
            3_600_000
        } else {
            400
        };
        let work = figure("work=")
            .and_then(|figure| figure.parse().ok())
            .unwrap_or(lasting);
        self.record(&format!("start {task} {run}"));
        let now = Instant::now();
        let work = Duration::from_millis(work);
        let started = Run {
            number: run,
            ends_at: now + work,
            work,
            lasts: spec.contains("lasts"),
            started_at: now,
            is_stopping: false,
        };
        self.runs.insert(task, started);
        self.answer(200)
    }

    fn stop(&mut self, body: &Value, takes: Duration) -> Response {
        let task = body.get("task").text();
        let run = body.get("runId").number();
        let last = self.last_runs.entry(task.to_string()).or_default();
        *last = (*last).max(run);
        // A run that completes before the stop takes effect ends `done`.
        let stopped_at = Instant::now() + takes;
        if let Some(known) = self.runs.get_mut(task)
            && known.number == run
            && stopped_at < known.ends_at
        {
            known.is_stopping = true;
            known.ends_at = stopped_at;
        }
        self.answer(200)
    }

    fn lists(&self) -> Value {
        let running = self.runs.iter().map(|(task, run)| {
            let worked = run.started_at.elapsed().as_millis() as u64;
            // A task that lasts is at work after a short startup.
            let percent = if run.lasts && worked >= STARTUP_MS {
                100
            } else {
                (worked * 100 / (run.work.as_millis() as u64).max(1)).min(99)
            };
            list([
                text(task),
                number(run.number),
                text(""),
                number(percent),
                number(0),
            ])
        });
        object([
            ("clockMs", number(self.clock())),
            ("born", number(self.born)),
            ("runningCount", list(running)),
            (
                "ended",
                list(self.ended.iter().map(|(_, row)| row.clone()).take(500)),
            ),
        ])
    }
}

/// Runs a worker until the process is killed.
pub fn run(settings: Settings) {
    let born = now_us() / 1000;
    let state = Arc::new(Mutex::new(State {
        started_at: Instant::now(),
        born: born as u64,
        fence: 0,
        lease: 0,
        runs: BTreeMap::new(),
        last_runs: BTreeMap::new(),
        ended: Vec::new(),
        number: 0,
        log: File::options()
            .append(true)
            .create(true)
            .open(&settings.log)
            .expect("a record"),
    }));
    state
        .lock()
        .expect("no panic")
        .record(&format!("up {}", settings.id));
    let listener = TcpListener::bind(settings.listen).expect("the worker's port");
    let (own, id, stop) = (state.clone(), settings.id.clone(), settings.stop);
    serve(listener, move |req| handle(&own, &id, stop, &req));
    // The pipe closes when the process that started this one has ended.
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    let ticker = state.clone();
    std::thread::spawn(move || {
        loop {
            ticker.lock().expect("no panic").advance();
            std::thread::sleep(STEP);
        }
    });
    for seq in 1.. {
        let capacity = object([
            ("cpu", number(settings.cpu)),
            ("memMb", number(256_000)),
            ("gpu", number(0)),
        ]);
        let entry = object([
            ("service", text("s")),
            ("address", text(settings.address.to_string())),
            ("zone", text("tulua")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("warmupLeftMs", number(0)),
            ("seq", number(seq)),
            ("born", number(born as u64)),
            ("capacity", capacity),
            ("labels", list(settings.labels.clone().map(text))),
        ]);
        let body = object([("id", text(settings.id.clone())), ("entry", entry)]);
        call(
            settings.store,
            "POST",
            "/standin-entry",
            &body.to_string(),
            HEARTBEAT,
        );
        std::thread::sleep(HEARTBEAT);
    }
}

fn handle(shared: &Mutex<State>, id: &str, stop: Duration, req: &Request) -> Response {
    let until = {
        let mut state = shared.lock().expect("no panic");
        state.advance();
        if req
            .headers
            .get("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return state.answer(421);
        }
        if req.path == "/healthz" {
            return state.answer(200);
        }
        let fence = req.body.get("fence").number();
        if fence < state.fence {
            return state.refuse("fence");
        }
        state.fence = fence;
        match req.path.as_str() {
            "/run-start" => return state.start(&req.body),
            "/run-stop" => return state.stop(&req.body, stop),
            "/hold" => {}
            _ => return state.answer(200),
        }
        let seen = req.body.get("lastSeen").number();
        if seen > 0 && state.ended.iter().any(|(number, _)| *number <= seen) {
            state.record(&format!("seen {seen}"));
        }
        state.ended.retain(|(number, _)| *number > seen);
        if !req.body.get("deadlineMs").is_null() {
            state.extend(req.body.get("deadlineMs").number());
        }
        Instant::now() + Duration::from_millis(req.body.get("waitMs").number())
    };
    loop {
        {
            let state = shared.lock().expect("no panic");
            if !state.ended.is_empty() || Instant::now() >= until {
                return Some((200, state.lists()));
            }
        }
        std::thread::sleep(STEP);
    }
}
