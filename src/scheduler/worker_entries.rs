//! Workers as the store names them: entries, drains, and lives that begin anew.

use std::collections::BTreeSet;

use super::worker::RunState;
use super::{Scheduler, TaskKey, WorkerEntry};
use crate::prelude::*;

impl Scheduler {
    /// Notes what a worker says of itself in the store.
    pub fn set_entry(&mut self, entry: WorkerEntry, now: Millis) {
        let worker = self.worker(&entry.id, entry.incarnation);
        let reborn = entry.incarnation > worker.incarnation;
        let older = entry.incarnation < worker.incarnation;
        if older {
            return;
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
        if reborn {
            self.reborn(&id, entry.incarnation, now);
        }
        if draining {
            self.leave_draining(&id, now);
        }
    }

    /// Notes that a worker has no entry any more; its runs stay until they have lapsed.
    pub fn remove_entry(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            tracing::info!(worker = %id, runs = worker.runs.len(), "worker entry is gone");
            worker.entry = None;
        }
    }

    /// Removes the entries of workers that a full read of the store does not show.
    pub fn retain_entries(&mut self, ids: &BTreeSet<WorkerId>) {
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.entry.is_some() && !ids.contains(&worker.id))
            .map(|worker| worker.id.clone())
            .collect();
        for id in gone {
            self.remove_entry(&id);
        }
    }

    /// Starts a new life of a worker: nothing of the old one runs any more.
    pub(super) fn reborn(&mut self, id: &WorkerId, incarnation: u64, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        tracing::info!(worker = %id, born = incarnation, runs = worker.runs.len(), "worker has started anew");
        let place = worker.place();
        worker.incarnation = incarnation;
        worker.fenced = false;
        worker.clock = None;
        worker.lease = Millis::ZERO;
        worker.handled = 0;
        worker.seen = 0;
        worker.unseen.clear();
        worker.misses = 0;
        let keys: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        let mut freed = Vec::new();
        let mut stops = Vec::new();
        for key in keys {
            let Some(run) = worker.runs.get_mut(&key) else {
                continue;
            };
            if run.may_outlive() {
                run.state = RunState::Stopping;
                run.settled = None;
                run.listed = false;
                stops.push(key);
                continue;
            }
            let number = run.run;
            worker.drop_run(&key);
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
                self.dirty.insert(key.job.clone());
            }
        }
        for (key, number) in freed {
            self.free_task(&key, &place, number);
        }
        for key in stops {
            self.call_stop(id, &key, now);
        }
        self.replan = true;
    }
}
