//! Applies the ends of runs that workers report.

use super::crash::run_clears_task;
use super::worker::Run;
use super::{Crashes, Phase, Placement, RunCompletion, RunOutcome, Scheduler};
use crate::prelude::*;

impl Scheduler {
    /// Applies the end of a run to its worker and its job.
    pub(super) fn apply_completion(
        &mut self,
        id: &WorkerId,
        end: &RunCompletion,
        now: Millis,
        wall: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.current.last_handled = end.sequence;
        let placement = worker.placement();
        let is_current_run = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.run == end.run);
        let run = if is_current_run {
            worker.remove_run(&end.task)
        } else {
            None
        };
        self.replan = true;
        let version = self.apply_to_job(&placement, end, run.as_ref(), now, wall);
        if let Some(worker) = self.workers.get_mut(id) {
            worker
                .current
                .unacknowledged
                .push_back((end.sequence, end.task.job.clone(), version));
            match end.outcome {
                RunOutcome::Done => worker.current.health.record_success(),
                RunOutcome::Failed if run.as_ref().is_some_and(|run| !run.long_running) => {
                    worker.current.health.record_failure(now);
                }
                _ => {}
            }
        }
    }

    /// Applies a completion to its job and returns the version that contains it.
    fn apply_to_job(
        &mut self,
        placement: &Placement,
        end: &RunCompletion,
        run: Option<&Run>,
        now: Millis,
        wall: Timestamp,
    ) -> u64 {
        let key = &end.task;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return 0;
        };
        if !job.is_active() {
            // The completion must be kept until the phase that supersedes it is durable.
            if job.clear_placement(key, placement, end.run) {
                self.dirty.insert(&key.job, now);
            }
            return job.version;
        }
        let Some(instance) = job.instance_of(key) else {
            return 0;
        };
        let step = job.step(instance).clone();
        let current = job.clear_placement(key, placement, end.run);
        if !current {
            tracing::info!(task = %key, run = end.run, worker = %placement.worker, outcome = ?end.outcome, "completion of a run that is no longer current");
        }
        job.started = true;
        if !end.checkpoint.is_empty()
            && (current || run.is_some())
            && let Some(checkpoint) = job.checkpoint_mut(key)
        {
            checkpoint.clone_from(&end.checkpoint);
        }
        if (current || run.is_some())
            && run_clears_task(end.outcome, run, now)
            && let Some(task) = job.task_mut(key)
        {
            task.crashes = Crashes::default();
        }
        job.version += 1;
        self.dirty.insert(&key.job, now);
        match end.outcome {
            RunOutcome::Done if !step.long_running => {
                let index = key.index as usize;
                let found = &mut job.instances[instance];
                for (at, task) in found.tasks.iter_mut().enumerate() {
                    if at == index || step.gang {
                        task.done = true;
                    }
                }
                found.done = found.tasks.iter().filter(|task| task.done).count();
                let replaced_by = found.tasks[index].place.clone();
                if job.is_done() {
                    self.end_job(&key.job, Phase::Completed, now, wall);
                } else if let Some(place) = replaced_by {
                    self.stop(&place.worker, key, now);
                }
            }
            RunOutcome::Failed if current && !step.long_running => {
                self.count_failure(placement, end, now, wall);
            }
            _ if step.long_running => {
                tracing::info!(task = %key, run = end.run, worker = %placement.worker, outcome = ?end.outcome, "long-running run ended");
            }
            _ => {}
        }
        self.jobs.get(&key.job).map_or(0, |job| job.version)
    }

    /// Counts an attempt of a task, and fails the job with its last one.
    fn count_failure(
        &mut self,
        placement: &Placement,
        end: &RunCompletion,
        now: Millis,
        wall: Timestamp,
    ) {
        let key = &end.task;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queue = self.queues.of(&job.spec);
        let most = queue.map_or(u32::MAX, |queue| queue.max_attempts);
        let failures = job.task_mut(key).map_or(0, |task| {
            task.failures += 1;
            task.failures
        });
        tracing::info!(task = %key, run = end.run, worker = %placement.worker, failures, most, "run failed");
        if failures >= most {
            self.end_job(&key.job, Phase::Failed, now, wall);
        }
    }
}
