//! Assigns the tasks that are ready, the most urgent job first.

use std::collections::HashMap;

use super::round::Round;
use super::selection::Ask;
use super::state::new_run;
use super::worker::RunState;
use super::{Job, Queue, Scheduler};
use crate::prelude::*;

/// Most tasks that one round assigns, so that a round stays short on a small machine.
const MAX_ASSIGNED: usize = 200;

/// Steps without a fitting worker after which a round ends: later ones rarely fit either, and a
/// round over a long queue would keep a small machine from its lease.
const MAX_MISSES: usize = 30;

/// Time for which a job may wait with nothing running while there is room; after 3 s it counts as
/// lost.
const LONGEST_IDLE: Millis = Millis(1500);

/// Share of the processors, in thousandths, below which there is room for every job; jobs count as
/// lost only below half of it.
const SPARE_PERMILLE: u64 = 700;

/// A job whose objective has passed this many times over earns nothing more.
const WORTHLESS_FACTOR: u64 = 3;

/// Share of a mean job's worth that each job has whatever its size, as the users weigh jobs.
const FIXED_WORTH: f64 = 0.3;

/// Rank of a job among all that wait; the lowest goes first.
type Rank = (u32, u8, u64, Millis);

impl Scheduler {
    /// Assigns ready tasks to workers; their starts follow once the records are durable.
    pub fn plan(&mut self, now: Millis) -> usize {
        if !self.replan || !self.may_start {
            return 0;
        }
        self.replan = false;
        self.refresh_margins();
        let mut round = Round::default();
        if self.has_room_to_spare() {
            round.overdue_before = now.0.checked_sub(LONGEST_IDLE.0).map(Millis);
        }
        let ranked = self.ranked(&round, now);
        let mut assigned = 0;
        for id in ranked {
            if assigned >= MAX_ASSIGNED {
                self.replan = true;
                break;
            }
            if round.failed >= MAX_MISSES {
                break;
            }
            assigned += self.plan_job(&id, &mut round, now);
        }
        assigned
    }

