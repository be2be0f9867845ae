//! Choice of the worker for an attempt, by fragmentation and estimated interference.

use super::attempt_entry::{AttemptEntry, Phase};
use super::free_index::{WorkerSlot, splitmix64};
use super::interference::Kind;
use super::owner::{RESERVATION_TTL, RackOwner};
use super::worker_ledger::WorkerLedger;
use crate::batch::split_task;
use crate::prelude::*;
use crate::schema::batch::{ReserveTask, Reserved};

/// Score penalty for each task of the same job that is already on the worker.
const SAME_JOB_PENALTY: f64 = 0.05;

/// Load that is assumed of a service on its worker. One unit is all its processors.
const SERVICE_LOAD: f64 = 0.5;

/// Weight of interference against fragmentation. It is high, because the slowdown of a whole worker
/// costs most.
const INTERFERENCE_WEIGHT: f64 = 60.0;

/// Weights of the bundle as fractions.
#[derive(Clone, Copy, Debug)]
struct ScoreWeights {
    batch: f64,
    tail: f64,
    deviations: f64,
}

impl RackOwner {
    /// Reserves capacity for an attempt on the best of a bounded number of workers.
    ///
    /// A repeated request returns the existing reservation. Returns `None` if no candidate fits.
    pub fn reserve(&mut self, reserve: &ReserveTask, now: Millis) -> Option<Reserved> {
        if let Some(held) = self.existing_reservation(reserve) {
            return Some(held);
        }
        let kind = self.interference.kind(&reserve.kind);
        self.random = splitmix64(self.random);
        let slots = self
            .index
            .candidates(&reserve.resources, &reserve.avoid_zones, self.random);
        let score_weights = self.score_weights();
        let best = slots
            .into_iter()
            .filter_map(|slot| Some((slot, self.ledgers.get(&slot)?)))
            .filter(|(_, ledger)| is_allowed(ledger, reserve, now))
            .map(|(slot, ledger)| (slot, self.score(ledger, reserve, kind, score_weights, now)))
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(slot, _)| slot)?;
        self.reserve_on(best, reserve, kind, now)
    }

    fn existing_reservation(&self, reserve: &ReserveTask) -> Option<Reserved> {
        let slot = self.reservation_slots.get(&reserve.task)?;
        let ledger = self.ledgers.get(slot)?;
        let entry = ledger.entries.get(&reserve.task)?;
        let same = entry.attempt == reserve.attempt;
        (same && matches!(entry.phase, Phase::Held { .. })).then(|| Reserved {
            task: reserve.task.clone(),
            attempt: reserve.attempt,
            place: ledger.place.clone(),
        })
    }

    fn reserve_on(
        &mut self,
        slot: WorkerSlot,
        reserve: &ReserveTask,
        kind: Kind,
        now: Millis,
    ) -> Option<Reserved> {
        let ledger = self.ledgers.get_mut(&slot)?;
        let phase = Phase::Held {
            until: now + RESERVATION_TTL,
        };
        let entry = AttemptEntry::new(reserve.attempt, reserve.resources, kind, phase);
        ledger.entries.insert(reserve.task.clone(), entry);
        ledger.recompute_usage();
        let place = ledger.place.clone();
        self.reservation_slots.insert(reserve.task.clone(), slot);
        self.reindex(slot, now);
        Some(Reserved {
            task: reserve.task.clone(),
            attempt: reserve.attempt,
            place,
        })
    }

    fn score_weights(&self) -> ScoreWeights {
        let bundle = self.bundle.as_ref().map(|held| &held.bundle);
        let permille = |value: Permille| f64::from(value.0) / 1000.0;
        bundle.map_or(
            ScoreWeights {
                batch: 0.5,
                tail: 0.5,
                deviations: 1.0,
            },
            |bundle| ScoreWeights {
                batch: permille(bundle.weights.batch_throughput),
                tail: permille(bundle.weights.tail_latency),
                deviations: permille(bundle.interference.deviations),
            },
        )
    }

    /// Scores a worker. Lower is better.
    fn score(
        &self,
        ledger: &WorkerLedger,
        reserve: &ReserveTask,
        kind: Kind,
        score_weights: ScoreWeights,
        now: Millis,
    ) -> f64 {
        let fragmentation = fragmentation(ledger, &reserve.resources);
        let interference_cost = self.interference_cost(ledger, reserve, kind, score_weights, now);
        let job = split_task(&reserve.task).map(|(_, job, _)| job);
        let same_job = ledger
            .entries
            .keys()
            .filter(|task| job.as_ref().is_some_and(|job| is_task_of(task, job)))
            .count();
        fragmentation + INTERFERENCE_WEIGHT * interference_cost + SAME_JOB_PENALTY * same_job as f64
    }

    /// Estimates the slowdown that the task causes and incurs, weighted by load.
    fn interference_cost(
        &self,
        ledger: &WorkerLedger,
        reserve: &ReserveTask,
        kind: Kind,
        score_weights: ScoreWeights,
        now: Millis,
    ) -> f64 {
        let estimates = &self.interference;
        let deviations = score_weights.deviations;
        let load = reserve.resources.cpu.0 as f64 / ledger.declared.cpu.0.max(1) as f64;
        let mut interference_cost = 0.0;
        for (other, other_load) in ledger.loads().iter().copied() {
            let caused = estimates.cost(other, kind, load, deviations, now) * other_load;
            let incurred = estimates.cost(kind, other, other_load, deviations, now) * load;
            interference_cost += score_weights.batch * (caused + incurred);
        }
        if let Some(service) = ledger.service {
            let caused = estimates.cost(service, kind, load, deviations, now);
            let present: f64 = ledger
                .loads()
                .iter()
                .map(|(other, load)| estimates.cost(service, *other, *load, deviations, now))
                .sum();
            // The slowest workers determine tail latency, so added slowdown weighs more on a worker
            // that is already slowed: the cost grows with the square.
            let tail = (present + caused).powi(2) - present.powi(2);
            let incurred = estimates.cost(kind, service, SERVICE_LOAD, deviations, now) * load;
            interference_cost += score_weights.tail * tail + score_weights.batch * incurred;
        }
        interference_cost
    }
}

