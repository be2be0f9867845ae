//! Workers that can take the tasks of one step, the cheapest first.
//!
//! The tasks of a step are equal, so one search of the fleet serves all of them: a placement changes
//! the cost of one worker only.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::selection::{NotFound, PlacementRequest};
use super::{Scheduler, Worker};
use crate::prelude::*;

/// What a search depends on besides the step: the history of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskHistory {
    last_attempt: bool,
    is_suspect: bool,
}

/// Result of one search of the fleet.
#[derive(Debug)]
pub(super) struct Candidates {
    /// Cost and position in the fleet; the cheapest worker is on top, the first of several.
    workers: BinaryHeap<Reverse<(u64, usize)>>,
    /// A worker with room was excluded by the limits of the task.
    limited: bool,
    history: TaskHistory,
    /// The worker that was taken last; its cost has changed.
    taken: Option<usize>,
}

impl Scheduler {
    /// Takes the cheapest worker for one task of a step. `candidates` holds the search of an earlier
    /// task of the same step and round.
    pub(super) fn take_candidate(
        &mut self,
        candidates: &mut Option<Candidates>,
        request: &PlacementRequest,
        now: Millis,
    ) -> Result<WorkerId, NotFound> {
        let history = TaskHistory {
            last_attempt: request.last_attempt,
            is_suspect: request.crashes > 0,
        };
        if candidates
            .as_ref()
            .is_none_or(|known| known.history != history)
        {
            *candidates = Some(self.search_candidates(request, history, now));
        }
        let Some(known) = candidates else {
            return Err(NotFound::NoRoom);
        };
        if let Some(position) = known.taken.take() {
            self.put_back_candidate(known, position, request, now);
        }
        let Some(Reverse((_, position))) = known.workers.pop() else {
            return Err(match known.limited {
                true => NotFound::OwnLimits,
                false => NotFound::NoRoom,
            });
        };
        known.taken = Some(position);
        Ok(self.fleet.id(position).clone())
    }

    fn search_candidates(
        &mut self,
        request: &PlacementRequest,
        history: TaskHistory,
        now: Millis,
    ) -> Candidates {
        self.counts.searches += 1;
        let reservation = request.step.reservation();
        let mut found = Candidates {
            workers: BinaryHeap::new(),
            limited: false,
            history,
            taken: None,
        };
        // An overdue task may exceed the limits.
        let is_limited = request.step.best_effort && !request.overdue;
        let image = &request.step.image;
        if is_limited {
            self.fleet
                .add_best_effort_limits(image, request.impact, &self.workers);
        }
        let limits = self.fleet.best_effort_limits(image).filter(|_| is_limited);
        let need = request.step.need.cpu.0;
        let has_room = self.fleet.has_room(request.service, reservation);
        for ((position, worker), has_room) in self.workers.values().enumerate().zip(has_room) {
            let is_over_limit = || limits.is_some_and(|limits| need > limits[position]);
            if has_room && !is_over_limit() {
                self.add_candidate(&mut found, position, worker, request, now);
            }
        }
        found
    }

    /// Adds the worker that was taken last again, if it can take one more task.
    fn put_back_candidate(
        &self,
        candidates: &mut Candidates,
        position: usize,
        request: &PlacementRequest,
        now: Millis,
    ) {
        let reservation = request.step.reservation();
        if !self.fleet.may_take(position, request.service, &reservation) {
            return;
        }
        if let Some(worker) = self.workers.get(self.fleet.id(position)) {
            self.add_candidate(candidates, position, worker, request, now);
        }
    }

    /// Adds a worker with room, if it can take the task.
    fn add_candidate(
        &self,
        candidates: &mut Candidates,
        position: usize,
        worker: &Worker,
        request: &PlacementRequest,
        now: Millis,
    ) {
        match self.select_cost(worker, request, now) {
            Ok(Some(cost)) => candidates.workers.push(Reverse((cost, position))),
            Ok(None) => {}
            Err(_) => candidates.limited = true,
        }
    }
}
