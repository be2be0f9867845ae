//! Makes room for urgent tasks by ending less urgent runs.

use super::worker::RunState;
use super::{Scheduler, StepSpec, TaskKey, Worker};
use crate::prelude::*;

impl Scheduler {
    /// Stops less urgent runs on one worker so that a task of `step` fits there; does nothing
    /// if room is already being made.
    pub(super) fn preempt(
        &mut self,
        step: &StepSpec,
        priority: u32,
        service: &str,
        allowed: impl Fn(&Worker) -> bool,
        now: Millis,
    ) {
        let room = step.room();
        let mut best: Option<(u64, WorkerId, Vec<TaskKey>)> = None;
        for worker in self.workers.values() {
            if !self.may_take(worker, step, service, now) || !allowed(worker) {
                continue;
            }
            let coming = worker
                .runs
                .values()
                .filter(|run| run.state == RunState::Stopping)
                .fold(worker.free(), |sum, run| {
                    sum.checked_add(&run.room).unwrap_or(sum)
                });
            if room.fits(&coming) {
                return;
            }
            let Some((cost, victims)) = self.victims(worker, &room, coming, priority, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, worker.id.clone(), victims));
            }
        }
        if let Some((_, id, victims)) = best {
            for key in victims {
                tracing::info!(task = %key, worker = %id, "run makes room for a more urgent task");
                self.stop(&id, &key, now);
            }
        }
    }

    /// Picks the runs of a worker whose end frees enough room and wastes least work.
    fn victims(
        &self,
        worker: &Worker,
        room: &Resources,
        mut free: Resources,
        priority: u32,
        now: Millis,
    ) -> Option<(u64, Vec<TaskKey>)> {
        let mut runs: Vec<(u64, &TaskKey, Resources)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Placed && !run.lasting)
            .filter_map(|(key, run)| {
                let job = self.jobs.get(&key.job)?;
                let queue = self.queues.queues.get(&job.spec.queue)?;
                if queue.priority <= priority {
                    return None;
                }
                let saved = job.step(job.unit_of(key)?).checkpoints;
                let worked = if saved {
                    1
                } else {
                    now.since(run.started).0 + 1
                };
                Some((worked * run.cpu.0, key, run.room))
            })
            .collect();
        runs.sort_by_key(|(waste, key, _)| (*waste, *key));
        let mut victims = Vec::new();
        let mut cost = 0;
        for (waste, key, freed) in runs {
            if room.fits(&free) {
                break;
            }
            free = free.checked_add(&freed).unwrap_or(free);
            cost += waste;
            victims.push(key.clone());
        }
        room.fits(&free).then_some((cost, victims))
    }
}