/// Returns whether the attempt may be placed on a candidate.
fn is_allowed(ledger: &WorkerLedger, reserve: &ReserveTask, now: Millis) -> bool {
    ledger.available(now).is_some()
        && ledger.has_room(&reserve.resources)
        && !reserve.avoid_workers.contains(&ledger.place.worker)
        && !ledger.entries.contains_key(&reserve.task)
        && !ledger.is_resolved(&reserve.task, reserve.attempt)
}

/// Scores what would be left on the worker: the mean free fraction of its resources, plus half of
/// their imbalance, plus one if a task without accelerators would take a worker that has some.
fn fragmentation(ledger: &WorkerLedger, size: &Resources) -> f64 {
    let capacity = ledger.capacity();
    let left = capacity.saturating_sub(&ledger.used).saturating_sub(size);
    let part = |left: u64, all: u64| (all > 0).then(|| left as f64 / all as f64);
    let parts = [
        part(left.cpu.0, capacity.cpu.0),
        part(left.memory.0, capacity.memory.0),
        part(left.accelerators.0.into(), capacity.accelerators.0.into()),
    ];
    let known: Vec<f64> = parts.into_iter().flatten().collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let imbalance: f64 = known.iter().map(|part| (part - mean).abs()).sum();
    // Accelerators are the scarcest resource, so tasks that need none go to other workers.
    let accelerator_penalty = if size.accelerators.0 == 0 && capacity.accelerators.0 > 0 {
        1.0
    } else {
        0.0
    };
    mean + 0.5 * imbalance + accelerator_penalty
}

fn is_task_of(task: &TaskId, job: &JobId) -> bool {
    task.as_str()
        .strip_prefix(job.as_str())
        .is_some_and(|rest| rest.starts_with('/'))
}
