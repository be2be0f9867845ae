//! Tasks that crash the workers that start them, and crashes that are not a task's fault.

mod scheduler_support;

use std::collections::BTreeMap;

use sapphirecroft::prelude::*;
use sapphirecroft::scheduler::{
    Crashes, Evidence, JobRecord, JobSpec, JobView, Phase, Placement, RunCompletion, RunOutcome,
    RunStatus, Scheduler, StartCommand, StartResponse, StepSpec, TaskKey, TaskRecord, WorkerEntry,
    WorkerReport,
};
use scheduler_support::*;

/// Time for which a crashed worker is away.
const AWAY: u64 = 3000;

/// Starts of a task that crashes its workers: three, and one more if a neighbour could have been
/// the cause of the third crash.
const MOST_STARTS: usize = 4;

/// How a crashed worker returns.
#[derive(Clone, Copy)]
enum Return {
    SameId,
    OtherId,
}

struct FleetWorker {
    entry: WorkerEntry,
    /// Runs with the times of their ends.
    runs: BTreeMap<TaskKey, (u32, u64)>,
    ended: Vec<RunCompletion>,
    back_at: Option<u64>,
}

/// Workers and a store around one leader; tasks of jobs whose ids begin with `crashing` crash their
/// workers, all others take a second.
struct Fleet {
    sched: Scheduler,
    specs: BTreeMap<JobId, JobSpec>,
    records: BTreeMap<JobId, (Vec<u8>, u64)>,
    revision: u64,
    now: u64,
    workers: Vec<FleetWorker>,
    returns: Return,
    /// Time for which a crashed worker is away.
    away: u64,
    /// A crashed worker is gone from the store at once.
    removes_entries: bool,
    crashing_starts: Vec<StartCommand>,
}

impl Fleet {
    fn new(workers: usize, returns: Return) -> Self {
        let mut fleet = Self {
            sched: leader(Millis(0)),
            specs: BTreeMap::new(),
            records: BTreeMap::new(),
            revision: 1,
            now: 0,
            workers: Vec::new(),
            returns,
            away: AWAY,
            removes_entries: false,
            crashing_starts: Vec::new(),
        };
        for at in 0..workers {
            let entry = entry(at, 1, 4000, 64_000);
            register(&mut fleet.sched, entry.clone(), Millis(0));
            fleet.workers.push(FleetWorker {
                entry,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                back_at: None,
            });
        }
        fleet
    }

    fn submit(&mut self, name: &str, spec: JobSpec) {
        self.specs.insert(id(name), spec.clone());
        submit(&mut self.sched, name, spec, Millis(self.now));
    }

    /// Replaces the leader by one that knows only the store and the entries of the workers.
    fn change_leader(&mut self) {
        let now = Millis(self.now);
        self.sched = leader(now);
        for (id, spec) in &self.specs {
            let record = self.records.get(id);
            let record = record.map(|(value, revision)| (decode_record(value), *revision));
            let wall = Timestamp(self.now);
            self.sched
                .add_job(id.clone(), spec.clone(), record, now, wall);
        }
        for worker in &self.workers {
            if worker.back_at.is_none() {
                self.sched.set_entry(worker.entry.clone(), now);
            }
        }
    }

    fn simulate(&mut self, until: u64) {
        while self.now < until {
            self.now += 100;
            self.return_workers();
            self.report();
            self.sched.tick(Millis(self.now));
            self.start();
        }
    }

    fn return_workers(&mut self) {
        let now = Millis(self.now);
        for (at, worker) in self.workers.iter_mut().enumerate() {
            if worker.back_at.is_some_and(|at| at <= self.now) {
                worker.back_at = None;
                let old = worker.entry.clone();
                worker.entry.incarnation = self.now;
                if let Return::OtherId = self.returns {
                    worker.entry.id = worker_id(at + self.now as usize);
                    self.sched.mark_worker_dead(&old.id, old.incarnation, now);
                }
                self.sched.set_entry(worker.entry.clone(), now);
            }
        }
    }

