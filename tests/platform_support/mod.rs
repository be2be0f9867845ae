//! A test site: daemon processes, and stand-ins of the platform's store, workers and advice
//! service.
#![allow(dead_code, unused_imports)]

mod capacity;
mod client;
mod crashes;
mod ports;
mod proxy;
mod store;
mod workers;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use capacity::{CAPACITY, HEARTBEAT_INTERVAL};
pub use client::Client;
pub use ports::DaemonPorts;
pub use proxy::FaultProxy;
pub use store::StoreStandin;
pub use workers::{CRASHING, Observations, WorkerStandin};

/// Response of a stand-in; `None` leaves the caller without a response.
pub type JsonResponse = Option<(StatusCode, Value)>;

/// Serves JSON requests on a free loopback port.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(String, String, Value) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = JsonResponse> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let handler = handler.clone();
                async move {
                    let path = req.uri().path().to_string();
                    let query = req.uri().query().unwrap_or_default().to_string();
                    let body = req.into_body().collect().await.map(|body| body.to_bytes());
                    let body = serde_json::from_slice(&body.unwrap_or_default());
                    let Some((status, value)) =
                        handler(path, query, body.unwrap_or(Value::Null)).await
                    else {
                        std::future::pending::<()>().await;
                        unreachable!("a lost response never arrives");
                    };
                    let mut res = Response::new(Full::new(Bytes::from(value.to_string())));
                    *res.status_mut() = status;
                    Ok::<_, Infallible>(res)
                }
            });
            tokio::spawn(async move {
                // The caller may close the connection at any time.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    addr
}

/// A site of stand-ins and real daemons.
pub struct Site {
    pub store: StoreStandin,
    pub workers: Vec<WorkerStandin>,
    pub daemons: Vec<Daemon>,
    pub observed: Arc<Mutex<Observations>>,
    /// Proxies in front of the workers.
    pub worker_links: Vec<FaultProxy>,
    dir: PathBuf,
    dropped: CancellationToken,
    keep_logs: bool,
    /// Limits of the VMs, as the settings name them.
    limits: Value,
}

/// A daemon as a separate process.
pub struct Daemon {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub peer: SocketAddr,
    /// Proxy between the daemon and the store.
    pub store_link: FaultProxy,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    ports: DaemonPorts,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("own process");
    }

    /// Returns the largest memory that the process has had so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = self.proc_file("status");
        let status = std::fs::read_to_string(status).expect("the process lives");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("peak memory") * 1024
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        let open = std::fs::read_dir(self.proc_file("fd")).expect("the process lives");
        open.count()
    }

    fn proc_file(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.child.id())
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("own process").is_some()
    }

    /// Restarts the process if it has exited; returns whether it had.
    pub fn restart_if_exited(&mut self) -> bool {
        let ended = self.child.try_wait().expect("own process").is_some();
        if ended {
            self.child = spawn(&self.settings, &self.log);
        }
        ended
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("own process");
        self.child.wait().expect("own process");
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn terminate(&mut self) {
        self.signal(rustix::process::Signal::TERM);
        self.child.wait().expect("own process");
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("log");
    Command::new(env!("CARGO_BIN_EXE_sapphirecroft"))
        .arg("entry")
        .env("SAPPHIRECROFT_SETTINGS", settings)
        .stdout(Stdio::from(log))
        .spawn()
        .expect("daemon starts")
}

impl Drop for Site {
    fn drop(&mut self) {
        self.dropped.cancel();
        for daemon in &mut self.daemons {
            // Fails for a daemon that has already exited.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        if self.keep_logs || std::thread::panicking() {
            eprintln!("logs of the daemons are in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Site {
    /// Starts a store, workers and daemons, and waits until all daemons are ready.
    pub async fn start(name: &str, workers: usize, daemons: usize) -> Self {
        Self::start_with_limits(name, workers, daemons, Value::Null).await
    }

    /// Starts a site whose settings name these limits of the VMs.
    pub async fn start_with_limits(
        name: &str,
        workers: usize,
        daemons: usize,
        limits: Value,
    ) -> Self {
        let dir = std::env::temp_dir().join(format!("sapphirecroft-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("folder");
        let store = StoreStandin::start().await;
        store.put("op/config", &config(1));
        let mut site = Self {
            store,
            workers: Vec::new(),
            daemons: Vec::new(),
            observed: Arc::default(),
            worker_links: Vec::new(),
            dir,
            dropped: CancellationToken::new(),
            keep_logs: false,
            limits,
        };
        for at in 0..workers {
            let worker = WorkerStandin::start(at, &site.observed).await;
            site.worker_links.push(FaultProxy::start(worker.addr).await);
            site.workers.push(worker);
            site.register(at);
            site.start_heartbeats(at);
        }
        for _ in 0..daemons {
            site.add_daemon().await;
        }
        for at in 0..daemons {
            let readiness = site.daemons[at].readiness;
            let daemon = Mutex::new(&mut site.daemons[at]);
            eventually("a daemon is ready", || async {
                let ended = daemon.lock().child.try_wait().expect("own process");
                assert!(ended.is_none(), "the daemon has ended: {ended:?}");
                call(readiness, "GET", "/readyz", "").await.0 == 200
            })
            .await;
        }
        site
    }

    /// Keeps the logs of the daemons after the test.
    pub fn keep_logs(&mut self) {
        self.keep_logs = true;
    }

    /// Writes the entry of a worker into the store.
    pub fn register(&self, at: usize) {
        let worker = &self.workers[at];
        let entry = worker.entry(self.worker_links[at].addr);
        self.store.put(&format!("servers/{}", worker.id), &entry);
    }

    /// Lets a worker write its entry periodically until the site is dropped.
    fn start_heartbeats(&self, at: usize) {
        let (worker, address) = (self.workers[at].clone(), self.worker_links[at].addr);
        let (store, dropped) = (self.store.clone(), self.dropped.clone());
        tokio::spawn(async move {
            let key = format!("servers/{}", worker.id);
            while !dropped.is_cancelled() {
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                if worker.is_up() {
                    store.put_if_up(&key, &worker.entry(address));
                }
            }
        });
    }

    /// Starts an advice service that allows only the first worker.
    async fn start_advice_service() -> SocketAddr {
        serve(|_, _, _| async {
            let answer = json!({"allowed": [["i-0", "t-i-0"]], "validMs": 3000});
            Some((StatusCode::OK, answer))
        })
        .await
    }

    async fn add_daemon(&mut self) {
        let store_link = FaultProxy::start(self.store.addr).await;
        let ports = DaemonPorts::reserve();
        let at = self.daemons.len();
        let mut settings = json!({
            "nodeName": format!("edge-{at}"), "ip": "127.0.0.1", "zone": "z",
            "listen": {
                "frontend": ports.frontend().to_string(),
                "readiness": ports.readiness().to_string(),
            },
            "internalPorts": ports.internal(),
            "bounds": {"graceS": 6, "holdMaxMs": 6000, "status_s": 120, "impactMs": 4000,
                "configApplyMs": 3000},
            "advice": Self::start_advice_service().await.to_string(),
            "platform": {"address": store_link.addr.to_string(), "ttlMinMs": 1000},
        });
        if !self.limits.is_null() {
            settings["limits"] = self.limits.clone();
        }
        let path = self.dir.join(format!("{at}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = self.dir.join(format!("{at}.log"));
        self.daemons.push(Daemon {
            frontend: ports.frontend(),
            readiness: ports.readiness(),
            peer: ports.peer(),
            ports,
            store_link,
            child: spawn(&path, &log),
            settings: path,
            log,
        });
    }

    /// Submits a job at a daemon and returns the status.
    pub async fn submit(&self, daemon: usize, id: &str, body: &Value) -> u16 {
        let path = format!("/queue/{id}");
        call(
            self.daemons[daemon].frontend,
            "POST",
            &path,
            &body.to_string(),
        )
        .await
        .0
    }

    /// Returns the state of a job as a daemon reports it, or the status of an error response.
    pub async fn state(&self, daemon: usize, id: &str) -> String {
        let path = format!("/queue/{id}");
        let (status, body) = call(self.daemons[daemon].frontend, "GET", &path, "").await;
        match status {
            200 => body["state"].as_str().unwrap_or_default().to_string(),
            status => status.to_string(),
        }
    }

    /// Waits until a daemon reports this state.
    pub async fn wait_for_state(&self, daemon: usize, id: &str, state: &str) {
        eventually(&format!("job {id} is {state}"), || async {
            self.state(daemon, id).await == state
        })
        .await;
    }

    /// Waits until a daemon leads; returns its index.
    pub async fn leader(&self) -> usize {
        let named = || {
            let value = self.store.value("sapphirecroft/leader")?;
            let name = |at: &usize| format!("edge-{at}").into_bytes();
            let names = |at: &usize| value.windows(name(at).len()).any(|part| part == name(at));
            (0..self.daemons.len()).find(names)
        };
        eventually("a daemon leads", || async { named().is_some() }).await;
        named().expect("a leader")
    }

    /// Returns the task and run number of every start that the workers have executed.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.workers
            .iter()
            .flat_map(WorkerStandin::starts)
            .collect()
    }
}

/// Waits up to 30 s for a condition, which is usually met within a few seconds.
pub async fn eventually<F, R>(what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what}: not within 30 s");
}

/// Sends one request over a new connection; status 0 stands for no response.
pub async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> (u16, Value) {
    Client::default().call(addr, method, path, body).await
}

/// Returns a configuration with two queues; the second one needs advice.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r", "host": "host.example", "prefix": "/queue/", "service": "s",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 0,
            "maxAttempts": 3, "stretchFactor": 1.5,
        }, {
            "name": "advised", "host": "host.example", "prefix": "/advised/", "service": "s",
            "priority": 0, "maxAttempts": 3, "stretchFactor": 1.5,
            "advice": {"decideMs": 20, "periodMs": 2, "validMs": 3000},
        }],
        "services": [{"name": "s", "enforcesCapacity": false}],
        "limits": {"maxBodyBytes": 262_144},
    })
}

/// Returns a configuration with so many queues more that its text has at most `bytes` bytes. The
/// last queue of the text has the prefix `/last/`.
pub fn large_config(version: u64, bytes: usize) -> Value {
    let route = |name: String, prefix: String| {
        json!({
            "name": name, "host": "host.example", "prefix": prefix, "service": "s",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 0,
            "maxAttempts": 3, "stretchFactor": 1.5,
        })
    };
    let mut config = config(version);
    let last = route("last".to_string(), "/last/".to_string());
    let mut size = config.to_string().len() + last.to_string().len() + 2;
    let routes = config["routes"].as_array_mut().expect("routes");
    for at in 0.. {
        let route = route(format!("more-{at:05}"), format!("/more-{at:05}/"));
        size += route.to_string().len() + 1;
        if size > bytes {
            break;
        }
        routes.push(route);
    }
    routes.push(last);
    config
}

/// Returns a job of one task that crashes every worker that starts it.
pub fn crashing_job() -> Value {
    json!({"spec": CRASHING, "steps": [
        {"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": 400},
    ]})
}

/// Returns a job of one step.
pub fn one_step_job(tasks: u64, estimate: u64) -> Value {
    json!({"spec": "x", "steps": [
        {"count": tasks, "cpu": 1000, "memMb": 1000, "estimateMs": estimate},
    ]})
}
