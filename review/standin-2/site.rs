//! A site: the platform's stand-ins, and the project's daemons as processes.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Server, call};
use crate::json::{Json, map};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Step, World, handle};

/// Interval of the workers' entries (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1100);

/// Interval at which the workers' time passes while nobody calls them.
const TICK: Duration = Duration::from_millis(5);

/// Time within which a site has to be ready.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// Host of all routes.
const HOST: &str = "desk.example";

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
}

/// Processes that were started and have not been ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_children() {
    let children = CHILDREN
        .lock()
        .map(|mut children| std::mem::take(&mut *children));
    for mut child in children.unwrap_or_default() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Daemon {
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    /// Starts the process with the command of the deploy file.
    fn spawn(&self) -> std::io::Result<Child> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        Command::new("target/release/sapphirecroft")
            .arg("entry")
            .env("SAPPHIRECROFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Returns the fencing token of the last term that the process logged; 0 without one.
    fn last_term(&self) -> u64 {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter_map(Json::parse);
        let terms = lines.filter(|line| line.get("message").text() == "leadership taken");
        terms.map(|line| line.get("fence").int()).max().unwrap_or(0)
    }
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub world: Arc<Mutex<World>>,
    daemons: Vec<Daemon>,
    servers: Vec<Mutex<Server>>,
    _store_server: Server,
    dir: PathBuf,
    ended: Arc<AtomicBool>,
    ticker: Option<JoinHandle<()>>,
    turn: AtomicUsize,
}

/// Returns a loopback address of this process alone, so that cases can be played at the same time.
fn loopback(port: u16) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 77, high, low.clamp(1, 254)], port))
}

/// Returns a free port; with `pair`, the next one is free as well.
fn free_port(pair: bool) -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind(loopback(0))?.local_addr()?.port();
        if !pair || TcpListener::bind(loopback(port.saturating_add(1))).is_ok() {
            return Ok(port);
        }
    }
}

