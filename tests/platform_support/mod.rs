//! Stand-ins that speak the platform's protocol: its store and its workers.
#![allow(dead_code)]

mod client;
mod proxy;
mod store;
mod workers;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
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

pub use client::Client;
pub use proxy::Proxy;
pub use store::StoreStandin;
pub use workers::{Seen, WorkerStandin};

/// An answer of a stand-in; `None` leaves the caller without one.
pub type Answer = Option<(StatusCode, Value)>;

/// Serves JSON calls on a free loopback port.
pub async fn serve<F, R>(answer: F) -> SocketAddr
where
    F: Fn(String, String, Value) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let answer = answer.clone();
                async move {
                    let path = req.uri().path().to_string();
                    let query = req.uri().query().unwrap_or_default().to_string();
                    let body = req.into_body().collect().await.map(|body| body.to_bytes());
                    let body = serde_json::from_slice(&body.unwrap_or_default());
                    let Some((status, value)) =
                        answer(path, query, body.unwrap_or(Value::Null)).await
                    else {
                        std::future::pending::<()>().await;
                        unreachable!("a lost answer never comes");
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
    pub seen: Arc<Mutex<Seen>>,
    /// The way to each worker.
    pub worker_links: Vec<Proxy>,
    dir: PathBuf,
    keep_logs: bool,
}

/// A daemon as a separate process.
pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Its way to the store.
    pub store_link: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("own process");
    }

    /// Starts the process again if it has ended; returns whether it did.
    pub fn revive(&mut self) -> bool {
        let ended = self.child.try_wait().expect("own process").is_some();
        if ended {
            self.child = spawn(&self.settings, &self.log);
        }
        ended
    }

    /// Kills the process without notice.
    pub fn kill(&mut self) {
        self.child.kill().expect("own process");
        self.child.wait().expect("own process");
    }

    /// Asks the process to end and waits for it.
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
        for daemon in &mut self.daemons {
            // A daemon that a test has ended already cannot be ended again.
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

/// First port of this process's range, below the ports that outgoing connections use.
fn first_port() -> u16 {
    let slot = std::process::id() % 200;
    10_000 + u16::try_from(slot).expect("small") * 100
}

/// Returns the first of four neighbouring free ports; no two calls return the same one.
fn free_ports() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let first = first_port() + NEXT.fetch_add(4, Ordering::Relaxed);
        let free = |port| std::net::TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + 4).all(free) {
            return first;
        }
    }
}

impl Site {
    /// Starts a store, workers and daemons, and waits until one daemon can serve.
    pub async fn start(name: &str, workers: usize, daemons: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("sapphirecroft-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("folder");
        let store = StoreStandin::start().await;
        store.put("op/config", &config(1));
        let mut site = Self {
            store,
            workers: Vec::new(),
            daemons: Vec::new(),
            seen: Arc::default(),
            worker_links: Vec::new(),
            dir,
            keep_logs: false,
        };
        for at in 0..workers {
            let worker = WorkerStandin::start(at, &site.seen).await;
            site.worker_links.push(Proxy::start(worker.addr).await);
            site.workers.push(worker);
            site.register(at);
        }
        for _ in 0..daemons {
            site.add_daemon().await;
        }
        for at in 0..daemons {
            let ready = site.daemons[at].ready;
            let daemon = Mutex::new(&mut site.daemons[at]);
            eventually("a daemon is ready", || async {
                let ended = daemon.lock().child.try_wait().expect("own process");
                assert!(ended.is_none(), "the daemon has ended: {ended:?}");
                call(ready, "GET", "/readyz", "").await.0 == 200
            })
            .await;
        }
        site
    }

    /// Keeps the logs of the daemons for someone to read.
    pub fn keep_logs(&mut self) {
        self.keep_logs = true;
    }

    /// Writes a worker's entry into the store.
    pub fn register(&self, at: usize) {
        let worker = &self.workers[at];
        let entry = worker.entry(self.worker_links[at].addr);
        self.store.put(&format!("servers/{}", worker.id), &entry);
    }

    /// Serves advice that allows the first worker alone.
    async fn start_advice() -> SocketAddr {
        serve(|_, _, _| async {
            let answer = json!({"allowed": [["i-0", "t-i-0"]], "validMs": 3000});
            Some((StatusCode::OK, answer))
        })
        .await
    }

    async fn add_daemon(&mut self) {
        let store_link = Proxy::start(self.store.addr).await;
        let front = free_ports();
        let (ready, peer) = (front + 1, front + 2);
        let at = self.daemons.len();
        let settings = json!({
            "nodeName": format!("edge-{at}"), "ip": "127.0.0.1", "zone": "z",
            "listen": {
                "frontend": format!("127.0.0.1:{front}"),
                "readiness": format!("127.0.0.1:{ready}"),
            },
            "internalPorts": [peer, peer + 1],
            "bounds": {"graceS": 6, "holdMaxMs": 6000, "status_s": 120, "impactMs": 4000},
            "advice": Self::start_advice().await.to_string(),
            "platform": {"address": store_link.addr.to_string(), "ttlMinMs": 1000},
        });
        let path = self.dir.join(format!("{at}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log = self.dir.join(format!("{at}.log"));
        self.daemons.push(Daemon {
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            store_link,
            child: spawn(&path, &log),
            settings: path,
            log,
        });
    }

    /// Submits a job at a daemon and returns the status.
    pub async fn submit(&self, daemon: usize, id: &str, body: &Value) -> u16 {
        let path = format!("/queue/{id}");
        call(self.daemons[daemon].front, "POST", &path, &body.to_string())
            .await
            .0
    }

    /// Returns the state of a job as a daemon tells it.
    pub async fn state(&self, daemon: usize, id: &str) -> String {
        let path = format!("/queue/{id}");
        let (status, body) = call(self.daemons[daemon].front, "GET", &path, "").await;
        match status {
            200 => body["state"].as_str().unwrap_or_default().to_string(),
            status => status.to_string(),
        }
    }

    /// Waits until a daemon tells this state.
    pub async fn wait_state(&self, daemon: usize, id: &str, state: &str) {
        eventually(&format!("job {id} is {state}"), || async {
            self.state(daemon, id).await == state
        })
        .await;
    }

    /// All starts that workers have carried out, by task.
    pub fn started(&self) -> Vec<(String, u64)> {
        self.workers
            .iter()
            .flat_map(WorkerStandin::started)
            .collect()
    }
}

/// Waits up to 30 s for a condition; the promise itself is a matter of a few seconds.
pub async fn eventually<F, R>(what: &str, mut holds: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what}: not within 30 s");
}

/// Sends one request on a connection of its own; status 0 stands for no answer.
pub async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> (u16, Value) {
    Client::default().call(addr, method, path, body).await
}

/// A configuration with one queue.
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

/// A job of one step.
pub fn one_step(tasks: u64, estimate: u64) -> Value {
    json!({"spec": "x", "steps": [
        {"count": tasks, "cpu": 1000, "memMb": 1000, "estimateMs": estimate},
    ]})
}
