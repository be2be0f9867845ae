//! Makes room for urgent tasks by ending less urgent runs.

use super::round::Round;
use super::selection::Ask;
use super::worker::{Run, RunState};
use super::{Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Searches for a worker to vacate in one round: each looks at the runs of all workers, and a
/// round has to stay short on a small machine.
const MAX_SEARCHES: usize = 8;

impl Scheduler {
    /// Stops less urgent runs on one worker so that a task fits there, or takes room that is being
    /// made; returns whether the task may expect room.
    pub(super) fn preempt(
        &mut self,
        ask: &Ask,
        priority: u32,
        round: &mut Round,
        now: Millis,
    ) -> bool {
        let room = ask.step.reservation();
        if round.is_fixed(priority, &room) || round.searches >= MAX_SEARCHES {
            return false;
        }
        round.searches += 1;
        let mut best: Option<(u64, WorkerId, Vec<TaskKey>)> = None;
        for worker in self.workers.values() {
            if !ask.allows(worker, now) {
                continue;
            }
            let claimed = round.claims.get(&worker.id).copied().unwrap_or_default();
            let coming = worker.coming();
            if room.fits(&coming.saturating_sub(&claimed)) {
                let claimed = claimed.checked_add(&room).unwrap_or(claimed);
                round.claims.insert(worker.id.clone(), claimed);
                return true;
            }
            // Room that is claimed counts as taken; a worker is vacated for one task at a time.
            if claimed != Resources::default() {
                continue;
            }
            let Some((cost, victims)) = victims(worker, &room, coming, priority, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, worker.id.clone(), victims));
            }
        }
        let Some((_, id, victims)) = best else {
            round.fix(priority, room);
            return false;
        };
        for key in victims {
            tracing::info!(task = %key, worker = %id, "run makes room for a more urgent task");
            self.stop(&id, &key, now);
        }
        round.claims.insert(id, room);
        true
    }
}

impl Worker {
    /// Room that is free once everything that is being stopped has ended.
    fn coming(&self) -> Resources {
        let stopping = self
            .runs
            .values()
            .filter(|run| run.state == RunState::Stopping);
        stopping.fold(self.free(), |sum, run| {
            sum.checked_add(&run.room).unwrap_or(sum)
        })
    }
}

/// Picks the runs of a worker whose end frees enough room and wastes least work.
fn victims(
    worker: &Worker,
    room: &Resources,
    mut free: Resources,
    priority: u32,
    now: Millis,
) -> Option<(u64, Vec<TaskKey>)> {
    let may_end =
        |run: &Run| run.state == RunState::Placed && !run.long_running && run.priority > priority;
    let most = worker
        .runs
        .values()
        .filter(|run| may_end(run))
        .fold(free, |sum, run| sum.checked_add(&run.room).unwrap_or(sum));
    if !room.fits(&most) {
        return None;
    }
    let mut runs: Vec<(u64, &TaskKey, Resources)> = worker
        .runs
        .iter()
        .filter(|(_, run)| may_end(run))
        .map(|(key, run)| {
            let worked = if run.saved {
                1
            } else {
                now.since(run.started).0 + 1
            };
            (worked * run.cpu.0, key, run.room)
        })
        .collect();
    runs.sort_by_key(|(waste, key, _)| (*waste, *key));
    let mut victims = Vec::new();
    let mut cost = 0;
    for (waste, key, freed) in runs {
        if room.fits(&free) {
            break;
        }
        free = free.checked_add(&freed).unwrap_or(free);
        cost += waste;
        victims.push(key.clone());
    }
    room.fits(&free).then_some((cost, victims))
}
