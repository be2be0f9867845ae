//! Mitigation of interference with a service: throttles batch tasks first, then evicts them with a
//! checkpoint.

use super::attempt_entry::{AttemptEntry, Phase};
use super::free_index::WorkerSlot;
use super::owner::RackOwner;
use super::worker_ledger::WorkerLedger;
use crate::prelude::*;
use crate::schema::bundle::Bundle;

/// Age above which a measurement of a service is stale and causes no action.
const SAMPLE_TTL: Millis = Millis(15_000);

/// CPU share of a task that is not throttled.
const FULL_SHARE: Permille = Permille(1000);

/// Phase of an attempt that is evicted: it saves a checkpoint and stops.
const CHECKPOINT_AND_STOP: Phase = Phase::Stopping {
    save: true,
    sent: false,
};

impl RackOwner {
    /// Records the measured slowdown of the service on a worker; 1000 is full speed.
    ///
    /// The estimates learn from it unless a task on the worker is throttled.
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
        let Some(ledger) = self.ledgers.get_mut(slot) else {
            return;
        };
        let measured = now - age;
        let added = (f64::from(slowdown.0) / 1000.0 - 1.0).max(0.0);
        ledger.service_sample = Some((measured, added));
        let throttled = ledger
            .entries
            .values()
            .any(|entry| entry.throttled.is_some());
        if let Some(service) = ledger.service
            && !throttled
            && let Some(loads) = ledger.loads_at(measured)
        {
            self.interference.learn(service, loads, added, now);
        }
    }

    /// Throttles or evicts tasks where a service is slowed more than tolerated, and lifts throttles
    /// elsewhere.
    pub(super) fn mitigate_interference(&mut self, now: Millis) {
        let Some(held) = self.bundle.clone() else {
            return;
        };
        let slow: Vec<(WorkerSlot, bool)> = self
            .ledgers
            .iter()
            .filter_map(|(slot, ledger)| Some((*slot, is_slow(ledger, &held.bundle, now)?)))
            .collect();
        for (slot, is_slow) in slow {
            if is_slow {
                self.tighten(slot, &held.bundle, now);
            } else {
                self.relax(slot, &held.bundle, now);
            }
        }
    }

    fn tighten(&mut self, slot: WorkerSlot, bundle: &Bundle, now: Millis) {
        let wait = bundle.eviction.throttle_wait_ms;
        let Some(ledger) = self.ledgers.get(&slot) else {
            return;
        };
        if ledger.mitigated_at.is_some_and(|at| now.since(at) < wait) {
            return;
        }
        let Some(service) = ledger.service else {
            return;
        };
        let estimates = &self.interference;
        let cost = |entry: &super::attempt_entry::AttemptEntry| {
            estimates.estimate(service, entry.kind, now).0 * entry.load.0 as f64
        };
        let worst = |throttled: bool| {
            ledger
                .entries
                .iter()
                .filter(|(_, entry)| entry.phase == Phase::Running)
                .filter(|(_, entry)| entry.throttled.is_some() == throttled)
                .filter(|(_, entry)| entry.start.as_ref().is_some_and(|start| start.evictable))
                .max_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))
                .map(|(task, entry)| (task.clone(), entry.attempt))
        };
        let (free, limited) = (worst(false), worst(true));
        let Some(ledger) = self.ledgers.get_mut(&slot) else {
            return;
        };
        if let Some((task, attempt)) = free {
            if let Some(entry) = ledger.entries.get_mut(&task) {
                entry.throttled = Some(now);
            }
            let share = bundle.eviction.throttle_to;
            ledger.throttles.push((task, attempt, share));
            ledger.mitigated_at = Some(now);
        } else if let Some((task, _)) = limited
            && self.budget.take(now)
            && let Some(entry) = ledger.entries.get_mut(&task)
        {
            entry.phase = CHECKPOINT_AND_STOP;
            ledger.mitigated_at = Some(now);
        }
    }

    fn relax(&mut self, slot: WorkerSlot, bundle: &Bundle, now: Millis) {
        let wait = bundle.eviction.throttle_wait_ms;
        let Some(ledger) = self.ledgers.get_mut(&slot) else {
            return;
        };
        if ledger.mitigated_at.is_none_or(|at| now.since(at) < wait) {
            return;
        }
        let throttled = ledger
            .entries
            .iter_mut()
            .find(|(_, entry)| entry.throttled.is_some() && entry.phase == Phase::Running);
        if let Some((task, entry)) = throttled {
            entry.throttled = None;
            let resumed = (task.clone(), entry.attempt, FULL_SHARE);
            ledger.throttles.push(resumed);
            ledger.mitigated_at = Some(now);
        }
    }

    /// Evicts a running attempt with a checkpoint, within the eviction budget. Returns whether it
    /// did.
    pub fn evict(&mut self, worker: &VmId, task: &TaskId, now: Millis) -> bool {
        if self.running(worker, task).is_none() || !self.budget.take(now) {
            return false;
        }
        if let Some(entry) = self.running(worker, task) {
            entry.phase = CHECKPOINT_AND_STOP;
        }
        true
    }

    /// Evicts all running attempts from a worker that an operator drains.
    ///
    /// The eviction budget limits automatic decisions only and does not apply here.
    pub fn evict_all(&mut self, worker: &VmId) {
        let Some(slot) = self.slots.get(worker) else {
            return;
        };
        let Some(ledger) = self.ledgers.get_mut(slot) else {
            return;
        };
        for entry in ledger.entries.values_mut() {
            if entry.phase == Phase::Running {
                entry.phase = CHECKPOINT_AND_STOP;
            }
        }
    }

    fn running(&mut self, worker: &VmId, task: &TaskId) -> Option<&mut AttemptEntry> {
        let slot = self.slots.get(worker)?;
        let entry = self.ledgers.get_mut(slot)?.entries.get_mut(task)?;
        (entry.phase == Phase::Running).then_some(entry)
    }
}

/// Returns whether the service on a worker is slowed more than tolerated, or `None` without a
/// recent measurement.
fn is_slow(ledger: &WorkerLedger, bundle: &Bundle, now: Millis) -> Option<bool> {
    let (at, added) = ledger.service_sample?;
    if now.since(at) > SAMPLE_TTL {
        return None;
    }
    let tolerated = f64::from(bundle.interference.tolerated_slowdown.0) / 1000.0 - 1.0;
    Some(added > tolerated)
}
