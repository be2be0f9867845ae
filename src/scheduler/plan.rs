//! Chooses the next tasks and their workers.

use std::collections::HashMap;

use super::state::new_run;
use super::worker::RunState;
use super::{Job, Queue, Scheduler, StepSpec, Worker};
use crate::prelude::*;

/// Most tasks that one round assigns, so that a round stays short on a small machine.
const MAX_ASSIGNED: usize = 200;

/// Steps without a fitting worker after which a round ends: later ones rarely fit either, and a
/// round over a long queue would keep a small machine from its lease.
const MAX_MISSES: usize = 30;

/// A job whose objective has passed this many times over earns nothing more.
const WORTHLESS_FACTOR: u64 = 3;

/// Cost of a worker on another rack than the data, in millicores left unused: such a task takes
/// several times as long.
const AWAY_COST: u64 = 200_000;

/// Cost of a worker without idle processors, in millicores; more than any worker has.
const BUSY_COST: u64 = 200_000;

/// Cost of using up the headroom of serving tasks, per e-fold of their tail.
const HEADROOM_COST: u64 = 30_000;

/// Cost of a serving task of another image on the same worker: together they bear fewer tasks
/// that fill.
const OTHER_IMAGE_COST: u64 = 40_000;

/// Cost of a worker without a serving task of the same image.
const NEW_IMAGE_COST: u64 = 20_000;