    fn report(&mut self) {
        for worker in &mut self.workers {
            if worker.back_at.is_some() {
                self.sched
                    .on_poll_failure(&worker.entry.id, worker.entry.incarnation, "refused");
                continue;
            }
            let over: Vec<_> = worker
                .runs
                .iter()
                .filter(|(_, (_, end))| *end <= self.now)
                .map(|(task, (run, _))| (task.clone(), *run))
                .collect();
            for (task, run) in over {
                worker.runs.remove(&task);
                worker.ended.push(RunCompletion {
                    sequence: worker.ended.len() as u64 + 1,
                    task,
                    run,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
            let status = |(task, (run, end)): (&_, &(u32, u64))| {
                running_status(task, *run, end.saturating_sub(self.now) as u32 / 10)
            };
            let report = WorkerReport {
                running: worker.runs.iter().map(status).collect(),
                ended: worker.ended.clone(),
                ..WorkerReport::default()
            };
            let (id, incarnation) = (&worker.entry.id, worker.entry.incarnation);
            deliver_report(&mut self.sched, id, incarnation, Millis(self.now), report);
        }
    }

    fn start(&mut self) {
        let now = Millis(self.now);
        self.sched.plan(now);
        while let Some(batch) = self.sched.next_batch(1) {
            self.revision += 1;
            for write in &batch.writes {
                let record = (write.value.clone(), self.revision);
                self.records.insert(write.job.clone(), record);
            }
            self.sched.on_commit(&batch, self.revision, now);
        }
        let commands = self.sched.take_commands();
        for stop in stops(&commands) {
            let worker = self.workers.iter_mut().find(|w| w.entry.id == stop.worker);
            if let Some(worker) = worker.filter(|worker| worker.back_at.is_none()) {
                worker.runs.remove(&stop.task);
                let sched = &mut self.sched;
                sched.on_stop_response(&stop, true, now);
            }
        }
        for start in starts(&commands) {
            let worker = self.workers.iter_mut().find(|w| w.entry.id == start.worker);
            let Some(worker) = worker.filter(|worker| worker.back_at.is_none()) else {
                respond(&mut self.sched, &start, StartResponse::Unknown, now);
                continue;
            };
            worker
                .runs
                .insert(start.task.clone(), (start.run, self.now + 1000));
            respond(&mut self.sched, &start, StartResponse::Started, now);
            if start.task.job.to_string().starts_with("crashing") {
                worker.runs.clear();
                worker.ended.clear();
                worker.back_at = Some(self.now + self.away);
                if self.removes_entries {
                    self.sched.remove_entry(&worker.entry.id);
                }
                self.crashing_starts.push(start);
            }
        }
    }

    fn view(&self, name: &str) -> Option<JobView> {
        self.sched.view(&id(name))
    }
}

fn running_status(task: &TaskKey, run: u32, percent: u32) -> RunStatus {
    RunStatus {
        task: task.clone(),
        run,
        checkpoint: String::new(),
        percent,
        gauge: 0,
    }
}

/// Starts the only task of job `a` on worker 1 and returns the start.
fn start_one(sched: &mut Scheduler, spec: JobSpec) -> StartCommand {
    register(sched, entry(1, 1, 8000, 8000), Millis(0));
    submit(sched, "a", spec, Millis(0));
    let start = starts(&plan_and_commit(sched, 1, Millis(0))).remove(0);
    respond(sched, &start, StartResponse::Started, Millis(5));
    start
}

/// Returns the crashes in the next record of a job with one task, and commits it.
fn recorded_crashes(sched: &mut Scheduler, now: Millis) -> u32 {
    let batch = sched.next_batch(1).expect("a record waits");
    let record = decode_record(&batch.writes[0].value);
    sched.on_commit(&batch, 9, now);
    record.tasks[0].crashes.count()
}

/// Guards against a task that takes one worker after the other out of service until it is
/// cancelled.
#[test]
fn a_task_that_crashes_every_worker_is_given_up() {
    for returns in [Return::SameId, Return::OtherId] {
        let mut fleet = Fleet::new(6, returns);
        fleet.submit("crashing", job("patient", vec![step(1, 1000, 1000)]));

        fleet.simulate(60_000);

        let starts = fleet.crashing_starts.len();
        assert!((3..=MOST_STARTS).contains(&starts), "{starts} starts");
        assert_eq!(fleet.view("crashing"), Some(JobView::Failed));
    }
}

/// Guards against a long-running task that crashes workers for as long as the job lasts: its
/// failures are not limited.
#[test]
fn a_long_running_task_that_crashes_every_worker_is_given_up() {
    let mut fleet = Fleet::new(6, Return::OtherId);
    let mut one = step(1, 1000, 1000);
    one.long_running = true;
    fleet.submit("crashing", job("urgent", vec![one]));

    fleet.simulate(60_000);

    let starts = fleet.crashing_starts.len();
    assert!((3..=MOST_STARTS).contains(&starts), "{starts} starts");
    assert_eq!(fleet.view("crashing"), Some(JobView::Failed));
}

/// Guards against a count that is lost with the leader: each crash is followed by a new leader,
/// which finds out about it.
#[test]
fn crashes_count_across_changes_of_the_leader() {
    let mut fleet = Fleet::new(6, Return::SameId);
    fleet.submit("crashing", job("patient", vec![step(1, 1000, 1000)]));
    let mut crashes = 0;

    while fleet.now < 90_000 {
        fleet.simulate(fleet.now + 100);
        if fleet.crashing_starts.len() > crashes {
            crashes = fleet.crashing_starts.len();
            fleet.simulate(fleet.now + 1000);
            fleet.change_leader();
        }
    }

    let starts = fleet.crashing_starts.len();
    assert!((3..=MOST_STARTS).contains(&starts), "{starts} starts");
    assert_eq!(fleet.view("crashing"), Some(JobView::Failed));
}

/// Guards against jobs that fail because their tasks ran beside one that crashes workers.
#[test]
fn neighbours_of_a_task_that_crashes_workers_complete() {
    let mut fleet = Fleet::new(5, Return::OtherId);
    for at in 0..40 {
        let spec = job("patient", vec![step(3, 500, 500)]);
        fleet.submit(&format!("n{at}"), spec);
    }
    for at in 0..3 {
        let spec = job("patient", vec![step(1, 500, 500)]);
        fleet.submit(&format!("crashing{at}"), spec);
    }

    fleet.simulate(120_000);

    for at in 0..40 {
        assert_eq!(fleet.view(&format!("n{at}")), Some(JobView::Completed));
    }
    for at in 0..3 {
        assert_eq!(fleet.view(&format!("crashing{at}")), Some(JobView::Failed));
    }
    let starts = fleet.crashing_starts.len();
    assert!(starts <= 3 * MOST_STARTS, "{starts} starts");
}

/// Guards against a job that fails because its workers were restarted one after the other.
#[test]
fn the_restart_of_a_draining_worker_counts_for_nothing() {
    let mut sched = leader(Millis(0));
    start_one(&mut sched, job("patient", vec![step(1, 1000, 1000)]));

    let mut draining = entry(1, 1, 8000, 8000);
    draining.draining = true;
    sched.set_entry(draining, Millis(100));
    sched.set_entry(entry(1, 2, 8000, 8000), Millis(3000));

    assert_eq!(recorded_crashes(&mut sched, Millis(3000)), 0);
}

/// Guards against counting the planned end of a worker whose entry is already gone.
#[test]
fn the_end_of_a_worker_that_had_drained_counts_for_nothing() {
    let mut sched = leader(Millis(0));
    start_one(&mut sched, job("patient", vec![step(1, 1000, 1000)]));

    let mut draining = entry(1, 1, 8000, 8000);
    draining.draining = true;
    sched.set_entry(draining, Millis(100));
    sched.remove_entry(&worker_id(1));
    sched.mark_worker_dead(&worker_id(1), 1, Millis(3000));

    assert_eq!(recorded_crashes(&mut sched, Millis(3000)), 0);
}

/// Lets the lease of a silent worker lapse; returns the time.
fn lapse(sched: &mut Scheduler) -> Millis {
    for now in (100..10_000).step_by(250).map(Millis) {
        sched.on_poll_failure(&worker_id(1), 1, "silent");
        sched.tick(now);
    }
    assert_eq!(recorded_crashes(sched, Millis(10_000)), 0);
    Millis(10_000)
}

/// Guards against blaming tasks for a worker that was only cut off.
#[test]
fn a_silent_worker_that_returns_counts_for_nothing() {
    let mut sched = leader(Millis(0));
    start_one(&mut sched, job("patient", vec![step(1, 1000, 1000)]));
    let now = lapse(&mut sched);

    deliver_report(&mut sched, &worker_id(1), 1, now, WorkerReport::default());
    sched.set_entry(entry(1, 2, 8000, 8000), now + Millis(100));
    sched.plan(now + Millis(100));

    assert!(sched.next_batch(1).is_none(), "nothing has changed");
}

/// Guards against a crash that goes uncounted because the worker returned only after its lease had
/// lapsed, under its id or under another one at its address.
#[test]
fn a_silent_worker_that_returns_anew_has_crashed() {
    for other in [1, 2] {
        let mut sched = leader(Millis(0));
        start_one(&mut sched, job("patient", vec![step(1, 1000, 1000)]));
        let now = lapse(&mut sched);
        let mut anew = entry(1, 2, 8000, 8000);
        anew.id = worker_id(other);

        sched.set_entry(anew, now + Millis(100));

        assert_eq!(recorded_crashes(&mut sched, now + Millis(100)), 1);
    }
}

/// Guards against crashes that a change of the leader hides: the entry of the crashed worker is gone
/// when the successor reads the store, and it returns under another id. A worker that was cut off
/// for as long answers again, and then the task is cleared.
#[test]
fn a_worker_that_is_gone_from_the_store_counts_until_it_answers() {
    let mut first = leader(Millis(0));
    let one = job("patient", vec![step(1, 1000, 1000)]);
    register(&mut first, entry(1, 1, 8000, 8000), Millis(0));
    submit(&mut first, "a", one.clone(), Millis(0));
    first.plan(Millis(0));
    let batch = first.next_batch(1).expect("a record waits");
    let record = decode_record(&batch.writes[0].value);
    let mut second = leader(Millis(1000));
    second.add_job(
        id("a"),
        one,
        Some((record, 3)),
        Millis(1000),
        Timestamp(1000),
    );

    second.tick(Millis(1000) + TAKEOVER_EXPIRY + Millis(400));
    let while_gone = recorded_crashes(&mut second, Millis(14_000));
    register(&mut second, entry(1, 1, 8000, 8000), Millis(15_000));
    let once_back = recorded_crashes(&mut second, Millis(15_000));

    assert_eq!((while_gone, once_back), (1, 0));
}

/// Guards against a crash that goes uncounted because a further worker has come to the address, and
/// crashed too, before the leader reached it.
#[test]
fn a_worker_that_was_replaced_at_its_address_has_crashed() {
    let mut sched = leader(Millis(0));
    start_one(&mut sched, job("patient", vec![step(1, 1000, 1000)]));
    let mut next = entry(1, 2, 8000, 8000);
    next.id = worker_id(2);

    sched.set_entry(next, Millis(3000));
    sched.remove_entry(&worker_id(2));
    for now in (3100..10_000).step_by(250).map(Millis) {
        sched.on_poll_failure(&worker_id(1), 1, "refused");
        sched.tick(now);
    }

    assert_eq!(recorded_crashes(&mut sched, Millis(10_000)), 1);
}

/// Guards against suspicion of a task that has long been at work when its worker crashes.
#[test]
fn a_run_that_has_been_on_its_worker_for_long_is_not_suspected() {
    let mut sched = leader(Millis(0));
    let mut one = step(1, 1000, 1000);
    one.long_running = true;
    let start = start_one(&mut sched, job("patient", vec![one]));
    for now in (500..12_000).step_by(500).map(Millis) {
        let report = WorkerReport {
            running: vec![running_status(&start.task, start.run, 100)],
            ..WorkerReport::default()
        };
        deliver_report(&mut sched, &worker_id(1), 1, now, report);
    }

    sched.mark_worker_dead(&worker_id(1), 1, Millis(12_100));

    assert_eq!(recorded_crashes(&mut sched, Millis(12_100)), 0);
}

/// Guards against crashes that stay counted although the task has since run for long, so that an
/// innocent long-running task fails in the end.
#[test]
fn a_long_run_clears_earlier_crashes() {
    let mut sched = leader(Millis(0));
    let mut one = step(1, 1000, 1000);
    one.long_running = true;
    start_one(&mut sched, job("patient", vec![one]));
    sched.mark_worker_dead(&worker_id(1), 1, Millis(3000));
    assert_eq!(recorded_crashes(&mut sched, Millis(3000)), 1);
    register(&mut sched, entry(2, 2, 8000, 8000), Millis(3100));
    let start = starts(&plan_and_commit(&mut sched, 2, Millis(3100))).remove(0);
    respond(&mut sched, &start, StartResponse::Started, Millis(3110));

    let report = WorkerReport {
        running: vec![running_status(&start.task, start.run, 100)],
        ..WorkerReport::default()
    };
    deliver_report(&mut sched, &worker_id(2), 2, Millis(13_200), report);

    assert_eq!(recorded_crashes(&mut sched, Millis(13_200)), 0);
}

/// Adds job `a` with a task under which two workers have crashed.
fn submit_suspect(sched: &mut Scheduler, now: Millis) {
    let task = TaskRecord {
        run: 2,
        crashes: Crashes::of_unknown_workers(2),
        ..TaskRecord::default()
    };
    let record = JobRecord {
        phase: Phase::Active,
        ended: Timestamp(0),
        tasks: vec![task],
    };
    let spec = job("urgent", vec![step(1, 500, 500)]);
    sched.add_job(id("a"), spec, Some((record, 1)), now, Timestamp(now.0));
}

/// Guards against a further crash with several suspects, because the task joins a new run.
#[test]
fn a_suspected_task_is_tried_apart_from_new_runs() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 2000, 8000), Millis(0));
    let mut new = step(1, 500, 500);
    new.checkpoints = true;
    submit(&mut sched, "n", job("urgent", vec![new]), Millis(0));
    plan_and_commit(&mut sched, 1, Millis(0));
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(10));
    submit_suspect(&mut sched, Millis(10));

    let trial = starts(&plan_and_commit(&mut sched, 2, Millis(10)));

    assert_eq!(trial.len(), 1);
    assert_eq!(trial[0].worker, worker_id(2));
}

