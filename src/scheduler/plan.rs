//! Chooses the next tasks and their workers.

use std::collections::HashMap;

use super::interference::Noise;
use super::round::Round;
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
        let mut ranked: Vec<(Rank, &JobId)> = self
            .active
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.has_open_tasks(now))
            .filter_map(|job| Some((self.rank(job, now)?, &job.id)))
            .collect();
        ranked.sort_unstable();
        let ranked: Vec<JobId> = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        let mut round = Round::default();
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
        let mut placed = Vec::new();
        for index in open {
            let failures = job.units[unit].tasks[index].failures;
            let ask = Ask {
                step,
                service: &queue.service,
                noise: &noise,
                chosen: &chosen,
                last_chance: failures > 0 && failures + 1 >= queue.max_attempts,
            };
            let found = if round.is_hopeless(step, &queue.service) {
                None
            } else {
                let found = self.choose(&ask, now);
                if found.is_none() {
                    round.missed(step, &queue.service, ask.is_general());
                }
                found
            };
            let Some(worker) = found else {
                if step.fills || !self.preempt(&ask, queue.priority, round, now) {
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

    /// Picks the best worker that has room for one task of a step.
    fn choose(&self, ask: &Ask, now: Millis) -> Option<WorkerId> {
        let room = ask.step.room();
        let mut best: Option<(u64, &Worker)> = None;
        for worker in self.workers.values() {
            if !room.fits(&worker.free()) || !ask.allows(worker, now) {
                continue;
            }
            let suspect = worker.blame.is_suspect(now);
            if suspect && ask.last_chance {
                continue;
            }
            let Some(cost) = cost(worker, ask) else {
                continue;
            };
            let cost = cost + u64::from(suspect) * SUSPECT_COST;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, worker)| worker.id.clone())
    }
}

/// What one task asks of a worker.
pub(super) struct Ask<'a> {
    pub step: &'a StepSpec,
    pub service: &'a str,
    /// How far the task disturbs tasks that serve.
    pub noise: &'a Noise,
    /// Tasks of the step on each worker, if that number is bounded.
    pub chosen: &'a HashMap<WorkerId, u32>,
    /// One more failure fails the job.
    pub last_chance: bool,
}

impl Ask<'_> {
    /// Tells whether a worker may be given the task at all, besides its room.
    pub fn allows(&self, worker: &Worker, now: Millis) -> bool {
        if !worker.fenced || worker.misses > 0 || worker.blame.is_resting(now) {
            return false;
        }
        let open = worker.entry.as_ref().is_some_and(|entry| {
            !entry.draining && entry.born == worker.born && entry.service == self.service
        });
        let labelled = self
            .step
            .requires
            .as_ref()
            .is_none_or(|label| worker.has_label(label));
        open && labelled && self.is_within(worker)
    }

    /// Tells whether one more task keeps the bound on tasks of a step on one worker.
    fn is_within(&self, worker: &Worker) -> bool {
        self.step
            .max_per_worker
            .is_none_or(|most| self.chosen.get(&worker.id).copied().unwrap_or(0) < most)
    }

    /// Tells whether nothing but its size keeps the task from a worker.
    fn is_general(&self) -> bool {
        self.step.requires.is_none() && self.step.max_per_worker.is_none() && !self.last_chance
    }
}

/// Lower is better. Work with reserved processors is packed, tasks that serve gather by image, and
/// tasks that fill go where they use idle processors and disturb least.
fn cost(worker: &Worker, ask: &Ask) -> Option<u64> {
    let step = ask.step;
    let away = match (&step.rack, worker.rack()) {
        (Some(rack), Some(own)) if rack != own => AWAY_COST,
        _ => 0,
    };
    if step.fills {
        let idle = worker.idle();
        if idle < step.need.cpu.0 || worker.over_since.is_some() {
            return None;
        }
        if worker.serving == 0 {
            return Some(away + BUSY_COST.saturating_sub(idle));
        }
        let headroom = Scheduler::headroom(worker, step, ask.noise);
        if headroom < 0.0 {
            return None;
        }
        let noise = HEADROOM_COST - (headroom * 10_000.0).clamp(0.0, HEADROOM_COST as f64) as u64;
        return Some(away + BUSY_COST.saturating_sub(idle) / 2 + noise);
    }
    let left = worker.free().cpu.0.saturating_sub(step.need.cpu.0);
    if step.serves() {
        let serving = || worker.runs.values().filter(|run| run.target.is_some());
        let others = serving().filter(|run| run.image != step.image).count() as u64;
        let same = serving().any(|run| run.image == step.image);
        return Some(
            away + others * OTHER_IMAGE_COST
                + left
                + u64::from(!same) * NEW_IMAGE_COST
                + worker.filling.0,
        );
    }
    Some(away + left + worker.filling.0 / 2)
}
