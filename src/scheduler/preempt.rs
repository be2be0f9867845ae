//! Preempts less urgent runs to free resources for urgent tasks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::round::Round;
use super::search_budget::Turn;
use super::selection::PlacementRequest;
use super::worker::{Run, RunState};
use super::{Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Resources that the runs of one worker can give to a more urgent task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Yield {
    /// Resources that stopping runs reserve.
    stopping: Resources,
    /// The same with the runs that can be stopped.
    most: Resources,
}

/// Result of one search of the fleet for runs to preempt. The tasks of a step are equal, so one
/// search serves all of them: what a round preempts or claims changes one worker only.
#[derive(Debug)]
pub(super) struct Preemption {
    /// Positions of the workers on which stopping runs free enough resources for a task.
    freeing: Vec<usize>,
    /// Wasted work and position of the workers on which enough runs can be stopped, the least
    /// waste on top.
    stoppable: BinaryHeap<Reverse<(u64, usize)>>,
    /// A worker was excluded by the limits of the task.
    limited: bool,
}

impl Scheduler {
    /// Stops less urgent runs on one worker so that a task fits there, or claims resources that are
    /// already being freed; returns whether the task can expect resources. `known` holds the search
    /// of an earlier task of the same step and round.
    pub(super) fn preempt(
        &mut self,
        known: &mut Option<Preemption>,
        request: &PlacementRequest,
        priority: u32,
        turn: &Turn,
        round: &mut Round,
        now: Millis,
    ) -> bool {
        if round.is_not_preemptible(priority, request) || !round.preemptions.has_left(turn) {
            return false;
        }
        round.preemptions.spend();
        let found = match known {
            Some(found) => found,
            None => known.insert(self.search_preemption(request, priority, round, now)),
        };
        let reservation = request.step.reservation();
        if let Some(id) = self.claim_freed(found, &reservation, round) {
            let claimed = round.claims.get(&id).copied().unwrap_or_default();
            let claim = claimed.checked_add(&reservation).unwrap_or(claimed);
            round.claims.insert(id, claim);
            return true;
        }
        let Some((position, victims)) =
            self.next_victims(found, &reservation, priority, round, now)
        else {
            if !found.limited {
                round.record_not_preemptible(priority, request);
            }
            return false;
        };
        let id = self.fleet.id(position).clone();
        for key in victims {
            tracing::info!(task = %key, worker = %id, "run makes room for a more urgent task");
            self.stop(&id, &key, now);
        }
        if let Some(worker) = self.workers.get(&id) {
            for (priority, yields) in &mut round.yields {
                yields[position] = worker.yields_to(*priority);
            }
        }
        round.claims.insert(id, reservation);
        let at = found.freeing.partition_point(|known| *known < position);
        found.freeing.insert(at, position);
        true
    }

    fn search_preemption(
        &mut self,
        request: &PlacementRequest,
        priority: u32,
        round: &mut Round,
        now: Millis,
    ) -> Preemption {
        self.counts.searches += 1;
        let reservation = request.step.reservation();
        let mut found = Preemption {
            freeing: Vec::new(),
            stoppable: BinaryHeap::new(),
            limited: false,
        };
        let yields = round.yields.entry(priority).or_insert_with(|| {
            let workers = self.workers.values();
            workers.map(|worker| worker.yields_to(priority)).collect()
        });
        let takes = self.fleet.takes(request.service);
        let workers = self.workers.values().zip(yields.iter()).enumerate();
        for ((position, (worker, yields)), takes) in workers.zip(takes) {
            if !takes || !request.accepts_label(worker) {
                continue;
            }
            if !request.is_within_limits(worker, now) {
                found.limited = true;
                continue;
            }
            if !worker.has_room_for(&reservation, &yields.most) {
                continue;
            }
            if worker.has_room_for(&reservation, &yields.stopping) {
                found.freeing.push(position);
            }
            if round.claims.contains_key(&worker.id) {
                continue;
            }
            let stopping = yields.stopping;
            if let Some((cost, _)) = victims(worker, &reservation, stopping, priority, now) {
                found.stoppable.push(Reverse((cost, position)));
            }
        }
        found
    }

    /// Returns the first worker on which stopping runs free enough for one more claim. Claims only
    /// grow within a round, so workers that are exhausted are dropped.
    fn claim_freed(
        &self,
        found: &mut Preemption,
        reservation: &Resources,
        round: &Round,
    ) -> Option<WorkerId> {
        let exhausted = found.freeing.iter().take_while(|position| {
            let id = self.fleet.id(**position);
            let claimed = round.claims.get(id).copied().unwrap_or_default();
            let claim = claimed.checked_add(reservation).unwrap_or(claimed);
            !self
                .workers
                .get(id)
                .is_some_and(|worker| worker.has_room_for(&claim, &worker.stopping_resources()))
        });
        let exhausted = exhausted.count();
        found.freeing.drain(..exhausted);
        found
            .freeing
            .first()
            .map(|position| self.fleet.id(*position).clone())
    }

    /// Takes the worker on which the least work is wasted, with the runs to stop. A worker is
    /// preempted for one task at a time, so those with claims are passed over.
    fn next_victims(
        &self,
        found: &mut Preemption,
        reservation: &Resources,
        priority: u32,
        round: &Round,
        now: Millis,
    ) -> Option<(usize, Vec<TaskKey>)> {
        while let Some(Reverse((_, position))) = found.stoppable.pop() {
            let id = self.fleet.id(position);
            if round.claims.contains_key(id) {
                continue;
            }
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let stopping = worker.stopping_resources();
            if let Some((_, keys)) = victims(worker, reservation, stopping, priority, now) {
                return Some((position, keys));
            }
        }
        None
    }
}

impl Worker {
    /// Returns what the runs can give to a task of this priority.
    fn yields_to(&self, priority: u32) -> Yield {
        let stopping = self.stopping_resources();
        let preemptible = self.runs.values().filter(|run| run.yields_to(priority));
        Yield {
            stopping,
            most: preemptible.fold(stopping, |sum, run| {
                sum.checked_add(&run.reservation).unwrap_or(sum)
            }),
        }
    }

    /// Returns the resources that all stopping runs reserve.
    fn stopping_resources(&self) -> Resources {
        let stopping = self
            .runs
            .values()
            .filter(|run| run.state == RunState::Stopping);
        stopping.fold(Resources::default(), |sum, run| {
            sum.checked_add(&run.reservation).unwrap_or(sum)
        })
    }
}

impl Run {
    /// Returns whether the run can be stopped for a task of this priority.
    fn yields_to(&self, priority: u32) -> bool {
        self.state == RunState::Running && !self.long_running && self.priority > priority
    }
}

/// Selects the runs of a worker whose end frees enough resources and wastes the least work;
/// `released` are the resources of runs that are ending already.
fn victims(
    worker: &Worker,
    reservation: &Resources,
    mut released: Resources,
    priority: u32,
    now: Millis,
) -> Option<(u64, Vec<TaskKey>)> {
    let mut runs: Vec<(u64, &TaskKey, Resources)> = worker
        .runs
        .iter()
        .filter(|(_, run)| run.yields_to(priority))
        .map(|(key, run)| {
            let worked = if run.saves_checkpoints {
                1
            } else {
                now.since(run.started_at).0 + 1
            };
            (worked * run.cpu.0, key, run.reservation)
        })
        .collect();
    runs.sort_by_key(|(wasted, key, _)| (*wasted, *key));
    let mut victims = Vec::new();
    let mut cost = 0;
    for (wasted, key, freed) in runs {
        if worker.has_room_for(reservation, &released) {
            break;
        }
        released = released.checked_add(&freed).unwrap_or(released);
        cost += wasted;
        victims.push(key.clone());
    }
    worker
        .has_room_for(reservation, &released)
        .then_some((cost, victims))
}
