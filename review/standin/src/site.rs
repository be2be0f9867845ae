//! A small deployment on loopback: the store, workers and daemons, the latter two as processes.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Value, list, number, object, text};
use crate::store::Store;
use crate::worker::now_us;

/// Prefix of the queue.
pub const PREFIX: &str = "/queue/";

/// A worker process that can be killed and started again under its id.
pub struct Worker {
    pub id: String,
    pub log: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
}

impl Worker {
    fn spawn(&mut self) {
        let program = std::env::current_exe().expect("own path");
        let child = Command::new(program)
            .args(&self.args)
            .stdin(Stdio::piped())
            .spawn();
        self.child = Some(child.expect("a worker starts"));
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut log = File::options()
                .append(true)
                .open(&self.log)
                .expect("a record");
            writeln!(log, "{} killed {}", now_us(), self.id).expect("a record");
        }
    }

    /// Starts the process again under the same id and address.
    pub fn restart(&mut self) {
        if self.child.is_none() {
            self.spawn();
        }
    }
}

pub struct Daemon {
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    pub child: Child,
}

/// Figures of a deployment.
pub struct Plan {
    pub workers: usize,
    pub daemons: usize,
    /// The first workers are of kind `b`, the others of kind `a`.
    pub special: usize,
    /// Capacity of a worker in thousandths of a core.
    pub cpu: u64,
    /// `stopTimeoutMs` of the deployment.
    pub stop_timeout_ms: u64,
    /// Time that the workers take for a stop.
    pub stop_ms: u64,
    pub max_attempts: u64,
}

pub struct Site {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    pub record: File,
    folder: PathBuf,
    started_at: Instant,
}

