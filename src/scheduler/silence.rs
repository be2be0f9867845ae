//! Declares silent workers in the store, so that a change of the leader does not begin the wait for
//! the expiry of their leases anew.
//!
//! A declaration binds all leaders: a worker that the store may name gets no renewal and no start
//! until a write without it is durable. So its runs end by the declared time whoever leads.

use std::collections::{BTreeMap, BTreeSet};

use super::Scheduler;
use super::incarnation::Life;
use super::tick::EXPIRY_MARGIN;
use super::worker::Worker;
use crate::prelude::*;

/// Time without a report after which a worker that has missed a poll is declared; a poll may wait
/// for 0.9 s without being missed.
const SILENT_AFTER: Millis = Millis(1000);

/// Time between two writes of an unchanged table; a successor may count the time since the last one
/// twice.
const REDECLARE_INTERVAL: Millis = Millis(1000);

/// Time for which the end of a lease stays declared: until the records of its tasks are written.
const KEPT_AFTER_EXPIRY: Millis = Millis(15_000);

/// A worker that has not answered, as leaders tell their successors.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SilentWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation that does not answer.
    pub incarnation: u64,
    /// Its address; another process may answer there.
    pub address: String,
    /// Time from the write after which all its runs have certainly ended.
    pub expires_in: Millis,
}

#[derive(Clone, Debug)]
struct Declaration {
    address: String,
    /// Time by which all runs have certainly ended.
    expires_at: Millis,
}

/// What this leader declares, and what the store may name.
#[derive(Debug, Default)]
pub(super) struct Silence {
    declared: BTreeMap<Life, Declaration>,
    /// Workers of the last durable write and of those with an unknown outcome since.
    stored: BTreeSet<Life>,
    /// Workers of the last durable write, and the time of the write.
    written: BTreeSet<Life>,
    written_at: Millis,
}

impl Silence {
    /// Returns whether the store may name this incarnation of a worker.
    pub fn binds(&self, id: &WorkerId, incarnation: u64) -> bool {
        self.stored.contains(&(id.clone(), incarnation))
    }

    /// Returns the declared end of the runs of an incarnation.
    pub fn expires_at(&self, id: &WorkerId, incarnation: u64) -> Option<Millis> {
        let declared = self.declared.get(&(id.clone(), incarnation))?;
        Some(declared.expires_at)
    }

    fn lives(&self) -> BTreeSet<Life> {
        self.declared.keys().cloned().collect()
    }
}

impl Worker {
    /// Returns whether the worker has runs whose end is unknown because it does not answer.
    fn is_silent(&self, took_over_at: Millis, now: Millis) -> bool {
        let heard_at = self.current.last_report_at.max(took_over_at);
        let misses = self.current.missed_polls > 0 || self.address.is_empty();
        misses && !self.runs.is_empty() && now.since(heard_at) >= SILENT_AFTER
    }

    fn answers(&self) -> bool {
        self.current.is_fenced() && self.current.missed_polls == 0
    }
}

impl Scheduler {
    /// Takes over the declarations of former leaders, which were stored before this term began.
    pub fn restore_silence(&mut self, silent: &[SilentWorker]) {
        for one in silent {
            let life = (one.worker.clone(), one.incarnation);
            if let Some(worker) = self.workers.get_mut(&one.worker) {
                worker.current.is_declared |= worker.current.number == one.incarnation;
                if worker.address.is_empty() {
                    worker.address.clone_from(&one.address);
                }
            }
            let declaration = Declaration {
                address: one.address.clone(),
                expires_at: self.took_over_at + one.expires_in,
            };
            self.silence.stored.insert(life.clone());
            self.silence.written.insert(life.clone());
            self.silence.declared.insert(life, declaration);
        }
    }

    /// Returns the silent workers to write, if the stored ones are out of date. The caller reports
    /// the outcome with `on_silence_written`, unless it is unknown.
    pub fn silence_to_write(&mut self, now: Millis) -> Option<Vec<SilentWorker>> {
        self.update_declarations(now);
        let lives = self.silence.lives();
        let counts_down = self
            .silence
            .declared
            .values()
            .any(|one| one.expires_at > self.silence.written_at);
        let is_due = counts_down && now >= self.silence.written_at + REDECLARE_INTERVAL;
        if lives == self.silence.written && lives == self.silence.stored && !is_due {
            return None;
        }
        Some(self.declare_silence(now))
    }

    /// Returns the silent workers for a write; from now on it binds this leader.
    pub fn declare_silence(&mut self, now: Millis) -> Vec<SilentWorker> {
        self.update_declarations(now);
        let lives = self.silence.lives();
        self.set_declared(&lives, true);
        self.silence.stored.extend(lives);
        let declared = self.silence.declared.iter();
        let rows = declared.map(|((worker, incarnation), one)| SilentWorker {
            worker: worker.clone(),
            incarnation: *incarnation,
            address: one.address.clone(),
            expires_in: one.expires_at.since(now),
        });
        rows.collect()
    }

    /// Records that the store names exactly these workers, in a write that was prepared at `at`.
    pub fn on_silence_written(&mut self, silent: &[SilentWorker], at: Millis) {
        let lives: BTreeSet<Life> = silent
            .iter()
            .map(|one| (one.worker.clone(), one.incarnation))
            .collect();
        for (worker, incarnation) in self.silence.written.difference(&lives) {
            tracing::info!(%worker, incarnation, "worker is no longer declared silent");
        }
        for (worker, incarnation) in lives.difference(&self.silence.written) {
            let expires_at = self.silence.expires_at(worker, *incarnation);
            let expires_in = expires_at.unwrap_or_default().since(at);
            tracing::info!(%worker, incarnation, expires_in_ms = expires_in.0, "worker is declared silent");
        }
        let stored = std::mem::replace(&mut self.silence.stored, lives.clone());
        self.set_declared(&stored, false);
        self.set_declared(&lives, true);
        self.silence.written = lives;
        self.silence.written_at = at;
        self.replan = true;
    }

    fn set_declared(&mut self, lives: &BTreeSet<Life>, is_declared: bool) {
        for (id, incarnation) in lives {
            if let Some(worker) = self.workers.get_mut(id)
                && worker.current.number == *incarnation
            {
                worker.current.is_declared = is_declared;
            }
        }
    }

    /// Brings the declarations up to date: adds workers that are silent, removes those that answer
    /// or whose leases ended long ago.
    fn update_declarations(&mut self, now: Millis) {
        let workers = &self.workers;
        self.silence.declared.retain(|(id, incarnation), one| {
            let worker = workers
                .get(id)
                .filter(|worker| worker.current.number == *incarnation);
            !worker.is_some_and(Worker::answers) && now < one.expires_at + KEPT_AFTER_EXPIRY
        });
        for worker in self.workers.values() {
            if !worker.is_silent(self.took_over_at, now) {
                continue;
            }
            let life = (worker.id.clone(), worker.current.number);
            let declaration = Declaration {
                address: worker.address.clone(),
                expires_at: self.runs_end_at(worker) + EXPIRY_MARGIN,
            };
            self.silence.declared.insert(life, declaration);
        }
    }

    /// Returns the time by which the runs of a worker have certainly ended unless their lease is
    /// renewed.
    pub(super) fn runs_end_at(&self, worker: &Worker) -> Millis {
        let own = worker
            .current
            .lease
            .expires_at(&self.timing, self.inherited_until);
        match self.silence.expires_at(&worker.id, worker.current.number) {
            Some(declared) => own.min(declared.saturating_sub(EXPIRY_MARGIN)),
            None => own,
        }
    }
}