    /// Jobs with a task to assign, the most urgent first.
    fn ranked(&mut self, round: &Round, now: Millis) -> Vec<JobId> {
        let mut waiting = Vec::new();
        for id in &self.active {
            if self.jobs.get_mut(id).is_some_and(|job| job.note_wait(now)) {
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

    /// Tells whether much of the fleet is not reserved, so that no job has reason to wait.
    fn has_room_to_spare(&self) -> bool {
        let open = self.workers.values().filter(|worker| worker.is_open());
        let (used, capacity) = open.fold((0, 0), |(used, capacity), worker| {
            let whole = worker.used.cpu.0 + worker.free().cpu.0;
            (used + worker.used.cpu.0, capacity + whole)
        });
        used * 1000 < capacity * SPARE_PERMILLE
    }

    fn rank(&self, job: &Job, round: &Round, now: Millis) -> Option<Rank> {
        let queue = self.queues.queues.get(&job.spec.queue)?;
        if round.is_overdue(job) {
            return Some((0, 0, 0, job.objective_at));
        }
        // A task that lasts may not wait while it fits somewhere, however long the queue is.
        if job.spec.steps.iter().any(|step| step.long_running) {
            return Some((queue.priority, 0, 0, job.objective_at));
        }
        let worthless = job.objective_at + job.span.scale_permille((WORTHLESS_FACTOR - 1) * 1000);
        let late = if now > worthless {
            2
        } else {
            u8::from(now + job.rest() > job.objective_at)
        };
        Some((queue.priority, late, self.price(job), job.objective_at))
    }

    /// Work that is left for what the job is worth, in thousandths: under overload, the least
    /// work for the most worth goes first. A part of the worth does not depend on the size.
    fn price(&self, job: &Job) -> u64 {
        let (work, left) = job.work();
        let mean = self.mean_work.get(&job.spec.queue).copied().unwrap_or(work);
        let worth = FIXED_WORTH * mean + (1.0 - FIXED_WORTH) * work;
        if worth > 0.0 {
            (left * 1000.0 / worth) as u64
        } else {
            0
        }
    }

    fn plan_job(&mut self, id: &JobId, round: &mut Round, now: Millis) -> usize {
        let Some(mut job) = self.jobs.remove(id) else {
            return 0;
        };
        let queues = self.queues.clone();
        let mut assigned = 0;
        if let Some(queue) = queues.queues.get(&job.spec.queue) {
            for unit in 0..job.units.len() {
                if job.units[unit].has_open_tasks() && job.is_ready(unit, now) {
                    assigned += self.plan_unit(&mut job, queue, unit, round, now);
                }
            }
        }
        if assigned > 0 {
            job.version += 1;
            self.dirty.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        assigned
    }

    fn plan_unit(
        &mut self,
        job: &mut Job,
        queue: &Queue,
        unit: usize,
        round: &mut Round,
        now: Millis,
    ) -> usize {
        let spec = job.spec.clone();
        let step = &spec.steps[job.units[unit].step as usize];
        let open: Vec<usize> = job.units[unit].open_tasks().collect();
        if step.gang && open.len() < job.units[unit].tasks.len() {
            return 0;
        }
        let mut chosen: HashMap<WorkerId, u32> = HashMap::new();
        if step.max_per_worker.is_some() {
            for place in job.units[unit].tasks.iter().flat_map(|task| &task.place) {
                *chosen.entry(place.worker.clone()).or_default() += 1;
            }
        }
        let gang_run = job.units[unit].tasks.iter().map(|task| task.run).max();
        let noise = self.interference.noise(&step.image);
        let step_key = (job.id.clone(), unit);
        let advice = queue
            .advice
            .map(|_| self.advice.get(&step_key).cloned().unwrap_or_default());
        let mut placed = Vec::new();
        for index in open {
            let failures = job.units[unit].tasks[index].failures;
            let ask = Ask {
                step,
                service: &queue.service,
                noise: &noise,
                chosen: &chosen,
                last_chance: failures > 0 && failures + 1 >= queue.max_attempts,
                overdue: round.is_overdue(job),
                advice: advice.as_ref(),
            };
            let found = if round.is_hopeless(step, &queue.service) && !ask.overdue {
                None
            } else {
                let found = self.choose(&ask, now);
                if found.is_none() {
                    round.missed(step, &queue.service, ask.is_general());
                }
                found
            };
            let Some(worker) = found else {
                if step.best_effort || !self.preempt(&ask, queue.priority, round, now) {
                    break;
                }
                continue;
            };
            let key = job.key(unit, index);
            let Some(found) = self.workers.get_mut(&worker) else {
                break;
            };
            let place = found.place();
            let task = &mut job.units[unit].tasks[index];
            task.run = match gang_run {
                Some(run) if step.gang => run + 1,
                _ => task.run + 1,
            };
            task.place = Some(place);
            let number = task.run;
            let mut run = new_run(job, unit, number, queue.priority, now);
            run.state = RunState::Planned {
                version: job.version + 1,
            };
            found.insert(key.clone(), run);
            self.refresh_margin(&worker);
            if step.max_per_worker.is_some() {
                *chosen.entry(worker.clone()).or_default() += 1;
            }
            placed.push((worker, key, index));
        }
        if queue.advice.is_some() && job.units[unit].has_open_tasks() {
            self.ask_advice(job, unit, &queue.service, now);
        }
        if step.gang && placed.len() < job.units[unit].tasks.len() {
            for (worker, key, index) in placed {
                if let Some(found) = self.workers.get_mut(&worker) {
                    found.drop_run(&key);
                }
                self.refresh_margin(&worker);
                job.units[unit].tasks[index].place = None;
            }
            return 0;
        }
        placed.len()
    }
}