impl Drop for Site {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        for worker in &mut self.workers {
            worker.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a free port at a loopback address. Each process listens at an address of its own, since
/// the connections that others open take ports of 127.0.0.1.
fn free_port(ip: [u8; 4]) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns the first of two consecutive free ports.
fn free_pair(ip: [u8; 4]) -> u16 {
    loop {
        let first = free_port(ip).port();
        let next = first.checked_add(1);
        if next.is_some_and(|next| TcpListener::bind(SocketAddr::from((ip, next))).is_ok()) {
            return first;
        }
    }
}

fn last_byte(at: usize) -> u8 {
    u8::try_from(at + 1).expect("few processes")
}

impl Site {
    /// Starts a deployment and waits until its daemons are ready; `None` if they are not in time.
    pub fn start(plan: &Plan, record: &Path) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        store.put("op/config", &configuration(plan, 1, &["r", "other"]));
        let mut site = Self {
            store,
            workers: Vec::new(),
            daemons: Vec::new(),
            record: File::create(record).expect("a record"),
            folder,
            started_at: Instant::now(),
        };
        for at in 0..plan.workers {
            site.add_worker(at, plan);
        }
        for at in 0..plan.daemons {
            site.add_daemon(at, plan);
        }
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |daemon: &Daemon| {
            let answer = call(
                daemon.readiness,
                "GET",
                "/readyz",
                "",
                Duration::from_secs(1),
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !site.daemons.iter().all(is_ready) {
            if Instant::now() > until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        site.note("all daemons are ready");
        Some(site)
    }

    /// Appends a line to the record.
    pub fn note(&mut self, line: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        writeln!(self.record, "{at:8.3} s  {line}").expect("a record");
        println!("{at:8.3} s  {line}");
    }

    fn add_worker(&mut self, at: usize, plan: &Plan) {
        let id = format!("i-{at:010x}");
        let log = self.folder.join(format!("{id}.log"));
        let listen = free_port([127, 0, 1, last_byte(at)]);
        let args = [
            "worker".to_string(),
            id.clone(),
            listen.to_string(),
            self.store.addr.to_string(),
            plan.cpu.to_string(),
            plan.stop_ms.to_string(),
            if at < plan.special { "b" } else { "a" }.to_string(),
            format!("r{}", at / 8),
            log.display().to_string(),
        ];
        let mut worker = Worker {
            id,
            log,
            args: args.to_vec(),
            child: None,
        };
        worker.spawn();
        self.workers.push(worker);
    }

    fn add_daemon(&mut self, at: usize, plan: &Plan) {
        let ip = [127, 0, 2, last_byte(at)];
        let (frontend, readiness) = (free_port(ip), free_port(ip));
        let inner = u64::from(free_pair(ip));
        let listen = object([
            ("frontend", text(frontend.to_string())),
            ("readiness", text(readiness.to_string())),
        ]);
        let bounds = object([
            ("graceS", number(6)),
            ("holdMaxMs", number(6000)),
            ("status_s", number(120)),
            ("impactMs", number(4000)),
            ("stopTimeoutMs", number(plan.stop_timeout_ms)),
            ("contactMs", number(3000)),
            ("leaseMs", number(3000)),
        ]);
        let platform = object([
            ("address", text(self.store.addr.to_string())),
            ("form", text("kv")),
            ("writesPerS", number(400)),
            ("readsPerS", number(2000)),
            ("historyS", number(20)),
            ("valueBytes", number(1_048_576)),
            ("ttlMinMs", number(1000)),
        ]);
        let settings = object([
            ("nodeName", text(format!("edge-tulua-{at}"))),
            ("role", text("entry")),
            ("machineClass", text("edge")),
            ("serves", list([text("edge")])),
            ("ip", text(frontend.ip().to_string())),
            ("zone", text("tulua")),
            ("region", text("valle")),
            ("listen", listen),
            ("internalPorts", list([number(inner), number(inner + 1)])),
            ("bounds", bounds),
            ("orders", text("invoke")),
            ("platform", platform),
        ]);
        let path = self.folder.join(format!("daemon-{at}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = self.folder.join(format!("daemon-{at}.log"));
        let log = File::create(log).expect("a log");
        let child = Command::new("target/release/sapphirecroft")
            .arg("entry")
            .env("SAPPHIRECROFT_SETTINGS", &path)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn();
        self.daemons.push(Daemon {
            frontend,
            readiness,
            child: child.expect("a daemon starts"),
        });
    }

    /// Sends a request of a client to a daemon; status 0 stands for no answer.
    pub fn call(&self, daemon: usize, method: &str, id: &str, body: &str) -> (u16, Value) {
        let frontend = self.daemons[daemon % self.daemons.len()].frontend;
        let path = format!("{PREFIX}{id}");
        let answer = call(frontend, method, &path, body, Duration::from_secs(3));
        answer.unwrap_or((0, Value::Null))
    }

    /// Submits a job, and again after no answer, a 502 or a 504, at the next daemon.
    pub fn submit(&mut self, daemon: usize, id: &str, body: &Value) -> u16 {
        let mut status = 0;
        for attempt in 0..5 {
            status = self.call(daemon + attempt, "POST", id, &body.to_string()).0;
            if !matches!(status, 0 | 502 | 504) {
                break;
            }
        }
        self.note(&format!("job {id} handed in: {status}"));
        status
    }

    /// Returns the number of waiting jobs that a daemon answers, or the status of another answer.
    pub fn pending(&self, daemon: usize) -> Result<u64, u16> {
        let (status, body) = self.call(daemon, "GET", "", "");
        match status {
            200 => Ok(body.get("pending").number()),
            status => Err(status),
        }
    }

    /// Returns the state of a job as a daemon answers it, or the status of another answer.
    pub fn state(&self, daemon: usize, id: &str) -> String {
        let (status, body) = self.call(daemon, "GET", id, "");
        match status {
            200 => body.get("state").text().to_string(),
            status => status.to_string(),
        }
    }

    /// Returns the log lines of the daemons that contain one of these texts.
    pub fn daemon_lines(&self, texts: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for at in 0..self.daemons.len() {
            let log = std::fs::read_to_string(self.folder.join(format!("daemon-{at}.log")));
            let log = log.unwrap_or_default();
            let found = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            lines.extend(found.map(|line| format!("daemon {at}: {line}")));
        }
        lines
    }

    /// Returns all runs that the workers have recorded.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.workers.iter().flat_map(read_runs).collect()
    }
}

/// One run of a task on one life of a worker, as its worker saw it. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub started: u128,
    /// `None` while it runs.
    pub ended: Option<u128>,
    /// How it ended; `killed` if its worker was killed.
    pub how: String,
}

fn read_runs(worker: &Worker) -> Vec<RunRecord> {
    let text = std::fs::read_to_string(&worker.log).unwrap_or_default();
    let mut runs: Vec<RunRecord> = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let Some(at) = words.first().and_then(|word| word.parse().ok()) else {
            continue;
        };
        match words.get(1..) {
            Some(["start", task, run]) => runs.push(RunRecord {
                task: task.to_string(),
                number: run.parse().unwrap_or(0),
                worker: worker.id.clone(),
                started: at,
                ended: None,
                how: "running".to_string(),
            }),
            Some(["end", task, run, how]) => {
                let number: u64 = run.parse().unwrap_or(0);
                let open = runs.iter_mut().find(|known| {
                    known.ended.is_none() && known.task == *task && known.number == number
                });
                if let Some(open) = open {
                    open.ended = Some(at);
                    open.how = how.to_string();
                }
            }
            Some(["killed", ..]) => {
                for open in runs.iter_mut().filter(|known| known.ended.is_none()) {
                    open.ended = Some(at);
                    open.how = "killed".to_string();
                }
            }
            _ => {}
        }
    }
    runs
}

/// Returns a configuration with these routes; the prefix of route `r` is `PREFIX`.
pub fn configuration(plan: &Plan, version: u64, routes: &[&str]) -> Value {
    let routes = routes.iter().map(|name| route(plan, name));
    let service = object([
        ("name", text("s")),
        ("enforcesCapacity", Value::Bool(false)),
    ]);
    object([
        ("version", number(version)),
        ("routes", list(routes)),
        ("services", list([service])),
        ("limits", object([("maxBodyBytes", number(262_144))])),
    ])
}

fn route(plan: &Plan, name: &str) -> Value {
    let prefix = if name == "r" {
        PREFIX.to_string()
    } else {
        format!("/{name}/")
    };
    object([
        ("name", text(name)),
        ("host", text("host.example")),
        ("prefix", text(prefix)),
        ("service", text("s")),
        ("kind", text("non_idempotent")),
        ("timeoutMs", number(3000)),
        ("targetLatencyMs", number(300)),
        ("priority", number(0)),
        ("maxAttempts", number(plan.max_attempts)),
        ("stretchFactor", Value::Number(1.5)),
    ])
}

/// Returns a job of one step, whose data lies on a rack.
pub fn job(spec: &str, tasks: u64, cpu: u64, estimate_ms: u64, rack: &str) -> Value {
    job_with(spec, tasks, cpu, estimate_ms, ("affinity", text(rack)))
}

/// Returns a job of one step with one more member.
pub fn job_with(
    spec: &str,
    tasks: u64,
    cpu: u64,
    estimate_ms: u64,
    member: (&str, Value),
) -> Value {
    let step = object([
        ("count", number(tasks)),
        ("cpu", number(cpu)),
        ("memMb", number(1000)),
        ("estimateMs", number(estimate_ms)),
        member,
    ]);
    object([("spec", text(spec)), ("steps", list([step]))])
}
