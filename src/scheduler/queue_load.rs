//! What each queue holds of the fleet and how long its jobs wait, for the leader's log.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::prelude::*;

/// Load of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Jobs with a task that could run now.
    pub waiting_jobs: usize,
    /// Longest time for which a job of the queue has had nothing running.
    pub longest_idle: Millis,
    /// Number of runs.
    pub runs: usize,
    /// CPU that the runs reserve.
    pub reserved: Millicores,
    /// CPU that best-effort runs request without reserving it.
    pub best_effort: Millicores,
}

impl Scheduler {
    /// Returns the load of each queue that has an active job, and the CPU of the fleet that is not
    /// reserved.
    pub fn queue_loads(&self, now: Millis) -> (BTreeMap<String, QueueLoad>, Millicores) {
        let mut loads: BTreeMap<String, QueueLoad> = BTreeMap::new();
        for job in self.active.iter().filter_map(|id| self.jobs.get(id)) {
            let load = loads.entry(job.spec.queue.clone()).or_default();
            if job.has_open_tasks(now) {
                load.waiting_jobs += 1;
            }
            let idle = job.idle_since.map_or(Millis::ZERO, |at| now.since(at));
            load.longest_idle = load.longest_idle.max(idle);
        }
        let mut free = Millicores(0);
        for worker in self.workers.values() {
            if worker.accepts_work() {
                free = free.saturating_add(worker.free().cpu);
            }
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let load = loads.entry(job.spec.queue.clone()).or_default();
                load.runs += 1;
                load.reserved = load.reserved.saturating_add(run.reservation.cpu);
                if run.best_effort {
                    load.best_effort = load.best_effort.saturating_add(run.cpu);
                }
            }
        }
        (loads, free)
    }
}