/// Guards against new runs that join a trial and are lost with it.
#[test]
fn no_run_joins_a_trial_until_the_task_has_survived() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 2000, 8000), Millis(0));
    submit_suspect(&mut sched, Millis(0));
    let trial = starts(&plan_and_commit(&mut sched, 1, Millis(0)));
    register(&mut sched, entry(2, 1, 8000, 8000), Millis(10));
    let mut started = Vec::new();

    for (name, now) in [("m", Millis(2900)), ("o", Millis(3100))] {
        submit(
            &mut sched,
            name,
            job("urgent", vec![step(1, 500, 500)]),
            now,
        );
        started.extend(starts(&plan_and_commit(&mut sched, 2, now)));
    }

    assert_eq!(trial[0].worker, worker_id(1));
    let places: Vec<_> = started.iter().map(|start| start.worker.clone()).collect();
    assert_eq!(places, [worker_id(2), worker_id(1)]);
}

/// Guards against a suspected task that never starts because all workers have new runs.
#[test]
fn a_suspected_task_does_not_wait_long_for_its_trial() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 80_000, 80_000), Millis(0));
    submit_suspect(&mut sched, Millis(0));
    let mut started_at = None;

    for now in (0..5000).step_by(100).map(Millis) {
        submit(
            &mut sched,
            &format!("n{now}"),
            job("urgent", vec![step(1, 50, 50)]),
            now,
        );
        sched.tick(now);
        let started = starts(&plan_and_commit(&mut sched, 2, now));
        if started.iter().any(|start| start.task.job == id("a")) {
            started_at = Some(now);
            break;
        }
    }

    let started_at = started_at.expect("the task starts");
    assert!(started_at <= Millis(1200), "started only at {started_at}");
}