impl Site {
    /// Starts a site with workers of this many millicores and with daemons, and waits until all are
    /// in use.
    pub fn start(
        record: Arc<Record>,
        daemons: usize,
        workers: usize,
        cpu: u64,
        routes: &[Route],
    ) -> std::io::Result<Self> {
        let store = Store::new(record.clone());
        let own = store.clone();
        let store_server = Server::start(loopback(0), Arc::new(move |req| own.handle(req)))?;
        let world = World::new(workers, cpu, record.clone());
        let dir = std::env::temp_dir().join(format!("sapphirecroft-case-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let mut site = Self {
            record,
            store,
            world: Arc::new(Mutex::new(world)),
            daemons: Vec::new(),
            servers: Vec::new(),
            _store_server: store_server,
            dir,
            ended: Arc::default(),
            ticker: None,
            turn: AtomicUsize::new(0),
        };
        site.configure(7, routes);
        for at in 0..workers {
            let server = site.serve_worker(at, loopback(0))?;
            site.world.lock().unwrap().workers[at].address = server.addr;
            site.servers.push(Mutex::new(server));
            site.world.lock().unwrap().begin(at);
            site.write_entry(at);
        }
        site.ticker = Some(site.tick());
        for at in 0..daemons {
            let daemon = site.spawn(at)?;
            site.daemons.push(daemon);
        }
        site.wait_ready()?;
        Ok(site)
    }

    fn serve_worker(&self, at: usize, addr: SocketAddr) -> std::io::Result<Server> {
        let world = self.world.clone();
        Server::start(addr, Arc::new(move |req| handle(&world, at, req)))
    }

    fn write_entry(&self, at: usize) {
        let entry = self.world.lock().unwrap().entry(at);
        if let Some((key, entry)) = entry {
            self.store.put(&key, &entry);
        }
    }

    /// Writes the entries of the workers, and lets their time pass.
    fn tick(&self) -> JoinHandle<()> {
        let (world, store, ended) = (self.world.clone(), self.store.clone(), self.ended.clone());
        std::thread::spawn(move || {
            let mut beat = Instant::now();
            while !ended.load(Ordering::Relaxed) {
                world.lock().unwrap().advance();
                if beat.elapsed() >= HEARTBEAT {
                    beat = Instant::now();
                    let count = world.lock().unwrap().workers.len();
                    for at in 0..count {
                        let entry = world.lock().unwrap().entry(at);
                        if let Some((key, entry)) = entry {
                            store.put(&key, &entry);
                        }
                    }
                }
                std::thread::sleep(TICK);
            }
        })
    }

    /// Writes a configuration in place of the operator.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        let names: Vec<&str> = routes.iter().map(|route| route.name).collect();
        self.record.note(format!(
            "operator: version {version} with the routes {names:?}"
        ));
        let routes: Vec<Json> = routes
            .iter()
            .map(|route| {
                map([
                    ("name", route.name.into()),
                    ("host", HOST.into()),
                    ("prefix", route.prefix.into()),
                    ("kind", "non_idempotent".into()),
                    ("timeoutMs", 3000.into()),
                    ("targetLatencyMs", 1000.into()),
                    ("priority", route.priority.into()),
                    ("service", "desk".into()),
                    ("maxAttempts", 4.into()),
                    ("stretchFactor", Json::Num(2.0)),
                ])
            })
            .collect();
        let service = map([
            ("name", "desk".into()),
            ("healthPath", "/healthz".into()),
            ("maxConns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("enforcesCapacity", false.into()),
            ("standby", false.into()),
        ]);
        let limits = map([
            ("maxHeaderBytes", 16384.into()),
            ("maxBodyBytes", 262144.into()),
            ("headerTimeoutMs", 3000.into()),
            ("idleTimeoutMs", 15000.into()),
        ]);
        let config = map([
            ("version", version.into()),
            ("routes", routes.into()),
            ("services", vec![service].into()),
            ("limits", limits),
        ]);
        self.store.put("op/config", &config);
    }

    fn spawn(&self, at: usize) -> std::io::Result<Daemon> {
        let (frontend, readiness) = (loopback(free_port(false)?), loopback(free_port(false)?));
        let internal = free_port(true)?;
        let ip = frontend.ip();
        let settings = format!(
            r#"{{"nodeName":"edge-{at}","role":"entry","machineClass":"edge","serves":["edge"],
"ip":"{ip}","zone":"z1","region":"r","zones":{{"z1":"r"}},
"listen":{{"frontend":"{frontend}","readiness":"{readiness}"}},"internalPorts":[{internal},{}],
"seeds":[],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1100,
"bounds":{{"contactMs":3000,"ackMs":4000,"drainMs":2000,"graceS":6,"configApplyMs":2000,"holdMaxMs":6000,
"stopTimeoutMs":200,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,
"status_s":120,"checkpointS":0.5,"restoreMs":600,"noticeMs":4500,"impactMs":4000,"paceMs":100}},
"orders":"invoke","advice":null,
"platform":{{"address":"{}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            internal + 1,
            self._store_server.addr
        );
        let daemon = Daemon {
            frontend,
            readiness,
            settings: self.dir.join(format!("boot-{at}.json")),
            log: self.dir.join(format!("edge-{at}.log")),
        };
        std::fs::write(&daemon.settings, settings)?;
        let child = daemon.spawn()?;
        CHILDREN.lock().unwrap().push(child);
        Ok(daemon)
    }

    fn wait_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + READY_WITHIN;
        let timeout = Duration::from_secs(1);
        let is_ready = |daemon: &Daemon| {
            let answer = call(daemon.readiness, "GET", HOST, "/readyz", "", timeout);
            matches!(answer, Ok((200, _)))
        };
        while Instant::now() < until {
            if self.daemons.iter().all(is_ready) && self.lists_are_read() {
                self.record.note("all daemons are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(std::io::Error::other("the site does not get ready"))
    }

    /// Returns whether a leader has called all workers.
    fn lists_are_read(&self) -> bool {
        let world = self.world.lock().unwrap();
        world.workers.iter().all(|worker| worker.has_been_called())
    }

    /// Returns the address of a daemon's frontend; each call takes the next one in turn.
    pub fn next_daemon(&self) -> SocketAddr {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.daemons[turn % self.daemons.len()].frontend
    }

    /// Sends a client's request; `None` without an answer in time.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let daemon = self.next_daemon();
        let short = &body[..body.len().min(160)];
        self.record
            .note(format!("client: {method} {path} to {daemon} {short}"));
        match call(daemon, method, HOST, path, body, timeout) {
            Ok((status, body)) => {
                self.record
                    .note(format!("client: {method} {path} -> {status} {body}"));
                Some((status, body))
            }
            Err(err) => {
                self.record
                    .note(format!("client: {method} {path} -> no answer: {err}"));
                None
            }
        }
    }

    /// Makes a job known to the workers and returns its body.
    pub fn job_body(&self, id: &str, steps: &[Step]) -> String {
        let mut world = self.world.lock().unwrap();
        world.jobs.insert(id.to_string(), steps.to_vec());
        let steps: Vec<Json> = steps.iter().map(Step::to_json).collect();
        map([("spec", "(text)".into()), ("steps", steps.into())]).to_string()
    }

    /// Submits a job and repeats that after no response, 502, 503 and 504, up to four times.
    /// Returns whether it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, steps: &[Step]) -> bool {
        let body = self.job_body(id, steps);
        let path = format!("{prefix}{id}");
        (0..5).any(|_| {
            let answer = self.send("POST", &path, &body, Duration::from_millis(3000));
            let accepted = matches!(answer, Some((200..=299, _)));
            if !accepted {
                std::thread::sleep(Duration::from_millis(500));
            }
            accepted
        })
    }

    /// Asks for the state of a job; empty without an answer that tells it.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        let path = format!("{prefix}{id}");
        match self.send("GET", &path, "", Duration::from_millis(3000)) {
            Some((200, body)) => Json::parse(&body)
                .map(|body| body.get("state").text().to_string())
                .unwrap_or_default(),
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// Ends a worker's process without a trace.
    pub fn crash(&self, at: usize) {
        self.world.lock().unwrap().crash(at);
        self.servers[at].lock().unwrap().stop();
    }

    /// Sends SIGTERM to the daemon that took the leadership last.
    pub fn terminate_leader(&self) -> std::io::Result<()> {
        let daemons = self.daemons.iter().enumerate();
        let leader = daemons.max_by_key(|(_, daemon)| daemon.last_term());
        let at = leader.map_or(0, |(at, _)| at);
        let pid = CHILDREN.lock().unwrap()[at].id();
        self.record.note(format!("SIGTERM to edge-{at}"));
        Command::new("kill")
            .args(["-TERM", &pid.to_string()])
            .status()?;
        Ok(())
    }

    /// Starts the daemons again that have ended.
    pub fn restart_ended(&self) -> std::io::Result<()> {
        for (child, daemon) in CHILDREN.lock().unwrap().iter_mut().zip(&self.daemons) {
            if child.try_wait()?.is_some() {
                self.record
                    .note(format!("{} starts again", daemon.frontend));
                *child = daemon.spawn()?;
            }
        }
        Ok(())
    }

    /// Sleeps until the case is this old.
    pub fn sleep_until(&self, ms: u64) {
        let now = self.record.now();
        std::thread::sleep(Duration::from_millis(ms.saturating_sub(now)));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        end_children();
        self.ended.store(true, Ordering::Relaxed);
        if let Some(ticker) = self.ticker.take() {
            let _ = ticker.join();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
