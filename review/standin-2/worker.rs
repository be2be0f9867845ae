//! Stand-in of all workers of a site.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request};
use crate::json::{Json, map};
use crate::record::Record;

/// Longest lease in milliseconds (`holdMaxMs`).
const HOLD_MAX_MS: u64 = 6000;

/// Time that a stop takes, within `stopTimeoutMs`.
const STOP_TIME: Duration = Duration::from_millis(50);

/// Time for which a member of a gang waits for the others (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

/// Work after which a task saves a checkpoint (`checkpointS`).
const CHECKPOINT_MS: f64 = 500.0;

/// Time that a task takes to resume from a checkpoint (`restoreMs`).
const RESTORE_MS: f64 = 600.0;

/// Time that a lasting task takes to start.
const STARTUP_MS: f64 = 400.0;

/// Interval at which a waiting call looks for ends.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// What clients have handed in, as far as workers need it.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub memory: u64,
    /// Length of a task in milliseconds; `None` for tasks that last.
    pub work_ms: Option<u64>,
    pub checkpoint: bool,
    pub gang: bool,
}

impl Step {
    /// Returns the step as a client sends it.
    pub fn to_json(&self) -> Json {
        let mut fields = vec![
            ("count".to_string(), Json::from(self.count)),
            ("cpu".to_string(), self.cpu.into()),
            ("memMb".to_string(), self.memory.into()),
            ("estimateMs".to_string(), self.work_ms.unwrap_or(500).into()),
        ];
        let mut add = |name: &str, value: Json, is_set: bool| {
            if is_set {
                fields.push((name.to_string(), value));
            }
        };
        add("checkpoint", true.into(), self.checkpoint);
        add("gang", true.into(), self.gang);
        add("longRunning", true.into(), self.work_ms.is_none());
        Json::Map(fields)
    }
}

/// A run on a worker.
struct Run {
    task: String,
    /// Name of the step with the occurrence: the task without its index.
    group: String,
    number: u64,
    step: Step,
    /// Work that is done, in milliseconds; negative while the task starts or restores.
    done_ms: f64,
    saved: String,
    saved_at_ms: f64,
    /// Checkpoint that the start carried.
    resumed_from: String,
    pace: f64,
    started: Instant,
    stop_at: Option<Instant>,
    /// All members of the gang have been there at once.
    together: bool,
}

struct End {
    number: u64,
    row: Json,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub memory: u64,
    pub rack: String,
    pub is_up: bool,
    born_ms: u64,
    began: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: Vec<Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
    seq: u64,
    /// The worker is cut off from all daemons and runs on.
    pub is_cut: bool,
}

/// A checkpoint.
struct Saved {
    group: String,
    task: String,
    done_ms: f64,
}

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub job: String,
    pub task: String,
    pub number: u64,
    pub checkpoint: String,
}

/// An end of a run.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at_ms: u64,
    pub task: String,
    pub number: u64,
    pub how: &'static str,
}

/// All workers with what they have seen.
pub struct World {
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Vec<Step>>,
    pub starts: Vec<Start>,
    pub ended: Vec<Ended>,
    /// Tasks with an end as done that a daemon has taken note of.
    noted: HashSet<String>,
    saved: HashMap<String, Saved>,
    advanced: Instant,
    record: Arc<Record>,
}

