//! Tracks the entries of workers in the store, draining workers and new incarnations.

use std::collections::BTreeSet;

use super::incarnation::Incarnation;
use super::{Scheduler, TaskKey, WorkerEntry};
use crate::prelude::*;

impl Scheduler {
    /// Applies the entry of a worker; returns whether it names a worker to use. An entry of another
    /// writer names a service that the configuration does not, and says nothing about the worker:
    /// its runs go on, and what it reports of itself holds.
    pub fn set_entry(&mut self, entry: WorkerEntry, now: Millis) -> bool {
        if !self.queues.names_service(&entry.service) {
            self.set_foreign_entry(entry);
            return false;
        }
        self.foreign_entries.remove(&entry.id);
        let worker = self.worker(&entry.id, entry.incarnation);
        let is_newer = entry.incarnation > worker.current.number;
        let is_older = entry.incarnation < worker.current.number;
        if is_older {
            return true;
        }
        let changed = worker.entry.as_ref() != Some(&entry);
        let draining = entry.draining && !worker.entry.as_ref().is_some_and(|known| known.draining);
        worker.address.clone_from(&entry.address);
        let id = entry.id.clone();
        worker.entry = Some(entry.clone());
        if changed {
            tracing::info!(worker = %id, born = entry.incarnation, draining = entry.draining, "worker entry");
            self.replan = true;
        }
        if is_newer {
            self.begin_incarnation(&id, entry.incarnation, now);
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.current.largest_cpu = worker.current.largest_cpu.max(entry.capacity.cpu);
            worker.current.leaving = entry.draining;
        }
        if changed {
            self.note_replaced(&entry, now);
        }
        if draining {
            self.stop_long_running_runs(&id, now);
        }
        true
    }

    /// Keeps an entry aside until the configuration names its service.
    fn set_foreign_entry(&mut self, entry: WorkerEntry) {
        let known = self.foreign_entries.get(&entry.id);
        if known.is_none_or(|known| known.service != entry.service) {
            tracing::warn!(worker = %entry.id, service = entry.service, born = entry.incarnation, "worker entry names an unknown service; it names no worker to use");
            self.remove_entry(&entry.id);
        }
        self.foreign_entries.insert(entry.id.clone(), entry);
    }

    /// Removes the entry of a worker; its runs stay until their leases have expired.
    pub fn remove_entry(&mut self, id: &WorkerId) {
        self.foreign_entries.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            tracing::info!(worker = %id, runs = worker.runs.len(), "worker entry is gone");
            worker.entry = None;
        }
    }

    /// Removes the entries that a full read of the store does not contain.
    pub fn retain_entries(&mut self, ids: &BTreeSet<WorkerId>) {
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.entry.is_some() && !ids.contains(&worker.id))
            .map(|worker| worker.id.clone())
            .collect();
        self.foreign_entries.retain(|id, _| ids.contains(id));
        for id in gone {
            self.remove_entry(&id);
        }
    }

    /// Starts a new incarnation of a worker: the runs of the old one have ended, except for starts
    /// that the new one may have executed.
    pub(super) fn begin_incarnation(&mut self, id: &WorkerId, incarnation: u64, now: Millis) {
        let lost = self.lost_worker(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        tracing::info!(worker = %id, born = incarnation, runs = worker.runs.len(), "worker has started anew");
        let place = worker.placement();
        worker.current = Incarnation {
            is_declared: self.silence.binds(id, incarnation),
            ..Incarnation::begun(incarnation, now)
        };
        let keys: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        let mut freed = Vec::new();
        let mut stops = Vec::new();
        for key in keys {
            let Some(run) = worker.runs.get_mut(&key) else {
                continue;
            };
            if run.may_survive_restart() {
                run.leave_over();
                stops.push(key);
                continue;
            }
            let number = run.run;
            worker.remove_run(&key);
            freed.push((key, number));
        }
        for (key, run) in &worker.runs {
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(task) = job.task_mut(key)
                && task.run == run.run
                && let Some(place) = &mut task.place
            {
                place.incarnation = incarnation;
                job.version += 1;
                self.dirty.insert(&key.job, now);
            }
        }
        for (key, number) in freed {
            self.release_task(&key, &place, number, now);
        }
        for key in stops {
            self.send_stop(id, &key, now);
        }
        if let Some(lost) = lost {
            self.count_crash(&lost, now);
        }
        self.replan = true;
    }
}
