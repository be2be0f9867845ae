//! Processor time of the leader's decisions on a busy fleet, without any I/O.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::scheduler::{
    Command, JobSpec, PollPlan, Queue, QueueTable, RunCompletion, RunOutcome, RunStatus, Scheduler,
    StartResponse, StepSpec, TaskKey, Timing, WorkerEntry, WorkerReport,
};

/// Numbers of workers that are measured: today's, the grown and the planned fleet.
const FLEETS: [u32; 3] = [66, 490, 1000];

/// Length of one simulated step.
const STEP: Millis = Millis(10);

/// Simulated time.
const LENGTH: Millis = Millis(20_000);

/// Time between the jobs that arrive, for a fleet of 490 workers.
const JOB_EVERY_US: u64 = 33_000;

/// Lasting jobs at the start for each hundred workers; they reserve about half of the processors.
const LASTING_PER_HUNDRED: u32 = 16;

/// Time from a start to the first list that shows it.
const HEARD_AFTER: Millis = Millis(5);

/// Cost of decisions on one fleet.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct LeaderCost {
    /// Workers of the fleet.
    pub workers: u32,
    /// Runs that were started.
    pub runs: u64,
    /// Lists that were taken in.
    pub reports: u64,
    /// Milliseconds of processor time by kind of work.
    pub spent_ms: BTreeMap<String, u64>,
    /// Microseconds of processor time for each run.
    pub micros_per_run: f64,
}

/// Result of the measurement.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct LeaderReport {
    /// Cost by size of the fleet.
    pub costs: Vec<LeaderCost>,
}

impl fmt::Display for LeaderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, cost) in self.costs.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(
                f,
                "{:>5} workers: {} runs, {} reports, {:.0} us a run;",
                cost.workers, cost.runs, cost.reports, cost.micros_per_run
            )?;
            for (kind, ms) in &cost.spent_ms {
                write!(f, " {kind} {ms} ms")?;
            }
        }
        Ok(())
    }
}

/// Measures the decisions at all sizes of a fleet.
pub fn run_leader(seed: u64) -> LeaderReport {
    let costs = FLEETS.iter().map(|&workers| measure(workers, seed));
    LeaderReport {
        costs: costs.collect(),
    }
}

struct FleetWorker {
    id: WorkerId,
    /// Runs with the time of their end; none for tasks that last.
    runs: BTreeMap<TaskKey, (u32, Option<Millis>, bool)>,
    ended: Vec<RunCompletion>,
    number: u64,
    next_read: Millis,
}

struct Site {
    sched: Scheduler,
    rng: ChaCha8Rng,
    workers: Vec<FleetWorker>,
    index: HashMap<WorkerId, usize>,
    spent: BTreeMap<String, Duration>,
    runs: u64,
    reports: u64,
    revision: u64,
}

fn measure(workers: u32, seed: u64) -> LeaderCost {
    let mut site = Site::new(workers, seed);
    let mut now = Millis(1000);
    for number in 0..workers * LASTING_PER_HUNDRED / 100 {
        site.submit(&format!("lasting{number}"), "urgent", lasting(), now);
    }
    let every = JOB_EVERY_US * 490 / u64::from(workers);
    let mut due_us = 0;
    let mut jobs = 0;
    let end = now + LENGTH;
    while now < end {
        while due_us < now.0 * 1000 {
            due_us += every;
            jobs += 1;
            let (queue, spec) = site.next_job();
            site.submit(&format!("job{jobs}"), queue, spec, now);
        }
        site.step(now);
        now = now + STEP;
    }
    let total: Duration = site.spent.values().sum();
    LeaderCost {
        workers,
        runs: site.runs,
        reports: site.reports,
        micros_per_run: total.as_secs_f64() * 1e6 / site.runs.max(1) as f64,
        spent_ms: site
            .spent
            .into_iter()
            .map(|(kind, spent)| (kind, u64::try_from(spent.as_millis()).unwrap_or(u64::MAX)))
            .collect(),
    }
}

impl Site {
    fn new(workers: u32, seed: u64) -> Self {
        let timing = Timing {
            run_lease: Millis(5800),
            longest_lease: Millis(6000),
            former_leases: Millis(8300),
            ended_retention: Millis(140_000),
            violation_after: Millis(4000),
        };
        let mut sched = Scheduler::new(timing, 1, queues(), Millis(1000));
        let mut found = Vec::new();
        let mut index = HashMap::new();
        for number in 0..workers {
            let Ok(id) = format!("i-{number:010x}").parse::<WorkerId>() else {
                continue;
            };
            let entry = WorkerEntry {
                id: id.clone(),
                incarnation: 1,
                service: "service".to_string(),
                address: "127.0.0.1:1".to_string(),
                capacity: Resources::new(64_000, 250_000, 0),
                labels: vec!["a".to_string(), format!("r{}", number / 8)],
                draining: false,
            };
            sched.set_entry(entry, Millis(1000));
            index.insert(id.clone(), found.len());
            found.push(FleetWorker {
                id,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                number: 0,
                next_read: Millis(1000),
            });
        }
        Self {
            sched,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: found,
            index,
            spent: BTreeMap::new(),
            runs: 0,
            reports: 0,
            revision: 1,
        }
    }

    fn submit(&mut self, name: &str, queue: &str, mut spec: JobSpec, now: Millis) {
        spec.queue = queue.to_string();
        let Ok(id) = name.parse() else { return };
        self.timed("submit", |site| {
            site.sched.add_job(id, spec, None, now, Timestamp(now.0));
        });
    }

