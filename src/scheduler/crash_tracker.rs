//! Notices crashes of workers and counts them for the tasks that ran there.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::crash::{LostRun, LostWorker, Verdict, verdict};
use super::incarnation::Life;
use super::{Crash, Crashes, Evidence, Job, Phase, Placement, Scheduler, TaskKey, WorkerEntry};
use crate::prelude::*;

/// Time for which a silent worker and a crashed address are remembered; a crashed worker is back
/// within a few seconds.
const REMEMBERED_FOR: Millis = Millis(30_000);

/// Crashes and silent workers of the last seconds.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    /// Workers whose leases have lapsed and that may have crashed or may only be cut off.
    silent: BTreeMap<WorkerId, LostWorker>,
    /// Time of the last crash at each address.
    crashed_at: HashMap<String, Millis>,
    /// Tasks whose records name a process that has not answered since.
    counted: HashMap<Life, BTreeSet<TaskKey>>,
}

impl CrashTracker {
    /// Remembers a worker whose lease has lapsed.
    pub fn remember_silent(&mut self, lost: LostWorker) {
        let now = lost.at;
        self.silent
            .retain(|_, known| now.since(known.at) < REMEMBERED_FOR);
        if !lost.runs.is_empty() {
            self.silent.insert(lost.id.clone(), lost);
        }
    }

    /// Takes a silent worker that answers again.
    fn take_returned(&mut self, id: &WorkerId, incarnation: u64) -> Option<LostWorker> {
        self.silent
            .get(id)
            .is_some_and(|known| known.incarnation == incarnation)
            .then(|| self.silent.remove(id))?
    }

    /// Takes the silent workers that a newer process has replaced under their id or at their
    /// address.
    fn take_replaced(
        &mut self,
        id: &WorkerId,
        address: &str,
        incarnation: u64,
        now: Millis,
    ) -> Vec<LostWorker> {
        let mut replaced = Vec::new();
        self.silent.retain(|_, known| {
            let same_place = known.id == *id || (!address.is_empty() && known.address == address);
            let is_replaced = same_place && known.incarnation < incarnation;
            if is_replaced && now.since(known.at) < REMEMBERED_FOR {
                replaced.push(known.clone());
            }
            !is_replaced
        });
        replaced
    }

    fn record_crash(&mut self, address: &str, now: Millis) {
        self.crashed_at
            .retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        self.crashed_at.insert(address.to_string(), now);
    }

    /// Remembers which processes the record of a task names.
    pub fn remember_counted(&mut self, key: &TaskKey, crashes: &Crashes) {
        for place in crashes.places() {
            let life = (place.worker.clone(), place.incarnation);
            self.counted.entry(life).or_default().insert(key.clone());
        }
    }

    /// Returns the crashes of one worker in a second, from those of the last seconds.
    fn crash_rate(&self, workers: usize, now: Millis) -> f64 {
        let recent = |at: &&Millis| now.since(**at) < REMEMBERED_FOR;
        let crashes = self.crashed_at.values().filter(recent).count().max(1);
        crashes as f64 / workers.max(1) as f64 / (REMEMBERED_FOR.0 as f64 / 1000.0)
    }

    /// Returns whether a worker at this address has crashed lately.
    pub fn has_crashed(&self, address: &str, now: Millis) -> bool {
        self.crashed_at
            .get(address)
            .is_some_and(|at| now.since(*at) < REMEMBERED_FOR)
    }
}

impl Scheduler {
    /// Returns what a crash of a worker would say about its runs; `None` if the worker was leaving.
    pub(super) fn lost_worker(&self, id: &WorkerId, now: Millis) -> Option<LostWorker> {
        let worker = self.workers.get(id)?;
        (!worker.current.leaving).then(|| LostWorker {
            id: id.clone(),
            address: worker.address.clone(),
            incarnation: worker.current.number,
            runs: worker
                .runs
                .iter()
                .filter_map(|(key, run)| LostRun::new(key, run, worker.current.last_report_at))
                .collect(),
            has_runs: true,
            is_replaced: true,
            at: now,
        })
    }

    /// Takes back what was counted for a silent worker that answers again.
    pub(super) fn note_returned(&mut self, id: &WorkerId, incarnation: u64, now: Millis) {
        self.crashes.take_returned(id, incarnation);
        let life = (id.clone(), incarnation);
        let Some(tasks) = self.crashes.counted.remove(&life) else {
            return;
        };
        let place = Placement {
            worker: life.0,
            incarnation,
        };
        for key in tasks {
            if let Some(job) = self.jobs.get_mut(&key.job)
                && job.is_active()
                && let Some(task) = job.task_mut(&key)
                && task.crashes.take_back(&place)
            {
                tracing::info!(task = %key, worker = %id, incarnation, crashes = task.crashes.count(), "worker answers; its crash is taken back");
                job.version += 1;
                self.dirty.insert(&key.job, now);
            }
        }
    }

