//! Choice of the worker for one attempt.

use super::entry::{Entry, Phase};
use super::free_index::{Slot, splitmix64};
use super::interference::Kind;
use super::owner::{HOLD, RackOwner};
use super::worker_book::WorkerBook;
use crate::batch::split_task;
use crate::prelude::*;
use crate::schema::batch::{ReserveTask, Reserved};

/// Penalty for each task of the same job on the same worker.
const SAME_JOB_PENALTY: f64 = 0.05;

/// Load that a service has on its worker.
const SERVICE_LOAD: f64 = 0.5;

/// Weight of slowdown against wasted capacity; slowdown of a whole worker costs most.
const HARM_WEIGHT: f64 = 60.0;

/// Weights of the bundle, as numbers.
#[derive(Clone, Copy, Debug)]
struct Weighting {
    batch: f64,
    tail: f64,
    deviations: f64,
}

impl RackOwner {
    /// Holds capacity for an attempt on the best of a bounded number of workers.
    pub fn reserve(&mut self, reserve: &ReserveTask, now: Millis) -> Option<Reserved> {
        if let Some(held) = self.held(reserve) {
            return Some(held);
        }
        let kind = self.interference.kind(&reserve.kind);
        self.random = splitmix64(self.random);
        let slots = self
            .index
            .candidates(&reserve.resources, &reserve.avoid_zones, self.random);
        let weighting = self.weighting();
        let best = slots
            .into_iter()
            .filter_map(|slot| Some((slot, self.books.get(&slot)?)))
            .filter(|(_, book)| is_allowed(book, reserve, now))
            .map(|(slot, book)| (slot, self.score(book, reserve, kind, weighting, now)))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(slot, _)| slot)?;
        self.hold(best, reserve, kind, now)
    }

    fn held(&self, reserve: &ReserveTask) -> Option<Reserved> {
        let slot = self.holds.get(&reserve.task)?;
        let book = self.books.get(slot)?;
        let entry = book.entries.get(&reserve.task)?;
        let same = entry.attempt == reserve.attempt;
        (same && matches!(entry.phase, Phase::Held { .. })).then(|| Reserved {
            task: reserve.task.clone(),
            attempt: reserve.attempt,
            place: book.place.clone(),
        })
    }

    fn hold(
        &mut self,
        slot: Slot,
        reserve: &ReserveTask,
        kind: Kind,
        now: Millis,
    ) -> Option<Reserved> {
        let book = self.books.get_mut(&slot)?;
        let phase = Phase::Held { until: now + HOLD };
        let entry = Entry::new(reserve.attempt, reserve.resources, kind, phase);
        book.entries.insert(reserve.task.clone(), entry);
        book.recount();
        let place = book.place.clone();
        self.holds.insert(reserve.task.clone(), slot);
        self.reindex(slot, now);
        Some(Reserved {
            task: reserve.task.clone(),
            attempt: reserve.attempt,
            place,
        })
    }

    fn weighting(&self) -> Weighting {
        let bundle = self.bundle.as_ref().map(|held| &held.bundle);
        let permille = |value: Permille| f64::from(value.0) / 1000.0;
        bundle.map_or(
            Weighting {
                batch: 0.5,
                tail: 0.5,
                deviations: 1.0,
            },
            |bundle| Weighting {
                batch: permille(bundle.weights.batch_throughput),
                tail: permille(bundle.weights.tail_latency),
                deviations: permille(bundle.interference.deviations),
            },
        )
    }

    /// Scores a worker; less is better.
    fn score(
        &self,
        book: &WorkerBook,
        reserve: &ReserveTask,
        kind: Kind,
        weighting: Weighting,
        now: Millis,
    ) -> f64 {
        let waste = waste(book, &reserve.resources);
        let harm = self.harm(book, reserve, kind, weighting, now);
        let job = split_task(&reserve.task).map(|(_, job, _)| job);
        let same_job = book
            .entries
            .keys()
            .filter(|task| job.as_ref().is_some_and(|job| is_task_of(task, job)))
            .count();
        waste + HARM_WEIGHT * harm + SAME_JOB_PENALTY * same_job as f64
    }

    /// Estimates the slowdown that the task causes and suffers, weighted by load.
    fn harm(
        &self,
        book: &WorkerBook,
        reserve: &ReserveTask,
        kind: Kind,
        weighting: Weighting,
        now: Millis,
    ) -> f64 {
        let estimates = &self.interference;
        let deviations = weighting.deviations;
        let load = reserve.resources.cpu.0 as f64 / book.declared.cpu.0.max(1) as f64;
        let mut harm = 0.0;
        for (other, other_load) in book.loads().iter().copied() {
            let caused = estimates.cost(other, kind, load, deviations, now) * other_load;
            let suffered = estimates.cost(kind, other, other_load, deviations, now) * load;
            harm += weighting.batch * (caused + suffered);
        }
        if let Some(service) = book.service {
            let caused = estimates.cost(service, kind, load, deviations, now);
            let present: f64 = book
                .loads()
                .iter()
                .map(|(other, load)| estimates.cost(service, *other, *load, deviations, now))
                .sum();
            // The tail is made by the slowest workers, so more harm counts more where much is done.
            let tail = (present + caused).powi(2) - present.powi(2);
            let suffered = estimates.cost(kind, service, SERVICE_LOAD, deviations, now) * load;
            harm += weighting.tail * tail + weighting.batch * suffered;
        }
        harm
    }
}

/// Tells whether an attempt may be placed on a candidate.
fn is_allowed(book: &WorkerBook, reserve: &ReserveTask, now: Millis) -> bool {
    book.offer(now).is_some()
        && book.has_room(&reserve.resources)
        && !reserve.avoid_workers.contains(&book.place.worker)
        && !book.entries.contains_key(&reserve.task)
        && !book.is_buried(&reserve.task, reserve.attempt)
}

/// Returns how unevenly the three resources are left over, and how much is left of them.
fn waste(book: &WorkerBook, size: &Resources) -> f64 {
    let capacity = book.capacity();
    let left = capacity.saturating_sub(&book.used).saturating_sub(size);
    let part = |left: u64, all: u64| (all > 0).then(|| left as f64 / all as f64);
    let parts = [
        part(left.cpu.0, capacity.cpu.0),
        part(left.memory.0, capacity.memory.0),
        part(left.accelerators.0.into(), capacity.accelerators.0.into()),
    ];
    let known: Vec<f64> = parts.into_iter().flatten().collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let uneven: f64 = known.iter().map(|part| (part - mean).abs()).sum();
    // Idle accelerators are the scarcest; tasks without need of them go elsewhere.
    let blocks = if size.accelerators.0 == 0 && capacity.accelerators.0 > 0 {
        1.0
    } else {
        0.0
    };
    mean + 0.5 * uneven + blocks
}

fn is_task_of(task: &TaskId, job: &JobId) -> bool {
    task.as_str()
        .strip_prefix(job.as_str())
        .is_some_and(|rest| rest.starts_with('/'))
}