    /// Draws a job: half are short and urgent, half are plans that mostly fill.
    fn next_job(&mut self) -> (&'static str, JobSpec) {
        let urgent = self.rng.random_bool(0.5);
        let steps = self.rng.random_range(1..=2u32);
        let image = format!("image{}", self.rng.random_range(0..9u32));
        let fills = self.rng.random_bool(0.6);
        let step = |number: u32| StepSpec {
            tasks: if urgent { 10 } else { 20 },
            need: Resources::new(if urgent { 11_000 } else { 7000 }, 13_000, 0),
            estimate: Millis(if urgent { 640 } else { 2700 }),
            after: if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            },
            checkpoints: !urgent,
            image: if urgent { String::new() } else { image.clone() },
            best_effort: !urgent && fills,
            ..StepSpec::default()
        };
        let spec = JobSpec {
            payload: "payload".to_string(),
            steps: (0..steps).map(step).collect(),
            ..JobSpec::default()
        };
        (if urgent { "urgent" } else { "patient" }, spec)
    }

    fn step(&mut self, now: Millis) {
        if now.0.is_multiple_of(100) {
            self.timed("tick", |site| site.sched.tick(now));
        }
        for at in 0..self.workers.len() {
            self.read(at, now);
        }
        self.timed("plan", |site| {
            site.sched.plan(now);
        });
        while let Some(batch) = self.timed("commit", |site| site.sched.next_batch(1)) {
            self.revision += 1;
            let revision = self.revision;
            self.timed("commit", |site| {
                site.sched.on_commit(&batch, revision, now);
            });
        }
        self.deliver(now);
    }

    fn read(&mut self, at: usize, now: Millis) {
        let worker = &mut self.workers[at];
        let over: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, (_, end, _))| end.is_some_and(|end| end <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for task in over {
            if let Some((run, _, _)) = worker.runs.remove(&task) {
                worker.number += 1;
                worker.ended.push(RunCompletion {
                    sequence: worker.number,
                    task,
                    run,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
        }
        if now < worker.next_read && worker.ended.is_empty() {
            return;
        }
        let id = worker.id.clone();
        let plan = self.timed("hold", |site| site.sched.poll_plan(&id, now));
        let worker = &mut self.workers[at];
        match plan {
            PollPlan::Call {
                last_acknowledged,
                wait,
                ..
            } => {
                worker.ended.retain(|end| end.sequence > last_acknowledged);
                worker.next_read = now + wait;
            }
            PollPlan::Pause(pause) => {
                worker.next_read = now + pause;
                return;
            }
            PollPlan::Forget => return,
        }
        let running = worker
            .runs
            .iter()
            .map(|(task, (run, _, serves))| RunStatus {
                task: task.clone(),
                run: *run,
                checkpoint: "00000bb87a21d94b".to_string(),
                percent: if *serves { 100 } else { 50 },
                gauge: if *serves { 30 } else { 7000 },
            });
        let report = WorkerReport {
            incarnation: 1,
            clock: now,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.reports += 1;
        self.timed("report", |site| {
            site.sched
                .on_report(&id, now, now, Timestamp(now.0), &report);
        });
    }

    fn deliver(&mut self, now: Millis) {
        let orders = self.timed("orders", |site| site.sched.take_commands());
        for order in orders {
            match order {
                Command::Start(start) => {
                    self.runs += 1;
                    let lasts = start.task.job.to_string().starts_with("lasting");
                    let length = Millis(self.rng.random_range(300..4000));
                    if let Some(&at) = self.index.get(&start.worker) {
                        let end = (!lasts).then(|| now + HEARD_AFTER + length);
                        let row = (start.run, end, lasts);
                        self.workers[at].runs.insert(start.task.clone(), row);
                    }
                    self.timed("answer", |site| {
                        site.sched
                            .on_start_response(&start, StartResponse::Started, now);
                    });
                }
                Command::Stop(stop) => {
                    let Some(&at) = self.index.get(&stop.worker) else {
                        continue;
                    };
                    let worker = &mut self.workers[at];
                    if worker.runs.remove(&stop.task).is_some() {
                        worker.number += 1;
                        worker.ended.push(RunCompletion {
                            sequence: worker.number,
                            task: stop.task.clone(),
                            run: stop.run,
                            outcome: RunOutcome::Interrupted,
                            checkpoint: String::new(),
                        });
                    }
                    self.timed("answer", |site| {
                        site.sched.on_stop_response(&stop, true, now);
                    });
                }
                Command::Pace { .. } | Command::Advise(_) => {}
            }
        }
    }

    fn timed<T>(&mut self, kind: &str, f: impl FnOnce(&mut Self) -> T) -> T {
        let began = Instant::now();
        let result = f(self);
        *self.spent.entry(kind.to_string()).or_default() += began.elapsed();
        result
    }
}

fn lasting() -> JobSpec {
    JobSpec {
        payload: "payload".to_string(),
        steps: vec![StepSpec {
            tasks: 14,
            need: Resources::new(13_000, 26_000, 0),
            estimate: Millis(500),
            long_running: true,
            image: "server".to_string(),
            tail_target: Some(Millis(50)),
            max_per_worker: Some(2),
            allow_miss: Some(1),
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    }
}

fn queues() -> Arc<QueueTable> {
    let queue = |name: &str, priority| Queue {
        name: name.to_string(),
        host: "host".to_string(),
        prefix: format!("/{name}/"),
        service: "service".to_string(),
        priority,
        max_attempts: 4,
        stretch_permille: 2000,
        target_latency: Millis(1000),
        advice: None,
    };
    let all = [queue("urgent", 0), queue("patient", 2)];
    Arc::new(QueueTable {
        version: 1,
        queues: all
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        max_body: 262_144,
        ..QueueTable::default()
    })
}