    /// Counts or remembers a worker whose lease has lapsed.
    pub(super) fn note_lapsed(&mut self, lost: Option<LostWorker>, now: Millis) {
        let Some(mut lost) = lost else {
            return;
        };
        let Some(worker) = self.workers.get(&lost.id) else {
            return;
        };
        if worker.current.replaced {
            self.count_crash(&lost, now);
            return;
        }
        lost.has_runs = false;
        lost.is_replaced = false;
        if worker.entry.is_none() {
            // After a change of the leader its address is unknown, and nothing else would show
            // that it has crashed.
            self.count_crash(&lost, now);
        }
        self.crashes.remember_silent(lost);
    }

    /// Marks the workers that a newer one has replaced, and counts those of them that are silent.
    pub(super) fn note_replaced(&mut self, entry: &WorkerEntry, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.current.replaced |= worker.id != entry.id
                && worker.address == entry.address
                && worker.current.number < entry.incarnation;
        }
        let replaced =
            self.crashes
                .take_replaced(&entry.id, &entry.address, entry.incarnation, now);
        for lost in &replaced {
            self.count_replaced(lost, now);
        }
    }

    /// Counts the crash of a worker at whose address another incarnation has answered.
    pub(super) fn count_dead(&mut self, id: &WorkerId, lost: Option<LostWorker>, now: Millis) {
        if let Some(silent) = self.crashes.silent.remove(id) {
            self.count_replaced(&silent, now);
        }
        if let Some(lost) = lost {
            self.count_crash(&lost, now);
        }
    }

    /// Counts the crash of a silent worker whose place another process has taken.
    fn count_replaced(&mut self, lost: &LostWorker, now: Millis) {
        let replaced = LostWorker {
            is_replaced: true,
            ..lost.clone()
        };
        self.count_crash(&replaced, now);
    }

    /// Fails the job of a task that crashes its workers.
    fn give_up(&mut self, lost: &LostWorker, suspect: &LostRun, crashes: &Crashes, now: Millis) {
        let key = &suspect.key;
        if !self.jobs.get(&key.job).is_some_and(Job::is_active) {
            return;
        }
        tracing::warn!(task = %key, run = suspect.run, worker = %lost.id, ?crashes, alone = lost.is_only_suspect(suspect), "task crashes its workers and is given up");
        let wall = self.wall_at(now);
        self.end_job(&key.job, Phase::Failed, now, wall);
    }

    /// Counts the crash of a worker for the tasks that may have caused it.
    pub(super) fn count_crash(&mut self, lost: &LostWorker, now: Millis) {
        self.crashes.record_crash(&lost.address, now);
        let suspects = lost.suspects().count();
        tracing::warn!(worker = %lost.id, born = lost.incarnation, runs = lost.runs.len(), suspects, replaced = lost.is_replaced, "worker has crashed");
        for suspect in lost.suspects() {
            self.count_crash_under(lost, suspect, now);
        }
    }

    fn count_crash_under(&mut self, lost: &LostWorker, suspect: &LostRun, now: Millis) {
        let key = &suspect.key;
        let crash_rate = self.crashes.crash_rate(self.workers.len(), now);
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_active()) else {
            return;
        };
        let Some(task) = job
            .task_mut(key)
            .filter(|task| !task.done && task.run >= suspect.run)
        else {
            return;
        };
        let evidence = match lost.is_replaced {
            true => suspect.evidence,
            false => Evidence::Possible,
        };
        let crash = Crash {
            place: Placement {
                worker: lost.id.clone(),
                incarnation: lost.incarnation,
            },
            evidence,
            exposure: suspect.exposure,
        };
        if !task.crashes.add(crash) {
            return;
        }
        let crashes = task.crashes.clone();
        job.version += 1;
        self.dirty.insert(&key.job, now);
        self.crashes.remember_counted(key, &crashes);
        let alone = lost.is_only_suspect(suspect);
        let verdict = verdict(&crashes, alone, crash_rate);
        tracing::info!(task = %key, run = suspect.run, worker = %lost.id, incarnation = lost.incarnation, crashes = crashes.count(), certain = crashes.with(Evidence::Certain).count(), ?evidence, alone, exposure_ms = suspect.exposure.0, crash_rate, ?verdict, "crash is counted under a task");
        if verdict == Verdict::GiveUp {
            self.give_up(lost, suspect, &crashes, now);
        }
    }

    /// Clears a task whose run has been on its worker for long.
    pub(super) fn clear_crashes(&mut self, key: &TaskKey, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&key.job)
            && let Some(task) = job.task_mut(key)
            && !task.crashes.is_empty()
        {
            task.crashes = Crashes::default();
            job.version += 1;
            self.dirty.insert(&key.job, now);
        }
    }
}
