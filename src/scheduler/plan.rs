//! Assigns ready tasks to workers, the most urgent job first.

use std::collections::HashMap;

use super::crash::needs_trial;
use super::order::{Rank, WaitingJob, rank};
use super::round::Round;
use super::selection::PlacementRequest;
use super::state::new_run;
use super::trial::Trial;
use super::worker::RunState;
use super::{Job, Queue, Scheduler};
use crate::prelude::*;

/// Maximum number of tasks assigned in one round, so that a round stays short on a small machine.
const MAX_ASSIGNED: usize = 200;

/// Number of failed searches after which a round ends. Later steps rarely fit either, and a round
/// over a long queue would keep a small machine from renewing its lease.
const MAX_FAILED_SEARCHES: usize = 30;

/// Maximum time that a job waits with nothing running while capacity is free; after 3 s it counts
/// as lost.
const MAX_IDLE: Millis = Millis(1500);

/// Share of reserved CPU, in thousandths, below which capacity suffices for every job; jobs count
/// as lost only below half of it.
const SPARE_PERMILLE: u64 = 700;

impl Scheduler {
    /// Assigns ready tasks to workers and returns their number; the starts follow once the records
    /// are durable.
    pub fn plan(&mut self, now: Millis) -> usize {
        if !self.replan || !self.may_start {
            return 0;
        }
        self.replan = false;
        self.refresh_margins();
        let mut round = Round::default();
        if self.has_spare_capacity() {
            round.overdue_before = now.0.checked_sub(MAX_IDLE.0).map(Millis);
        }
        let ranked = self.ranked(&round, now);
        let mut assigned = 0;
        for id in ranked {
            if assigned >= MAX_ASSIGNED {
                self.replan = true;
                break;
            }
            if round.failed_searches >= MAX_FAILED_SEARCHES {
                break;
            }
            assigned += self.plan_job(&id, &mut round, now);
        }
        assigned
    }