impl Worker {
    fn new(at: usize, cpu: u64) -> Self {
        Self {
            id: format!("i-{:08x}", 0x5a3f_0000 + at * 0x1d),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cpu,
            memory: 250_000,
            rack: format!("r1-{}", at / 8),
            is_up: false,
            born_ms: 0,
            began: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: Vec::new(),
            closed: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
            seq: 0,
            is_cut: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Returns whether a leader has called this incarnation.
    pub fn has_been_called(&self) -> bool {
        self.fence > 0
    }

    /// Returns the cores in use, as the capacity counts them.
    pub fn used_cpu(&self) -> u64 {
        self.runs.iter().map(|run| run.step.cpu).sum()
    }

    fn used_memory(&self) -> u64 {
        self.runs.iter().map(|run| run.step.memory).sum()
    }

    /// Begins a new incarnation that knows nothing of before.
    fn begin(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        self.born_ms = now.unwrap_or_default().as_millis() as u64;
        self.began = Instant::now();
        self.is_up = true;
        self.fence = 0;
        self.lease_end_ms = 0;
        self.runs.clear();
        self.closed.clear();
        self.ends.clear();
        self.last_end = 0;
        self.seq = 0;
    }

    /// Returns the worker's next entry in the store.
    fn entry(&mut self) -> Json {
        self.seq += 1;
        map([
            ("service", "desk".into()),
            ("address", self.address.to_string().into()),
            ("zone", "z1".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("warmupLeftMs", 0.into()),
            (
                "capacity",
                map([
                    ("cpu", self.cpu.into()),
                    ("memMb", self.memory.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            (
                "labels",
                vec![Json::from("a"), self.rack.as_str().into()].into(),
            ),
            ("clockMs", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("seq", self.seq.into()),
        ])
    }

    fn answer(&self, status: u16, reason: &str) -> Reply {
        let mut fields = vec![("clockMs".to_string(), Json::from(self.clock_ms()))];
        if !reason.is_empty() {
            fields.push(("reason".to_string(), reason.into()));
        }
        Reply::Answer(status, Json::Map(fields))
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(most));
    }

    fn lists(&self) -> Json {
        let running: Vec<Json> = self
            .runs
            .iter()
            .map(|run| {
                let gauge = (run.step.cpu as f64 * run.pace) as u64;
                Json::List(vec![
                    run.task.as_str().into(),
                    run.number.into(),
                    run.saved.as_str().into(),
                    run.percent().into(),
                    gauge.into(),
                ])
            })
            .collect();
        let ended: Vec<Json> = self.ends.iter().map(|end| end.row.clone()).collect();
        map([
            ("clockMs", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("runningCount", running.into()),
            ("ended", ended.into()),
        ])
    }
}

impl Run {
    fn percent(&self) -> u64 {
        match self.step.work_ms {
            Some(work) => (self.done_ms.max(0.0) * 100.0 / work.max(1) as f64).min(99.0) as u64,
            None if self.done_ms >= 0.0 => 100,
            None => 0,
        }
    }

    fn works(&self) -> bool {
        !self.step.gang || self.together
    }
}

/// Splits a task's name into job, number of the step, and name without the index.
fn parse_task(task: &str) -> Option<(String, usize, String)> {
    let (group, _) = task.rsplit_once('.')?;
    let mut parts = task.split('.');
    let job = parts.next()?.to_string();
    let step = parts.nth(1)?.parse().ok()?;
    Some((job, step, group.to_string()))
}

impl World {
    pub fn new(count: usize, cpu: u64, record: Arc<Record>) -> Self {
        Self {
            workers: (0..count).map(|at| Worker::new(at, cpu)).collect(),
            jobs: HashMap::new(),
            starts: Vec::new(),
            ended: Vec::new(),
            noted: HashSet::new(),
            saved: HashMap::new(),
            advanced: Instant::now(),
            record,
        }
    }

    /// Begins the next incarnation of a worker.
    pub fn begin(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.begin();
        self.record.note(format!(
            "worker {} begins, born {}, {} millicores",
            worker.id, worker.born_ms, worker.cpu
        ));
    }

    /// Ends a worker's process without a trace.
    pub fn crash(&mut self, at: usize) {
        self.advance();
        let worker = &mut self.workers[at];
        worker.is_up = false;
        let lost: Vec<Run> = worker.runs.drain(..).collect();
        let id = worker.id.clone();
        self.record
            .note(format!("worker {id} crashes with {} runs", lost.len()));
        for run in lost {
            self.note_end(&id, &run, "lost");
        }
    }

    /// Returns key and value of a worker's entry; `None` while it is down.
    pub fn entry(&mut self, at: usize) -> Option<(String, Json)> {
        let worker = &mut self.workers[at];
        worker
            .is_up
            .then(|| (format!("servers/{}", worker.id), worker.entry()))
    }

    /// Returns whether a run of a task is there.
    pub fn runs_of_job(&self, job: &str) -> usize {
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        runs.filter(|run| run.task.starts_with(job)).count()
    }

    fn note_end(&mut self, id: &str, run: &Run, how: &'static str) {
        self.record.note(format!(
            "worker {id}: {} run {} ends {how}, saved {:?}",
            run.task, run.number, run.saved
        ));
        self.ended.push(Ended {
            at_ms: self.record.now(),
            task: run.task.clone(),
            number: run.number,
            how,
        });
    }

    /// Ends a run on a worker and lists the end.
    fn end(&mut self, at: usize, position: usize, how: &'static str) {
        let worker = &mut self.workers[at];
        let run = worker.runs.remove(position);
        let closed = worker.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.number);
        worker.last_end += 1;
        let saved = if how == "done" { "" } else { &run.saved };
        worker.ends.push(End {
            number: worker.last_end,
            row: Json::List(vec![
                worker.last_end.into(),
                run.task.as_str().into(),
                run.number.into(),
                how.into(),
                saved.into(),
            ]),
        });
        let id = worker.id.clone();
        self.note_end(&id, &run, how);
    }

    /// Lets time pass: tasks work, save, end, are stopped and lapse.
    pub fn advance(&mut self) {
        let passed_ms = self.advanced.elapsed().as_secs_f64() * 1000.0;
        self.advanced = Instant::now();
        self.join_gangs();
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        for (at, worker) in self.workers.iter_mut().enumerate() {
            let lapsed = worker.clock_ms() >= worker.lease_end_ms;
            for run in &mut worker.runs {
                if run.works() {
                    run.done_ms += passed_ms * run.pace;
                }
                if run.step.checkpoint && run.done_ms >= run.saved_at_ms + CHECKPOINT_MS {
                    run.saved_at_ms = run.done_ms;
                    run.saved = format!("{:016x}", 0xbb8_7a21_0000 + self.saved.len() as u64);
                    let saved = Saved {
                        group: run.group.clone(),
                        task: run.task.clone(),
                        done_ms: run.done_ms,
                    };
                    self.saved.insert(run.saved.clone(), saved);
                }
                let is_done = run
                    .step
                    .work_ms
                    .is_some_and(|work| run.done_ms >= work as f64);
                let how = if lapsed {
                    Some("lapsed")
                } else if is_done {
                    Some("done")
                } else if run.stop_at.is_some_and(|at| Instant::now() >= at) {
                    Some("stopped")
                } else if !run.works() && run.started.elapsed() >= GANG_TIMEOUT {
                    Some("alone")
                } else {
                    None
                };
                if let Some(how) = how {
                    ends.push((at, run.task.clone(), how));
                }
            }
        }
        for (at, task, how) in ends {
            let runs = &self.workers[at].runs;
            if let Some(position) = runs.iter().position(|run| run.task == task) {
                self.end(at, position, how);
            }
        }
        self.break_gangs();
    }

    /// Lets the members of a gang work once all of them are there with one checkpoint.
    fn join_gangs(&mut self) {
        let mut present: HashMap<(String, u64, String), u64> = HashMap::new();
        let of = |run: &Run| (run.group.clone(), run.number, run.resumed_from.clone());
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            if run.step.gang {
                *present.entry(of(run)).or_default() += 1;
            }
        }
        for run in self.workers.iter_mut().flat_map(|worker| &mut worker.runs) {
            if run.step.gang && present.get(&of(run)) == Some(&run.step.count) {
                run.together = true;
            }
        }
    }

    /// Ends the members of gangs that have lost others.
    fn break_gangs(&mut self) {
        let mut present: HashMap<(String, u64), u64> = HashMap::new();
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry((run.group.clone(), run.number)).or_default() += 1;
        }
        for at in 0..self.workers.len() {
            let is_broken = |run: &Run| {
                let members = present.get(&(run.group.clone(), run.number));
                run.step.gang && run.together && members < Some(&run.step.count)
            };
            while let Some(position) = self.workers[at].runs.iter().position(is_broken) {
                let is_done = self.workers[at].runs[position]
                    .step
                    .work_ms
                    .is_some_and(|work| {
                        self.workers[at].runs[position].done_ms + 100.0 >= work as f64
                    });
                self.end(at, position, if is_done { "done" } else { "broken" });
            }
        }
    }

    fn start(&mut self, at: usize, body: &Json) -> Reply {
        let task = body.get("task").text().to_string();
        let number = body.get("runId").int();
        let deadline_ms = body.get("deadlineMs").int();
        let checkpoint = body.get("checkpointId").text().to_string();
        let Some((job, step_number, group)) = parse_task(&task) else {
            return self.workers[at].answer(400, "");
        };
        let step = self.jobs.get(&job).and_then(|steps| steps.get(step_number));
        let Some(step) = step.cloned() else {
            self.record
                .fault(format!("UNASKED: start of {task}, which no client sent"));
            return self.workers[at].answer(400, "");
        };
        let worker = &mut self.workers[at];
        if worker
            .runs
            .iter()
            .any(|run| run.task == task && run.number == number)
        {
            worker.extend_lease(deadline_ms);
            return worker.answer(200, "");
        }
        if worker.closed.get(&task).is_some_and(|last| *last >= number) {
            worker.extend_lease(deadline_ms);
            return worker.answer(409, "old");
        }
        if deadline_ms <= worker.clock_ms() {
            return worker.answer(409, "late");
        }
        worker.extend_lease(deadline_ms);
        let resumed = self.saved.get(&checkpoint);
        let is_own =
            resumed.is_some_and(|saved| saved.task == task || (step.gang && saved.group == group));
        if !checkpoint.is_empty() && !is_own {
            self.record.fault(format!(
                "UNASKED: start of {task} run {number} with checkpoint {checkpoint}, which is not the task's"
            ));
        }
        let begin_ms = match (resumed, step.work_ms) {
            (Some(saved), _) => saved.done_ms - RESTORE_MS,
            (None, None) => -STARTUP_MS,
            (None, Some(_)) => 0.0,
        };
        let worker = &mut self.workers[at];
        worker.runs.push(Run {
            task: task.clone(),
            group: group.clone(),
            number,
            done_ms: begin_ms,
            saved: checkpoint.clone(),
            saved_at_ms: begin_ms.max(0.0),
            resumed_from: checkpoint.clone(),
            pace: 1.0,
            started: Instant::now(),
            stop_at: None,
            together: false,
            step,
        });
        self.record.note(format!(
            "worker {}: start of {task} run {number} checkpoint {checkpoint:?} -> 200; {} of {} millicores in use",
            worker.id, worker.used_cpu(), worker.cpu
        ));
        if worker.used_cpu() > worker.cpu || worker.used_memory() > worker.memory {
            self.record.fault(format!(
                "LIMIT: the start of {task} run {number} brings worker {} to {} of {} millicores",
                worker.id,
                worker.used_cpu(),
                worker.cpu
            ));
        }
        self.check_once(at, &task, number);
        self.starts.push(Start {
            at_ms: self.record.now(),
            job,
            task,
            number,
            checkpoint,
        });
        self.workers[at].answer(200, "")
    }

    /// Checks TWICE for a start on a worker: the task runs nowhere else, and has not ended as done.
    fn check_once(&self, at: usize, task: &str, number: u64) {
        for (other, worker) in self.workers.iter().enumerate() {
            let found = worker.runs.iter().find(|run| run.task == task);
            if let (true, true, Some(run)) = (other != at, worker.is_up, found) {
                self.record.fault(format!(
                    "TWICE: run {number} of {task} begins on {} while run {} works on {}",
                    self.workers[at].id, run.number, worker.id
                ));
            }
        }
        if self.noted.contains(task) {
            self.record.fault(format!(
                "TWICE: run {number} of {task} begins after one has ended as done, and that was taken note of"
            ));
        }
    }

    fn note_done(&mut self, noted: Vec<End>) {
        let done = noted
            .iter()
            .filter(|end| end.row.list()[3].text() == "done");
        let tasks = done.map(|end| end.row.list()[1].text().to_string());
        self.noted.extend(tasks);
    }

    /// Cuts a worker off from all daemons, or ends that.
    pub fn cut(&mut self, at: usize, is_cut: bool) {
        let worker = &mut self.workers[at];
        worker.is_cut = is_cut;
        let text = if is_cut {
            "is cut off"
        } else {
            "can be reached"
        };
        self.record.note(format!("worker {} {text}", worker.id));
    }

    fn stop(&mut self, at: usize, body: &Json) -> Reply {
        let task = body.get("task").text();
        let number = body.get("runId").int();
        let worker = &mut self.workers[at];
        let closed = worker.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(number);
        let found = worker
            .runs
            .iter_mut()
            .find(|run| run.task == task && run.number == number);
        if let Some(run) = found
            && run.stop_at.is_none()
        {
            run.stop_at = Some(Instant::now() + STOP_TIME);
            self.record
                .note(format!("worker {}: stop of {task} run {number}", worker.id));
        }
        worker.answer(200, "")
    }

    fn pace(&mut self, at: usize, body: &Json) -> Reply {
        let task = body.get("task").text();
        let percent = body.get("percent").num();
        let worker = &mut self.workers[at];
        let found = worker.runs.iter_mut().find(|run| run.task == task);
        if let Some(run) = found {
            run.pace = percent / 100.0;
            self.record
                .note(format!("worker {}: pace of {task}: {percent}", worker.id));
        }
        worker.answer(200, "")
    }
}

/// Handles a call to a worker.
pub fn handle(world: &Mutex<World>, at: usize, req: &Request) -> Reply {
    let body = Json::parse(&req.body).unwrap_or(Json::Null);
    let until = {
        let mut world = world.lock().unwrap();
        world.advance();
        let worker = &mut world.workers[at];
        if !worker.is_up {
            return Reply::Close;
        }
        if worker.is_cut {
            return Reply::Lost;
        }
        if req.instance.as_ref().is_some_and(|id| *id != worker.id) {
            return worker.answer(421, "");
        }
        let fence = body.get("fence").int();
        if fence < worker.fence {
            return worker.answer(409, "fence");
        }
        worker.fence = fence;
        match req.path.as_str() {
            "/run-start" => return world.start(at, &body),
            "/run-stop" => return world.stop(at, &body),
            "/pace" => return world.pace(at, &body),
            "/hold" => {}
            _ => return worker.answer(404, ""),
        }
        let last_seen = body.get("lastSeen").int();
        let (noted, kept) = std::mem::take(&mut worker.ends)
            .into_iter()
            .partition(|end| end.number <= last_seen);
        worker.ends = kept;
        let deadline_ms = body.get("deadlineMs").int();
        if deadline_ms > 0 {
            worker.extend_lease(deadline_ms);
        }
        world.note_done(noted);
        Instant::now() + Duration::from_millis(body.get("waitMs").int().min(2000))
    };
    let born_ms = world.lock().unwrap().workers[at].born_ms;
    loop {
        {
            let mut world = world.lock().unwrap();
            world.advance();
            let worker = &world.workers[at];
            if !worker.is_up || worker.born_ms != born_ms {
                return Reply::Close;
            }
            if worker.is_cut {
                return Reply::Lost;
            }
            if !worker.ends.is_empty() || Instant::now() >= until {
                return Reply::Answer(200, worker.lists());
            }
        }
        std::thread::sleep(WAIT_INTERVAL);
    }
}
