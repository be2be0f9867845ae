//! End-to-end test of separate entry processes with a killed one and a graceful shutdown.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use sapphirecroft::dev::{Answer, Ask, Installation, LoadClient, Reported, ReservedPort, Site};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::settings::Settings;
use sapphirecroft::settings::render_settings;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest wait for any one condition, long enough for a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

const SITE: Site = Site::TranHai;

/// An entry process that is killed when the test ends.
struct Entry {
    settings: Settings,
    file: PathBuf,
    child: Child,
}

impl Entry {
    fn start(settings: Settings) -> Self {
        let name = format!(
            "sapphirecroft-{}-{}.ini",
            std::process::id(),
            settings.node.vm
        );
        let file = std::env::temp_dir().join(name);
        fs::write(&file, render_settings(&settings)).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_sapphirecroft"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stderr(Stdio::from(
                fs::File::create(file.with_extension("log")).expect("log file"),
            ))
            .spawn()
            .expect("process starts");
        Self {
            settings,
            file,
            child,
        }
    }

    fn addr(&self) -> String {
        self.settings.listen.callers.to_string()
    }

    /// Panics with the log of the process if it has exited.
    fn assert_running(&mut self) {
        if let Some(status) = self.child.try_wait().expect("process is observed") {
            let log = fs::read_to_string(self.file.with_extension("log")).unwrap_or_default();
            panic!("entry process has exited with {status}: {log}");
        }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("signal is sent").success());
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
        let _ = fs::remove_file(self.file.with_extension("log"));
    }
}

fn ask(id: String, work: u64, answer_bytes: usize) -> Ask {
    Ask {
        id,
        service: SITE.service().to_string(),
        class: SITE.classes()[1].to_string(),
        team: SITE.teams()[0].to_string(),
        deadline: Millis(20_000),
        work: Millis(work),
        answer_bytes,
        key: None,
    }
}

/// Sends requests until `count` of them in a row get complete responses.
async fn wait_until_served(entry: &mut Entry, count: usize) {
    let addr = &entry.addr();
    let client = LoadClient::new();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut served = 0;
    while served < count {
        entry.assert_running();
        assert!(Instant::now() < deadline, "{addr} does not serve requests");
        let answer = client
            .send(addr, ask(format!("probe-{served}"), 2, 500))
            .await;
        served = if answer.reported == Reported::Whole {
            served + 1
        } else {
            0
        };
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Submits a job and waits until all its tasks are done.
async fn run_job(installation: &Installation, entry: &Entry, key: &str, tasks: u64) {
    let admin = &entry.settings.listen.admin;
    let job = serde_json::json!({
        "key": key,
        "team": SITE.teams()[1],
        "class": SITE.batch_classes()[0],
        "kind": "plan",
        "tasks": tasks,
        "resources": { "cpu": 2000, "memory": 2000, "accelerators": 0 },
        "run_time": 200,
        "can_checkpoint": true,
    });
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let submitted = installation.call_entry(admin, "/jobs", &job).await;
        let jobs = installation
            .call_entry(admin, "/jobs/list", &serde_json::json!({}))
            .await;
        let done = jobs.ok().and_then(|jobs| {
            let mut jobs = jobs.as_array()?.clone().into_iter();
            jobs.find(|job| job["spec"]["key"] == key)?["done"].as_u64()
        });
        if done == Some(tasks) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "job {key}: {submitted:?}, {done:?} done"
        );
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// Guards against an entry process that loses its port to another process between the choice of the
/// port and its own bind, and then never serves.
#[test]
fn a_reserved_port_is_given_to_no_other_process() {
    let ports: Vec<ReservedPort> = (0..200).map(|_| reserve()).collect();

    let taken: Vec<SocketAddr> = (0..2000)
        .filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok())
        .collect();
    let own = TcpListener::bind(ports[0].addr());

    assert!(ports.iter().all(|port| !taken.contains(&port.addr())));
    assert!(own.is_ok(), "{own:?}");
}

fn reserve() -> ReservedPort {
    ReservedPort::new().expect("port is free")
}

/// Guards against functions that work only if all members share one process: requests, the bundle
/// from the store, batch tasks, takeover after a kill, and shutdown with requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn separate_processes_serve_requests_and_run_tasks() {
    let cancel = CancellationToken::new();
    let installation = Installation::start(SITE, 8, 0, &cancel)
        .await
        .expect("site starts");
    let settings = (1..=3).map(|number| installation.settings(number).expect("ports are free"));
    let mut entries: Vec<Entry> = settings.map(Entry::start).collect();

    for entry in &mut entries {
        wait_until_served(entry, 10).await;
    }
    run_job(&installation, &entries[0], "before", 6).await;

    drop(entries.remove(0));
    wait_until_served(&mut entries[0], 20).await;
    run_job(&installation, &entries[0], "after-a-kill", 6).await;

    let mut leaving = entries.remove(0);
    let answers = shut_down_under_load(&mut leaving).await;
    run_job(&installation, &entries[0], "after-a-shutdown", 6).await;
    cancel.cancel();

    let incomplete: Vec<&Answer> = answers
        .iter()
        .filter(|answer| !matches!(answer.reported, Reported::Whole | Reported::NotRun))
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
    assert!(
        answers
            .iter()
            .any(|answer| answer.reported == Reported::Whole)
    );
}

/// Sends SIGTERM while requests are in flight, and waits until the process exits on its own.
async fn shut_down_under_load(entry: &mut Entry) -> Vec<Answer> {
    let client = LoadClient::new();
    let mut requests = JoinSet::new();
    for number in 0..16 {
        let (client, addr) = (client.clone(), entry.addr());
        let ask = ask(format!("leaving-{number}"), 1500, 100_000);
        requests.spawn(async move { client.send(&addr, ask).await });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    entry.terminate();
    let mut answers = Vec::new();
    while let Some(answer) = requests.join_next().await {
        answers.push(answer.expect("no panic"));
    }
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let status = loop {
        if let Some(status) = entry.child.try_wait().expect("process is a child") {
            break status;
        }
        assert!(Instant::now() < deadline, "process does not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(status.success(), "{status}");
    answers
}
