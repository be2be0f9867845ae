//! Correction of placements that slow a service: throttle first, then checkpoint and evict.

use super::entry::{Entry, Phase};
use super::free_index::Slot;
use super::owner::RackOwner;
use super::worker_book::WorkerBook;
use crate::prelude::*;
use crate::schema::bundle::Bundle;

/// Age above which a measurement of a service no longer calls for action.
const SAMPLE_TTL: Millis = Millis(15_000);

/// Share of a task that is not throttled.
const FULL_SHARE: Permille = Permille(1000);

/// Phase of an attempt that is to be stopped with a checkpoint.
const SAVE_AND_STOP: Phase = Phase::Stopping {
    save: true,
    sent: false,
};

impl RackOwner {
    /// Takes in the measured slowdown of the service on a worker; 1000 is full speed.
    pub fn record_service_slowdown(
        &mut self,
        worker: &VmId,
        slowdown: Permille,
        age: Millis,
        now: Millis,
    ) {
        let Some(slot) = self.slots.get(worker) else {
            return;
        };
        let Some(book) = self.books.get_mut(slot) else {
            return;
        };
        let measured = now - age;
        let added = (f64::from(slowdown.0) / 1000.0 - 1.0).max(0.0);
        book.service_sample = Some((measured, added));
        let throttled = book.entries.values().any(|entry| entry.throttled.is_some());
        if let Some(service) = book.service
            && !throttled
            && let Some(loads) = book.loads_at(measured)
        {
            self.interference.learn(service, loads, added, now);
        }
    }

    /// Throttles or evicts where a service is slowed more than tolerated.
    pub(super) fn correct(&mut self, now: Millis) {
        let Some(held) = self.bundle.clone() else {
            return;
        };
        let slow: Vec<(Slot, bool)> = self
            .books
            .iter()
            .filter_map(|(slot, book)| Some((*slot, is_slow(book, &held.bundle, now)?)))
            .collect();
        for (slot, is_slow) in slow {
            if is_slow {
                self.slow_down(slot, &held.bundle, now);
            } else {
                self.speed_up(slot, &held.bundle, now);
            }
        }
    }

    fn slow_down(&mut self, slot: Slot, bundle: &Bundle, now: Millis) {
        let wait = bundle.eviction.throttle_wait_ms;
        let Some(book) = self.books.get(&slot) else {
            return;
        };
        if book.corrected_at.is_some_and(|at| now.since(at) < wait) {
            return;
        }
        let Some(service) = book.service else {
            return;
        };
        let estimates = &self.interference;
        let cost = |entry: &super::entry::Entry| {
            estimates.estimate(service, entry.kind, now).0 * entry.load.0 as f64
        };
        let worst = |throttled: bool| {
            book.entries
                .iter()
                .filter(|(_, entry)| entry.phase == Phase::Running)
                .filter(|(_, entry)| entry.throttled.is_some() == throttled)
                .filter(|(_, entry)| entry.start.as_ref().is_some_and(|start| start.evictable))
                .max_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))
                .map(|(task, entry)| (task.clone(), entry.attempt))
        };
        let (free, limited) = (worst(false), worst(true));
        let Some(book) = self.books.get_mut(&slot) else {
            return;
        };
        if let Some((task, attempt)) = free {
            if let Some(entry) = book.entries.get_mut(&task) {
                entry.throttled = Some(now);
            }
            let share = bundle.eviction.throttle_to;
            book.throttles.push((task, attempt, share));
            book.corrected_at = Some(now);
        } else if let Some((task, _)) = limited
            && self.budget.take(now)
            && let Some(entry) = book.entries.get_mut(&task)
        {
            entry.phase = SAVE_AND_STOP;
            book.corrected_at = Some(now);
        }
    }

    fn speed_up(&mut self, slot: Slot, bundle: &Bundle, now: Millis) {
        let wait = bundle.eviction.throttle_wait_ms;
        let Some(book) = self.books.get_mut(&slot) else {
            return;
        };
        if book.corrected_at.is_none_or(|at| now.since(at) < wait) {
            return;
        }
        let throttled = book
            .entries
            .iter_mut()
            .find(|(_, entry)| entry.throttled.is_some() && entry.phase == Phase::Running);
        if let Some((task, entry)) = throttled {
            entry.throttled = None;
            let resumed = (task.clone(), entry.attempt, FULL_SHARE);
            book.throttles.push(resumed);
            book.corrected_at = Some(now);
        }
    }

    /// Evicts a running attempt with a checkpoint, within the eviction budget.
    pub fn evict(&mut self, worker: &VmId, task: &TaskId, now: Millis) -> bool {
        if self.running(worker, task).is_none() || !self.budget.take(now) {
            return false;
        }
        if let Some(entry) = self.running(worker, task) {
            entry.phase = SAVE_AND_STOP;
        }
        true
    }

    /// Evicts all running attempts from a worker that an operator drains.
    ///
    /// The budget bounds what the system decides by itself and does not apply here.
    pub fn evict_all(&mut self, worker: &VmId) {
        let Some(slot) = self.slots.get(worker) else {
            return;
        };
        let Some(book) = self.books.get_mut(slot) else {
            return;
        };
        for entry in book.entries.values_mut() {
            if entry.phase == Phase::Running {
                entry.phase = SAVE_AND_STOP;
            }
        }
    }

    fn running(&mut self, worker: &VmId, task: &TaskId) -> Option<&mut Entry> {
        let slot = self.slots.get(worker)?;
        let entry = self.books.get_mut(slot)?.entries.get_mut(task)?;
        (entry.phase == Phase::Running).then_some(entry)
    }
}

fn is_slow(book: &WorkerBook, bundle: &Bundle, now: Millis) -> Option<bool> {
    let (at, added) = book.service_sample?;
    if now.since(at) > SAMPLE_TTL {
        return None;
    }
    let tolerated = f64::from(bundle.interference.tolerated_slowdown.0) / 1000.0 - 1.0;
    Some(added > tolerated)
}