/// Guards against records that change their bytes without need, or that a new leader cannot read.
#[test]
fn records_with_and_without_crashes_decode() {
    let place = Placement {
        worker: worker_id(1),
        incarnation: 5,
    };
    let without = TaskRecord {
        run: 3,
        failures: 1,
        done: false,
        place: Some(place.clone()),
        checkpoint: "c".to_string(),
        crashes: Crashes::default(),
    };
    let with = TaskRecord {
        crashes: Crashes::of_unknown_workers(2),
        ..without.clone()
    };
    let old = rmp_serde::to_vec(&(3_u32, 1_u32, false, Some(place), "c")).expect("encodes");

    let encoded = rmp_serde::to_vec(&without).expect("encodes");
    let encoded_with = rmp_serde::to_vec(&with).expect("encodes");

    assert_eq!(encoded, old);
    assert_eq!(
        rmp_serde::from_slice::<TaskRecord>(&old).expect("decodes"),
        without
    );
    assert_eq!(
        rmp_serde::from_slice::<TaskRecord>(&encoded_with).expect("decodes"),
        with
    );
}

/// Guards against a task that starts for ever because each of its workers is away for longer than
/// its lease and gone from the store meanwhile.
#[test]
fn a_task_whose_workers_stay_away_for_long_is_given_up() {
    let mut fleet = Fleet::new(6, Return::OtherId);
    fleet.away = 8000;
    fleet.removes_entries = true;
    let one = job("patient", vec![step(1, 1000, 1000)]);

    fleet.submit("crashing", one);
    fleet.simulate(90_000);

    assert_eq!(fleet.view("crashing"), Some(JobView::Failed));
    let starts = fleet.crashing_starts.len();
    assert!(starts <= MOST_STARTS + 1, "{starts} starts");
}

