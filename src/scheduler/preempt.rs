//! Preempts less urgent runs to free resources for urgent tasks.

use super::round::Round;
use super::search_budget::Turn;
use super::selection::PlacementRequest;
use super::worker::{Run, RunState};
use super::{Scheduler, TaskKey, Worker};
use crate::prelude::*;

impl Scheduler {
    /// Stops less urgent runs on one worker so that a task fits there, or claims resources that are
    /// already being freed; returns whether the task can expect resources.
    pub(super) fn preempt(
        &mut self,
        request: &PlacementRequest,
        priority: u32,
        turn: &Turn,
        round: &mut Round,
        now: Millis,
    ) -> bool {
        let reservation = request.step.reservation();
        if round.is_not_preemptible(priority, request) || !round.preemptions.has_left(turn) {
            return false;
        }
        round.preemptions.spend();
        self.counts.searches += 1;
        let mut best: Option<(u64, WorkerId, Vec<TaskKey>)> = None;
        let mut limited = false;
        for worker in self.workers.values() {
            if !request.is_eligible(worker, now) {
                continue;
            }
            if !request.is_within_limits(worker, now) {
                limited = true;
                continue;
            }
            let claimed = round.claims.get(&worker.id).copied().unwrap_or_default();
            let stopping = worker.stopping_resources();
            let claim = claimed.checked_add(&reservation).unwrap_or(claimed);
            if worker.has_room_for(&claim, &stopping) {
                round.claims.insert(worker.id.clone(), claim);
                return true;
            }
            // Claimed resources count as taken, and a worker is preempted for one task at a time.
            if claimed != Resources::default() {
                continue;
            }
            let Some((cost, victims)) = victims(worker, &reservation, stopping, priority, now)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, worker.id.clone(), victims));
            }
        }
        let Some((_, id, victims)) = best else {
            if !limited {
                round.record_not_preemptible(priority, request);
            }
            return false;
        };
        for key in victims {
            tracing::info!(task = %key, worker = %id, "run makes room for a more urgent task");
            self.stop(&id, &key, now);
        }
        round.claims.insert(id, reservation);
        true
    }
}

impl Worker {
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

/// Selects the runs of a worker whose end frees enough resources and wastes the least work;
/// `released` are the resources of runs that are ending already.
fn victims(
    worker: &Worker,
    reservation: &Resources,
    mut released: Resources,
    priority: u32,
    now: Millis,
) -> Option<(u64, Vec<TaskKey>)> {
    let is_preemptible =
        |run: &Run| run.state == RunState::Running && !run.long_running && run.priority > priority;
    let max_released = worker
        .runs
        .values()
        .filter(|run| is_preemptible(run))
        .fold(released, |sum, run| {
            sum.checked_add(&run.reservation).unwrap_or(sum)
        });
    if !worker.has_room_for(reservation, &max_released) {
        return None;
    }
    let mut runs: Vec<(u64, &TaskKey, Resources)> = worker
        .runs
        .iter()
        .filter(|(_, run)| is_preemptible(run))
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