/// Cost of a worker whose last run failed.
const SUSPECT_COST: u64 = 24_000;

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
        let mut misses = 0;
        let mut ranked: Vec<(Rank, JobId)> = self
            .active
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter_map(|job| Some((self.rank(job, now)?, job.id.clone())))
            .collect();
        ranked.sort();
        let mut assigned = 0;
        for (_, id) in ranked {
            if assigned >= MAX_ASSIGNED {
                self.replan = true;
                break;
            }
            if misses >= MAX_MISSES {
                break;
            }
            assigned += self.plan_job(&id, &mut misses, now);
        }
        assigned
    }

    fn rank(&self, job: &Job, now: Millis) -> Option<Rank> {
        let queue = self.queues.queues.get(&job.spec.queue)?;
        // A task that lasts may not wait while it fits somewhere, however long the queue is.
        if job.spec.steps.iter().any(|step| step.lasting) {
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

    fn plan_job(&mut self, id: &JobId, misses: &mut usize, now: Millis) -> usize {
        let Some(mut job) = self.jobs.remove(id) else {
            return 0;
        };
        let queues = self.queues.clone();
        let mut assigned = 0;
        if let Some(queue) = queues.queues.get(&job.spec.queue) {
            for unit in 0..job.units.len() {
                if job.units[unit].done == job.units[unit].tasks.len() || !job.is_ready(unit, now) {
                    continue;
                }
                assigned += self.plan_unit(&mut job, queue, unit, misses, now);
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
        misses: &mut usize,
        now: Millis,
    ) -> usize {
        let step = job.step(unit).clone();
        let open: Vec<usize> = job.units[unit]
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| !task.done && task.place.is_none())
            .map(|(index, _)| index)
            .collect();
        if step.gang && open.len() < job.units[unit].tasks.len() {
            return 0;
        }
        let mut chosen: HashMap<WorkerId, u32> = HashMap::new();
        for task in &job.units[unit].tasks {
            if let Some(place) = &task.place {
                *chosen.entry(place.worker.clone()).or_default() += 1;
            }
        }
        let gang_run = job.units[unit].tasks.iter().map(|task| task.run).max();
        let mut placed = Vec::new();
        for index in open {
            let last_chance = job.units[unit].tasks[index].failures + 1 >= queue.max_attempts
                && job.units[unit].tasks[index].failures > 0;
            let Some(worker) = self.choose(&step, queue, &chosen, last_chance, now) else {
                *misses += 1;
                if !step.fills {
                    let allowed = |worker: &Worker| is_within(&step, worker, &chosen);
                    self.preempt(&step, queue.priority, &queue.service, allowed, now);
                }
                break;
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
            let mut run = new_run(job, unit, number, now);
            run.state = RunState::Planned {
                version: job.version + 1,
            };
            found.insert(key.clone(), run);
            self.refresh_margins();
            *chosen.entry(worker.clone()).or_default() += 1;
            placed.push((worker, key, index));
        }
        if step.gang && placed.len() < job.units[unit].tasks.len() {
            for (worker, key, index) in placed {
                if let Some(found) = self.workers.get_mut(&worker) {
                    found.drop_run(&key);
                }
                job.units[unit].tasks[index].place = None;
            }
            return 0;
        }
        placed.len()
    }

    /// Picks the best worker that has room for one task of `step`.
    fn choose(
        &self,
        step: &StepSpec,
        queue: &Queue,
        chosen: &HashMap<WorkerId, u32>,
        last_chance: bool,
        now: Millis,
    ) -> Option<WorkerId> {
        let room = step.room();
        self.workers
            .values()
            .filter(|worker| self.may_take(worker, step, &queue.service, now))
            .filter(|worker| room.fits(&worker.free()))
            .filter(|worker| is_within(step, worker, chosen))
            .filter(|worker| !last_chance || !worker.blame.is_suspect(now))
            .filter_map(|worker| {
                let suspect = u64::from(worker.blame.is_suspect(now)) * SUSPECT_COST;
                Some((self.cost(worker, step)? + suspect, &worker.id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    /// Tells whether a worker may be given a task of `step` at all, besides its room.
    pub(super) fn may_take(
        &self,
        worker: &Worker,
        step: &StepSpec,
        service: &str,
        now: Millis,
    ) -> bool {
        let open = worker.entry.as_ref().is_some_and(|entry| {
            !entry.draining && entry.service == service && entry.born == worker.born
        });
        let labelled = step
            .requires
            .as_ref()
            .is_none_or(|label| worker.has_label(label));
        open && labelled && worker.fenced && worker.misses == 0 && !worker.blame.is_resting(now)
    }

    /// Lower is better. Work with reserved processors is packed, tasks that serve gather by
    /// image, and tasks that fill go where they use idle processors and disturb least.
    fn cost(&self, worker: &Worker, step: &StepSpec) -> Option<u64> {
        let free = worker.free().cpu.0;
        let away = match (&step.rack, worker.rack()) {
            (Some(rack), Some(own)) if rack != own => AWAY_COST,
            _ => 0,
        };
        if step.fills {
            let idle = worker.idle();
            if idle < step.need.cpu.0 {
                return None;
            }
            if worker.serving == 0 {
                return Some(away + BUSY_COST.saturating_sub(idle));
            }
            let headroom = self.headroom(worker, step);
            if headroom < 0.0 || worker.over_since.is_some() {
                return None;
            }
            let noise =
                HEADROOM_COST - (headroom * 10_000.0).clamp(0.0, HEADROOM_COST as f64) as u64;
            return Some(away + BUSY_COST.saturating_sub(idle) / 2 + noise);
        }
        let left = free.saturating_sub(step.need.cpu.0);
        if step.serves() {
            let others = worker
                .runs
                .values()
                .filter(|run| run.target.is_some() && run.image != step.image)
                .count() as u64;
            let same = worker
                .runs
                .values()
                .any(|run| run.target.is_some() && run.image == step.image);
            return Some(
                away + others * OTHER_IMAGE_COST
                    + left
                    + u64::from(!same) * NEW_IMAGE_COST
                    + worker.filling.0,
            );
        }
        Some(away + left + worker.filling.0 / 2)
    }
}

/// Tells whether one more task of `step` keeps the bound on tasks of a step on one worker.
fn is_within(step: &StepSpec, worker: &Worker, chosen: &HashMap<WorkerId, u32>) -> bool {
    step.max_per_worker
        .is_none_or(|most| chosen.get(&worker.id).copied().unwrap_or(0) < most)
}