/// Adds a job whose tasks have each seen two workers crash.
fn submit_suspects(sched: &mut Scheduler, name: &str, suspects: StepSpec) {
    let task = TaskRecord {
        run: 2,
        crashes: Crashes::of_unknown_workers(2),
        ..TaskRecord::default()
    };
    let record = JobRecord {
        phase: Phase::Active,
        ended: Timestamp(0),
        tasks: vec![task; suspects.tasks as usize],
    };
    let spec = job("urgent", vec![suspects]);
    sched.add_job(id(name), spec, Some((record, 1)), Millis(0), Timestamp(0));
}

/// Guards against a gang that never starts because the trial of one member excludes the others.
#[test]
fn a_gang_with_several_suspected_members_starts() {
    let mut sched = leader(Millis(0));
    register(&mut sched, entry(1, 1, 8000, 8000), Millis(0));
    let mut gang = step(3, 500, 500);
    gang.gang = true;
    submit_suspects(&mut sched, "a", gang);

    let started: usize = (0..5000)
        .step_by(100)
        .map(|now| {
            sched.tick(Millis(now));
            starts(&plan_and_commit(&mut sched, 2, Millis(now))).len()
        })
        .sum();

    assert_eq!(started, 3);
}

/// Guards against a service that takes no new work because each of its workers has a trial.
#[test]
fn trials_leave_most_workers_to_other_tasks() {
    let mut sched = leader(Millis(0));
    for at in 0..8 {
        register(&mut sched, entry(at, 1, 8000, 8000), Millis(0));
    }
    submit_suspects(&mut sched, "a", step(8, 500, 500));
    plan_and_commit(&mut sched, 2, Millis(0));

    let mut spread = step(8, 500, 500);
    spread.max_per_worker = Some(1);
    submit(&mut sched, "b", job("urgent", vec![spread]), Millis(100));
    let started = starts(&plan_and_commit(&mut sched, 3, Millis(100)));

    let others = started.iter().filter(|start| start.task.job == id("b"));
    assert!(others.count() >= 6, "{} starts in all", started.len());
}