    /// Returns the jobs with a task to assign, the most urgent first.
    fn ranked(&mut self, round: &Round, now: Millis) -> Vec<JobId> {
        let mut waiting = Vec::new();
        for id in &self.active {
            if self
                .jobs
                .get_mut(id)
                .is_some_and(|job| job.update_idle(now))
            {
                waiting.push(id);
            }
        }
        let mut ranked: Vec<(Rank, &JobId)> = waiting
            .into_iter()
            .filter_map(|id| Some((self.rank(self.jobs.get(id)?, round, now)?, id)))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns whether so much of the fleet is unreserved that no job has reason to wait.
    fn has_spare_capacity(&self) -> bool {
        let open = self.workers.values().filter(|worker| worker.accepts_work());
        let (reserved, capacity) = open.fold((0, 0), |(reserved, capacity), worker| {
            let whole = worker.reserved.cpu.0 + worker.free().cpu.0;
            (reserved + worker.reserved.cpu.0, capacity + whole)
        });
        reserved * 1000 < capacity * SPARE_PERMILLE
    }

    fn rank(&self, job: &Job, round: &Round, now: Millis) -> Option<Rank> {
        let queue = self.queues.queues.get(&job.spec.queue)?;
        let (work, work_left) = job.work();
        let waiting = WaitingJob {
            priority: queue.priority,
            long_running: job.is_long_running(),
            overdue: round.is_overdue(job),
            objective_at: job.objective_at,
            objective_span: job.objective_span,
            work,
            work_left,
        };
        Some(rank(&waiting, now))
    }

    fn plan_job(&mut self, id: &JobId, round: &mut Round, now: Millis) -> usize {
        let Some(mut job) = self.jobs.remove(id) else {
            return 0;
        };
        let queues = self.queues.clone();
        let mut assigned = 0;
        if let Some(queue) = queues.queues.get(&job.spec.queue) {
            for instance in 0..job.instances.len() {
                if job.instances[instance].has_open_tasks() && job.is_ready(instance, now) {
                    assigned += self.plan_instance(&mut job, queue, instance, round, now);
                }
            }
        }
        if assigned > 0 {
            job.version += 1;
            self.dirty.insert(id, now);
        }
        self.jobs.insert(id.clone(), job);
        assigned
    }

    fn plan_instance(
        &mut self,
        job: &mut Job,
        queue: &Queue,
        instance: usize,
        round: &mut Round,
        now: Millis,
    ) -> usize {
        let spec = job.spec.clone();
        let step = &spec.steps[job.instances[instance].step as usize];
        let open: Vec<usize> = job.instances[instance].open_tasks().collect();
        if step.gang && open.len() < job.instances[instance].tasks.len() {
            return 0;
        }
        let mut tasks_per_worker: HashMap<WorkerId, u32> = HashMap::new();
        if step.max_per_worker.is_some() {
            for place in job.instances[instance]
                .tasks
                .iter()
                .flat_map(|task| &task.place)
            {
                *tasks_per_worker.entry(place.worker.clone()).or_default() += 1;
            }
        }
        let gang_run = job.instances[instance]
            .tasks
            .iter()
            .map(|task| task.run)
            .max();
        let impact = self.interference.impact(&step.image);
        let step_key = (job.id.clone(), instance);
        let advice = queue
            .advice
            .map(|_| self.advice.get(&step_key).cloned().unwrap_or_default());
        let mut placed = Vec::new();
        for index in open {
            let failures = job.instances[instance].tasks[index].failures;
            let crashes = job.instances[instance].tasks[index].crashes;
            let request = PlacementRequest {
                step,
                service: &queue.service,
                impact: &impact,
                tasks_per_worker: &tasks_per_worker,
                last_attempt: failures > 0 && failures + 1 >= queue.max_attempts,
                overdue: round.is_overdue(job),
                advice: advice.as_ref(),
                crashes,
            };
            let trial = if needs_trial(crashes) {
                self.find_trial(&request, job.key(instance, index), now)
            } else {
                Trial::Anywhere
            };
            if trial == Trial::Wait {
                continue;
            }
            let found = if let Trial::On(worker) = trial {
                Some(worker)
            } else if round.is_known_to_fail(step, &queue.service) && !request.overdue {
                None
            } else {
                let found = self.select_worker(&request, now);
                if found.is_none() {
                    round.record_failed_search(step, &queue.service, request.is_unconstrained());
                }
                found
            };
            let Some(worker) = found else {
                if step.best_effort || !self.preempt(&request, queue.priority, round, now) {
                    break;
                }
                continue;
            };
            let key = job.key(instance, index);
            self.trials.remove(&key);
            let Some(found) = self.workers.get_mut(&worker) else {
                break;
            };
            let place = found.placement();
            let task = &mut job.instances[instance].tasks[index];
            task.run = match gang_run {
                Some(run) if step.gang => run + 1,
                _ => task.run + 1,
            };
            task.place = Some(place);
            let number = task.run;
            let mut run = new_run(job, instance, number, queue.priority, now);
            run.state = RunState::Planned {
                version: job.version + 1,
            };
            run.crashes = crashes;
            found.add_run(key.clone(), run);
            self.refresh_margin(&worker);
            if step.max_per_worker.is_some() {
                *tasks_per_worker.entry(worker.clone()).or_default() += 1;
            }
            placed.push((worker, key, index));
        }
        if queue.advice.is_some() && job.instances[instance].has_open_tasks() {
            self.request_advice(job, instance, &queue.service, now);
        }
        if step.gang && placed.len() < job.instances[instance].tasks.len() {
            for (worker, key, index) in placed {
                if let Some(found) = self.workers.get_mut(&worker) {
                    found.remove_run(&key);
                }
                self.refresh_margin(&worker);
                job.instances[instance].tasks[index].place = None;
            }
            return 0;
        }
        placed.len()
    }
}
