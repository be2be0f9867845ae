//! Ends jobs and runs: cancellations, stop commands and the release of tasks.

use super::worker::RunState;
use super::{Command, Phase, Placement, Scheduler, StopCommand, TaskKey};
use crate::prelude::*;

impl Scheduler {
    /// Cancels a job: its runs are stopped and no further run starts. Returns whether the job is
    /// known.
    pub fn cancel(&mut self, id: &JobId, now: Millis, wall: Timestamp) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.is_active() {
            tracing::info!(job = %id, "job cancelled");
            self.end_job(id, Phase::Cancelled, now, wall);
        }
        true
    }

    /// Ends a job in `phase` and stops its runs.
    pub(super) fn end_job(&mut self, id: &JobId, phase: Phase, now: Millis, wall: Timestamp) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        job.ended = wall;
        job.version += 1;
        self.dirty.insert(id, now);
        self.active.remove(id);
        self.trials.retain(|key, _| key.job != *id);
        self.advice.retain(|(job, _), _| job != id);
        self.replan = true;
        let mut stops = Vec::new();
        for instance in 0..job.instances.len() {
            for index in 0..job.instances[instance].tasks.len() {
                if let Some(place) = job.instances[instance].tasks[index].place.clone() {
                    stops.push((place.worker, job.key(instance, index)));
                }
            }
        }
        for (worker, key) in stops {
            self.stop(&worker, &key, now);
        }
    }

    /// Stops a run; its resources stay reserved until the worker has confirmed the end.
    pub(super) fn stop(&mut self, worker: &WorkerId, key: &TaskKey, now: Millis) {
        let Some(found) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = found.runs.get_mut(key) else {
            return;
        };
        match run.state {
            RunState::Planned { .. } => {
                let number = run.run;
                let place = found.placement();
                found.remove_run(key);
                self.release_task(key, &place, number, now);
            }
            RunState::Stopping => {}
            RunState::Sent | RunState::Running => {
                run.state = RunState::Stopping;
                run.settled_at = None;
                self.send_stop(worker, key, now);
            }
        }
    }

    /// Releases the task of a run that is gone; returns whether the record changed.
    pub(super) fn release_task(
        &mut self,
        key: &TaskKey,
        place: &Placement,
        run: u32,
        now: Millis,
    ) -> bool {
        let freed = self
            .jobs
            .get_mut(&key.job)
            .is_some_and(|job| job.clear_placement(key, place, run));
        if freed {
            self.dirty.insert(&key.job, now);
        }
        freed
    }

    pub(super) fn send_stop(&mut self, worker: &WorkerId, key: &TaskKey, now: Millis) {
        let Some(found) = self.workers.get_mut(worker) else {
            return;
        };
        let address = found.address.clone();
        let incarnation = found.current.number;
        if let Some(run) = found.runs.get_mut(key)
            && !address.is_empty()
        {
            run.called_at = now;
            run.call_in_flight = true;
            self.commands.push(Command::Stop(StopCommand {
                worker: worker.clone(),
                incarnation,
                address,
                task: key.clone(),
                run: run.run,
                fence: self.fence,
            }));
        }
    }
}