/// Returns a leader that has taken over job `a` with its record, while worker 1 is gone.
fn take_over(spec: &JobSpec, record: JobRecord, now: Millis) -> Scheduler {
    let mut sched = leader(now);
    sched.add_job(
        id("a"),
        spec.clone(),
        Some((record, 3)),
        now,
        Timestamp(now.0),
    );
    sched
}

/// Returns the next record of the only job, and commits it.
fn next_record(sched: &mut Scheduler, now: Millis) -> JobRecord {
    let batch = sched.next_batch(1).expect("a record waits");
    sched.on_commit(&batch, 9, now);
    decode_record(&batch.writes[0].value)
}

/// Guards against innocent tasks that are given up: a crash that was counted for a worker which was
/// only cut off stayed counted when the leader changed before the worker answered.
#[test]
fn a_crash_is_taken_back_when_the_worker_answers_the_next_leader() {
    let spec = job("patient", vec![step(1, 1000, 1000)]);
    let mut first = leader(Millis(0));
    start_one(&mut first, spec.clone());
    first.remove_entry(&worker_id(1));
    for now in (100..10_000).step_by(250).map(Millis) {
        first.on_poll_failure(&worker_id(1), 1, "silent");
        first.tick(now);
    }
    let counted = next_record(&mut first, Millis(10_000));

    let mut second = take_over(&spec, counted.clone(), Millis(11_000));
    register(&mut second, entry(1, 1, 8000, 8000), Millis(12_000));
    let back = next_record(&mut second, Millis(12_000));

    let crashes = |record: &JobRecord| record.tasks[0].crashes.count();
    assert_eq!((crashes(&counted), crashes(&back)), (1, 0));
}

