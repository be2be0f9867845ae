//! Assigns ready tasks to workers, the most urgent job first.

use std::collections::HashMap;

use super::candidates::Candidates;
use super::crash::needs_trial;
use super::order::{Group, Rank, WaitingJob, rank};
use super::round::Round;
use super::search_budget::Turn;
use super::selection::{NotFound, PlacementRequest};
use super::state::new_run;
use super::trial::Trial;
use super::worker::RunState;
use super::{Job, Queue, QueueTable, Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Maximum number of tasks assigned in one round, so that a round stays short on a small machine.
const MAX_ASSIGNED: usize = 200;

/// Maximum time that a job waits with nothing running while capacity is free, and that a
/// long-running task stays away after a run; after 3 s and 6 s they count as lost.
const MAX_IDLE: Millis = Millis(1500);

/// Share of reserved CPU, in thousandths, below which capacity suffices for every job; jobs count
/// as lost only below half of it.
const SPARE_PERMILLE: u64 = 700;

/// A task that has been placed in this round.
struct PlacedMember {
    worker: WorkerId,
    key: TaskKey,
    index: usize,
    /// Number of the run before.
    former_run: u32,
}

impl Scheduler {
    /// Assigns ready tasks to workers and returns their number; the starts follow once the records
    /// are durable.
    pub fn plan(&mut self, now: Millis) -> usize {
        if !self.replan || !self.may_start || self.entries_are_old(now) {
            return 0;
        }
        self.replan = false;
        self.counts.rounds += 1;
        self.refresh_margins();
        self.fleet.refresh(&self.workers, now);
        let mut round = Round::new(std::mem::take(&mut self.resume));
        round.long_before = now.0.checked_sub(MAX_IDLE.0).map(Millis);
        round.spare_services = self.fleet.spare_services(SPARE_PERMILLE);
        let ranked = self.ranked(&round, now);
        let mut assigned = 0;
        for turn in ranked {
            if assigned >= MAX_ASSIGNED {
                self.replan = true;
                break;
            }
            if round.failed_searches.has_left(&turn) {
                assigned += self.plan_job(&turn, &mut round, now);
            }
        }
        self.resume = round.finish();
        assigned
    }

    /// Returns the jobs with a task to assign, the most urgent first.
    fn ranked(&mut self, round: &Round, now: Millis) -> Vec<Turn> {
        let mut ranked: Vec<Turn> = Vec::new();
        for id in &self.active {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if !job.update_waits(now) {
                continue;
            }
            let away_since = round
                .long_before
                .and_then(|before| job.away_longest(before));
            ranked.extend(away_since.map(|since| (Rank::returning(since), id.clone())));
            let rank = rank_job(&self.queues, job, round, now);
            ranked.extend(rank.map(|rank| (rank, id.clone())));
        }
        ranked.sort_unstable();
        ranked
    }

    fn plan_job(&mut self, turn: &Turn, round: &mut Round, now: Millis) -> usize {
        let (_, id) = turn;
        let Some(mut job) = self.jobs.remove(id) else {
            return 0;
        };
        let (queues, spec) = (self.queues.clone(), job.spec.clone());
        let mut assigned = 0;
        if let Some(queue) = queues.of(&spec) {
            for instance in 0..job.instances.len() {
                if job.instances[instance].has_open_tasks() && job.is_ready(instance, now) {
                    assigned += self.plan_instance(&mut job, queue, instance, turn, round, now);
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
        turn: &Turn,
        round: &mut Round,
        now: Millis,
    ) -> usize {
        let spec = job.spec.clone();
        let step = &spec.steps[job.instances[instance].step as usize];
        let open = tasks_to_place(job, instance, turn, round);
        if open.is_empty() {
            return 0;
        }
        let mut tasks_per_worker = match step.max_per_worker {
            Some(_) => count_tasks_per_worker(job, instance),
            None => HashMap::new(),
        };
        let gang_run = job.instances[instance]
            .tasks
            .iter()
            .map(|task| task.run)
            .max();
        let impact = Arc::new(self.interference.impact(&step.image));
        let step_key = (job.id.clone(), instance);
        let advice = queue
            .advice
            .map(|_| self.advice.get(&step_key).cloned().unwrap_or_default());
        let before = round.mark();
        let mut placed = Vec::new();
        let mut candidates = None;
        let mut preemption = None;
        for index in open {
            let failures = job.instances[instance].tasks[index].failures;
            let crashes = job.instances[instance].tasks[index].crashes.count();
            let request = PlacementRequest {
                step,
                service: &queue.service,
                impact: &impact,
                tasks_per_worker: &tasks_per_worker,
                last_attempt: failures > 0 && failures + 1 >= queue.max_attempts,
                overdue: round.is_overdue(job, &queue.service),
                advice: advice.as_ref(),
                crashes,
            };
            // The members of a gang start together, so none of them can be tried alone.
            let in_trial =
                needs_trial(crashes) && !step.gang && self.may_begin_trial(&queue.service, now);
            let key = job.key(instance, index);
            let trial = if in_trial {
                // A trial takes its worker past the search of the step.
                candidates = None;
                self.find_trial(&request, key.clone(), now)
            } else {
                Trial::Anywhere
            };
            let found = match trial {
                Trial::On(worker) => Some(worker),
                Trial::Wait => continue,
                Trial::Anywhere if round.is_known_to_fail(&request) => None,
                Trial::Anywhere => self.search(&request, &mut candidates, round, now),
            };
            let Some(worker) = found else {
                if step.best_effort
                    || !self.preempt(&mut preemption, &request, queue.priority, turn, round, now)
                {
                    break;
                }
                continue;
            };
            self.trials.remove(&key);
            let Some(place) = self.workers.get(&worker).map(Worker::placement) else {
                break;
            };
            let task = &mut job.instances[instance].tasks[index];
            let former_run = task.run;
            task.place = Some(place);
            task.run = match gang_run {
                Some(run) if step.gang => run + 1,
                _ => task.run + 1,
            };
            let mut run = new_run(job, instance, index, queue.priority, now);
            run.state = RunState::Planned {
                version: job.version + 1,
            };
            run.in_trial = in_trial;
            if let Some(found) = self.workers.get_mut(&worker) {
                found.add_run(key.clone(), run);
            }
            self.refresh_searched(&worker, now);
            if step.max_per_worker.is_some() {
                *tasks_per_worker.entry(worker.clone()).or_default() += 1;
            }
            if !job.unsent.contains(&(instance, index)) {
                job.unsent.push((instance, index));
            }
            placed.push(PlacedMember {
                worker,
                key,
                index,
                former_run,
            });
        }
        if queue.advice.is_some() && job.instances[instance].has_open_tasks() {
            self.request_advice(job, instance, &queue.service, now);
        }
        if step.gang && placed.len() < step.tasks as usize {
            if !placed.is_empty() && round.forget_since(before) {
                let overdue = round.is_overdue(job, &queue.service);
                round.record_unplaceable(step, &queue.service, overdue, placed.len() + 1);
            }
            self.withdraw(job, instance, placed, now);
            return 0;
        }
        placed.len()
    }

    /// Takes the planned runs of an incomplete gang back.
    fn withdraw(&mut self, job: &mut Job, instance: usize, placed: Vec<PlacedMember>, now: Millis) {
        for member in placed {
            if let Some(found) = self.workers.get_mut(&member.worker) {
                found.remove_run(&member.key);
            }
            self.refresh_searched(&member.worker, now);
            let task = &mut job.instances[instance].tasks[member.index];
            task.place = None;
            task.run = member.former_run;
        }
    }

    /// Updates what searches know of a worker whose runs have changed within a round.
    fn refresh_searched(&mut self, id: &WorkerId, now: Millis) {
        self.refresh_margin(id);
        if let Some(worker) = self.workers.get(id) {
            self.fleet.refresh_worker(worker, now);
        }
    }

    /// Searches for a worker and records a failure in the findings of the round.
    fn search(
        &mut self,
        request: &PlacementRequest,
        candidates: &mut Option<Candidates>,
        round: &mut Round,
        now: Millis,
    ) -> Option<WorkerId> {
        match self.take_candidate(candidates, request, now) {
            Ok(worker) => Some(worker),
            Err(failure) => {
                round.failed_searches.spend();
                if failure == NotFound::NoRoom {
                    round.record_unplaceable(request.step, request.service, request.overdue, 1);
                }
                None
            }
        }
    }
}

fn rank_job(queues: &QueueTable, job: &Job, round: &Round, now: Millis) -> Option<Rank> {
    let queue = queues.of(&job.spec)?;
    let waiting = WaitingJob {
        priority: queue.priority,
        long_running: job.is_long_running(),
        overdue: round.is_overdue(job, &queue.service),
        objective_at: job.objective_at,
        objective_span: job.objective_span,
        work: job.waits.work,
        work_left: job.waits.work_left,
    };
    Some(rank(&waiting, now))
}

/// Counts the placed tasks of a step on each worker.
fn count_tasks_per_worker(job: &Job, instance: usize) -> HashMap<WorkerId, u32> {
    let mut counts: HashMap<WorkerId, u32> = HashMap::new();
    let tasks = job.instances[instance].tasks.iter();
    for place in tasks.flat_map(|task| &task.place) {
        *counts.entry(place.worker.clone()).or_default() += 1;
    }
    counts
}

/// Returns the tasks of a step that are to be placed when it is the turn of its job.
fn tasks_to_place(job: &Job, instance: usize, turn: &Turn, round: &Round) -> Vec<usize> {
    let gang = job.step(instance).gang;
    let open: Vec<usize> = job.instances[instance].open_tasks().collect();
    if gang && open.len() < job.instances[instance].tasks.len() {
        return Vec::new();
    }
    let (rank, _) = turn;
    let Some(before) = round.long_before.filter(|_| rank.group == Group::Returning) else {
        return open;
    };
    let away: Vec<usize> = job
        .tasks_away(instance, before)
        .map(|(index, _)| index)
        .collect();
    // The members of a gang are placed together.
    if gang && !away.is_empty() { open } else { away }
}