/// Guards against innocent tasks that are given up because two leaders count the same crash.
#[test]
fn a_crash_counts_once_across_leaders() {
    let spec = job("patient", vec![step(1, 1000, 1000)]);
    let mut first = leader(Millis(0));
    start_one(&mut first, spec.clone());
    first.set_entry(entry(1, 2, 8000, 8000), Millis(3000));
    let counted = next_record(&mut first, Millis(3000));

    // The placement of the lost run is still in the record that the second leader reads.
    let mut stale = counted.clone();
    stale.tasks[0].place = Some(Placement {
        worker: worker_id(1),
        incarnation: 1,
    });
    let mut second = take_over(&spec, stale, Millis(4000));
    second.set_entry(entry(1, 2, 8000, 8000), Millis(4000));
    let again = next_record(&mut second, Millis(4000));

    let crashes = |record: &JobRecord| record.tasks[0].crashes.count();
    assert_eq!((crashes(&counted), crashes(&again)), (1, 1));
}

/// Guards against innocent tasks that are given up although no worker has crashed under them: their
/// starts met workers that had crashed before and gave no answer.
#[test]
fn starts_without_an_answer_fail_no_job() {
    let mut sched = leader(Millis(0));
    submit(
        &mut sched,
        "a",
        job("patient", vec![step(1, 1000, 1000)]),
        Millis(0),
    );

    for round in 1..=8_u64 {
        let at = usize::try_from(round).expect("small");
        let now = Millis(round * 10_000);
        register(&mut sched, entry(at, 1, 8000, 8000), now);
        let start = starts(&plan_and_commit(&mut sched, round, now)).remove(0);
        respond(&mut sched, &start, StartResponse::Unknown, now);
        sched.mark_worker_dead(&worker_id(at), 1, now + Millis(3000));
    }

    assert_eq!(sched.view(&id("a")), Some(JobView::Queued));
}

/// Guards against records of builds that stored the number of crashes alone: they must decode, and
/// prove nothing.
#[test]
fn records_with_a_number_of_crashes_decode() {
    let old = (3_u32, 1_u32, false, None::<Placement>, "c", 3_u32);
    let old = rmp_serde::to_vec(&old).expect("encodes");

    let task: TaskRecord = rmp_serde::from_slice(&old).expect("decodes");

    assert_eq!(task.crashes.count(), 3);
    assert_eq!(task.crashes.with(Evidence::Probable).count(), 0);
}
