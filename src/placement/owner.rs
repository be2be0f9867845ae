//! Decisions of a rack owner: it reserves capacity on the workers of its racks, and starts, stops
//! and reports attempts there.

use std::collections::BTreeMap;

use super::attempt_entry::{AttemptEntry, Phase, ended};
use super::fleet::Fleet;
use super::free_index::{FreeIndex, WorkerSlot};
use super::interference::Interference;
use super::lease::lease_expiry_bound;
use super::worker_ledger::WorkerLedger;
use crate::admission::TokenBucket;
use crate::batch::{shard_of_job, split_task};
use crate::bundle::BundleInForce;
use crate::membership::Ownership;
use crate::prelude::*;
use crate::schema::batch::{
    AttemptState, AttemptStatus, BlameWorker, EndKind, JobReport, Place, RackAnswer, RackCall,
    RackDigest, ReleaseAttempt, StartAttempt, StopAttempt,
};
use crate::schema::worker::TaskAttempt;

/// Time for which an unused reservation holds capacity.
pub const RESERVATION_TTL: Millis = Millis(5000);

/// Interval at which a state is reported again until the job owner confirms it.
const REPORT_RETRY: Millis = Millis(2000);

/// Number of jobs that must attribute a failure to a worker before it is quarantined.
const ATTRIBUTIONS_TO_QUARANTINE: usize = 3;

/// Time for which an attributed failure counts.
const ATTRIBUTION_TTL: Millis = Millis(600_000);

/// Half-life of interference estimates until the first bundle sets it.
const DEFAULT_HALF_LIFE: Millis = Millis(1_800_000);

/// Period of the rate of the eviction budget.
const EVICTION_PERIOD: Millis = Millis::from_secs(3600);

/// The rack owner role of an entry process.
pub struct RackOwner {
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) epoch: Epoch,
    /// Time since which each rack has been owned in the current epoch.
    owned_since: BTreeMap<RackId, Millis>,
    pub(super) slots: BTreeMap<VmId, WorkerSlot>,
    pub(super) ledgers: BTreeMap<WorkerSlot, WorkerLedger>,
    pub(super) index: FreeIndex,
    pub(super) interference: Interference,
    pub(super) bundle: Option<Arc<BundleInForce>>,
    pub(super) budget: TokenBucket,
    /// State of the generator that samples candidates.
    pub(super) random: u64,
    /// Number of the last command.
    pub(super) commands_sent: u64,
    /// Workers of the reservations that were not started yet.
    pub(super) reservation_slots: BTreeMap<TaskId, WorkerSlot>,
    next_slot: WorkerSlot,
}

impl RackOwner {
    /// Creates an owner without workers; `seed` seeds the sampling of candidates.
    pub fn new(ownership: Arc<dyn Ownership>, seed: u64) -> Self {
        Self {
            ownership,
            epoch: Epoch(0),
            owned_since: BTreeMap::new(),
            slots: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            index: FreeIndex::default(),
            interference: Interference::new(DEFAULT_HALF_LIFE),
            bundle: None,
            budget: TokenBucket::new(0.0, EVICTION_PERIOD, 0.0, Millis::ZERO),
            random: seed,
            commands_sent: 0,
            reservation_slots: BTreeMap::new(),
            next_slot: 0,
        }
    }

    /// Adopts the current epoch if it is newer. Every worker must then be claimed again.
    pub fn adopt_epoch(&mut self, now: Millis) {
        let epoch = self.ownership.epoch();
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.owned_since.clear();
        let me = self.ownership.me();
        let ownership = &self.ownership;
        self.ledgers
            .retain(|_, ledger| ownership.rack_owner(&ledger.place.rack).as_ref() == Some(&me));
        let ledgers = &self.ledgers;
        self.slots.retain(|_, slot| ledgers.contains_key(slot));
        self.index = FreeIndex::default();
        self.reservation_slots.clear();
        for ledger in self.ledgers.values_mut() {
            self.owned_since.insert(ledger.place.rack.clone(), now);
            ledger.start_epoch();
        }
    }

    /// Returns the adopted epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies the VM list and the bundle in force.
    pub fn set_fleet_and_bundle(
        &mut self,
        fleet: &Fleet,
        bundle: Option<Arc<BundleInForce>>,
        now: Millis,
    ) {
        let me = self.ownership.me();
        let mine = |vm: &Place| self.ownership.rack_owner(&vm.rack).as_ref() == Some(&me);
        let shown: Vec<_> = fleet
            .workers()
            .filter_map(|vm| {
                let place = Place {
                    worker: vm.vm.clone(),
                    rack: vm.rack.clone(),
                };
                mine(&place).then(|| (place, vm.clone()))
            })
            .collect();
        for ledger in self.ledgers.values_mut() {
            ledger.listed = false;
        }
        for (place, vm) in shown {
            let service = vm
                .service
                .as_ref()
                .map(|service| self.interference.kind(&format!("service:{service}")));
            let slot = self.slot(&place, now);
            if let Some(ledger) = self.ledgers.get_mut(&slot) {
                ledger.set_listed(&vm, service);
            }
        }
        self.drop_unlisted();
        self.set_bundle(fleet, bundle, now);
        let slots: Vec<WorkerSlot> = self.ledgers.keys().copied().collect();
        for slot in slots {
            self.reindex(slot, now);
        }
    }

    /// Removes workers that the VM list no longer shows and that have no attempts.
    fn drop_unlisted(&mut self) {
        let index = &mut self.index;
        self.ledgers.retain(|slot, ledger| {
            let keep = ledger.listed || !ledger.entries.is_empty();
            if !keep {
                index.set(*slot, &ledger.zone, None);
            }
            keep
        });
        let ledgers = &self.ledgers;
        self.slots.retain(|_, slot| ledgers.contains_key(slot));
    }

    fn set_bundle(&mut self, fleet: &Fleet, bundle: Option<Arc<BundleInForce>>, now: Millis) {
        self.bundle = bundle;
        let Some(bundle) = &self.bundle else {
            return;
        };
        // The eviction budget is per site. Each owner gets the fraction of it that its workers are
        // of the fleet.
        let part = self.ledgers.len() as f64 / fleet.workers().count().max(1) as f64;
        let eviction = &bundle.bundle.eviction;
        let burst = (f64::from(eviction.burst) * part).max(1.0);
        let per_hour = f64::from(eviction.per_hour) * part;
        self.budget.set_limits(per_hour, burst, now);
        let half_life = bundle.bundle.interference.half_life_s;
        self.interference
            .set_half_life(Millis::from_secs(half_life.into()));
    }

    pub(super) fn slot(&mut self, place: &Place, now: Millis) -> WorkerSlot {
        self.owned_since.entry(place.rack.clone()).or_insert(now);
        if let Some(slot) = self.slots.get(&place.worker) {
            return *slot;
        }
        let slot = self.next_slot;
        self.next_slot += 1;
        self.slots.insert(place.worker.clone(), slot);
        self.ledgers.insert(slot, WorkerLedger::new(place.clone()));
        slot
    }

    pub(super) fn reindex(&mut self, slot: WorkerSlot, now: Millis) {
        if let Some(ledger) = self.ledgers.get(&slot) {
            self.index.set(slot, &ledger.zone, ledger.available(now));
        }
    }

    /// Returns whether this process is an active member and has adopted the current epoch.
    pub fn may_act(&self) -> bool {
        self.ownership.is_active() && self.ownership.epoch() == self.epoch
    }

    /// Handles one exchange with a job owner: releases, stops, starts, reservations and attributed
    /// failures, in this order.
    ///
    /// Nothing is carried out and `accepted` is false if the epochs differ or `may_act` is false.
    pub fn handle(&mut self, call: &RackCall, now: Millis) -> RackAnswer {
        let accepted = self.may_act() && call.epoch == self.epoch;
        let mut response = RackAnswer {
            epoch: self.epoch,
            from: self.ownership.me(),
            accepted,
            reserved: Vec::new(),
            status: Vec::new(),
            digest: RackDigest {
                workers: 0,
                free: Resources::default(),
                largest: Resources::default(),
            },
            teams: Vec::new(),
        };
        if !accepted {
            return response;
        }
        for release in &call.release {
            self.release(release, now);
        }
        for stop in &call.stop {
            let state = self.stop(stop, now);
            response
                .status
                .extend(status(&stop.task, stop.attempt, &stop.place, state));
        }
        for start in &call.start {
            let state = self.start(start, now);
            response
                .status
                .extend(status(&start.task, start.attempt, &start.place, state));
        }
        for reserve in &call.reserve {
            response.reserved.extend(self.reserve(reserve, now));
        }
        for attribution in &call.blame {
            self.record_attribution(attribution, now);
        }
        response.digest = self.digest();
        response
    }

    /// Returns a digest of the workers that take new tasks and their free capacity.
    pub fn digest(&self) -> RackDigest {
        let (free, largest) = self.index.summary();
        RackDigest {
            workers: u32::try_from(self.index.len()).unwrap_or(u32::MAX),
            free,
            largest,
        }
    }

    fn is_mine(&self, place: &Place) -> bool {
        self.ownership.rack_owner(&place.rack) == Some(self.ownership.me())
    }

    /// Returns whether leases of earlier owners have expired on workers that were never claimed.
    ///
    /// The wait counts from when this process gained the rack. That can be after it adopted the
    /// epoch, if the previous owner releases the rack late.
    fn old_leases_expired(&self, rack: &RackId, now: Millis) -> bool {
        self.owned_since
            .get(rack)
            .is_some_and(|since| now.since(*since) > lease_expiry_bound())
    }

    fn start(&mut self, start: &StartAttempt, now: Millis) -> Option<AttemptState> {
        if !self.is_mine(&start.place) {
            return None;
        }
        let kind = self.interference.kind(&start.kind);
        let slot = self.slot(&start.place, now);
        let expired = self.old_leases_expired(&start.place.rack, now);
        let ledger = self.ledgers.get_mut(&slot)?;
        if ledger.is_resolved(&start.task, start.attempt) {
            return Some(AttemptState::Waiting);
        }
        if let Some(entry) = ledger
            .entries
            .get_mut(&start.task)
            .filter(|entry| entry.attempt == start.attempt)
        {
            if matches!(entry.phase, Phase::Held { .. }) {
                entry.phase = Phase::Starting;
            }
            if entry.phase == Phase::Running {
                entry.report_at = None;
            }
            entry.start = Some(start.clone());
            return Some(entry.state());
        }
        if ledger.fenced_out || (!ledger.claimed && !expired) {
            return Some(AttemptState::Waiting);
        }
        if let Some(other) = ledger.entries.get(&start.task) {
            if other.attempt > start.attempt || other.holds_capacity() {
                return Some(AttemptState::Waiting);
            }
            let resolved = other.attempt;
            ledger.mark_resolved(&start.task, resolved, now);
        }
        let phase = if !ledger.claimed {
            ended(EndKind::Gone)
        } else if ledger.has_room(&start.resources) && !ledger.is_unresponsive(now) {
            Phase::Starting
        } else {
            // Copies of this start may still be in flight, so a stop fences the attempt.
            Phase::Stopping {
                save: false,
                sent: false,
            }
        };
        let mut entry = AttemptEntry::new(start.attempt, start.resources, kind, phase);
        if matches!(entry.phase, Phase::Stopping { .. }) {
            entry.resources = Resources::default();
        }
        entry.start = Some(start.clone());
        let state = entry.state();
        ledger.entries.insert(start.task.clone(), entry);
        ledger.recompute_usage();
        self.reindex(slot, now);
        Some(state)
    }

    fn stop(&mut self, stop: &StopAttempt, now: Millis) -> Option<AttemptState> {
        if !self.is_mine(&stop.place) {
            return None;
        }
        let slot = self.slot(&stop.place, now);
        let expired = self.old_leases_expired(&stop.place.rack, now);
        let ledger = self.ledgers.get_mut(&slot)?;
        if ledger.is_resolved(&stop.task, stop.attempt) {
            return Some(AttemptState::Waiting);
        }
        if ledger.fenced_out || (!ledger.claimed && !expired) {
            return Some(AttemptState::Waiting);
        }
        let phase = if ledger.claimed {
            Phase::Stopping {
                save: stop.checkpoint,
                sent: false,
            }
        } else {
            ended(EndKind::Gone)
        };
        match ledger.entries.get_mut(&stop.task) {
            Some(entry) if entry.attempt == stop.attempt => {
                let again = matches!(entry.phase, Phase::Stopping { .. } | Phase::Ended(_));
                if !again {
                    entry.phase = phase;
                }
                return Some(entry.state());
            }
            Some(_) => return Some(AttemptState::Waiting),
            None => {}
        }
        let kind = self.interference.kind("");
        let entry = AttemptEntry::new(stop.attempt, Resources::default(), kind, phase);
        let state = entry.state();
        ledger.entries.insert(stop.task.clone(), entry);
        Some(state)
    }

    fn release(&mut self, release: &ReleaseAttempt, now: Millis) {
        let Some(slot) = self.slots.get(&release.place.worker).copied() else {
            return;
        };
        let Some(ledger) = self.ledgers.get_mut(&slot) else {
            return;
        };
        let Some(entry) = ledger
            .entries
            .get(&release.task)
            .filter(|entry| entry.attempt == release.attempt)
        else {
            return;
        };
        if entry.holds_capacity() {
            return;
        }
        ledger.mark_resolved(&release.task, release.attempt, now);
        ledger.acks.push(TaskAttempt {
            task: release.task.clone(),
            attempt: release.attempt,
        });
        ledger.entries.remove(&release.task);
        ledger.recompute_usage();
        self.reindex(slot, now);
    }

    fn record_attribution(&mut self, attribution: &BlameWorker, now: Millis) {
        let quarantined = self
            .ledgers
            .values()
            .filter(|ledger| ledger.quarantined)
            .count();
        let allowed = (quarantined + 1) * 2 <= self.ledgers.len().max(2);
        let Some(slot) = self.slots.get(&attribution.place.worker).copied() else {
            return;
        };
        let Some(ledger) = self.ledgers.get_mut(&slot) else {
            return;
        };
        ledger
            .attributions
            .retain(|_, at| now.since(*at) < ATTRIBUTION_TTL);
        ledger.attributions.insert(attribution.job.clone(), now);
        if !ledger.quarantined && allowed && ledger.attributions.len() >= ATTRIBUTIONS_TO_QUARANTINE
        {
            ledger.quarantined = true;
            tracing::warn!(worker = %attribution.place.worker, "worker quarantined: it fails tasks of several jobs that succeed elsewhere");
        }
        self.reindex(slot, now);
    }

    /// Returns the reports that are due, by shard owner.
    pub fn due_reports(&mut self, now: Millis) -> Vec<(MemberId, JobReport)> {
        if !self.may_act() {
            return Vec::new();
        }
        let mut reports: BTreeMap<MemberId, JobReport> = BTreeMap::new();
        for ledger in self.ledgers.values_mut() {
            let place = &ledger.place;
            for (task, entry) in &mut ledger.entries {
                if entry.report_at.is_none_or(|at| now < at) {
                    continue;
                }
                let Some(owner) = split_task(task)
                    .and_then(|(_, job, _)| shard_of_job(&job))
                    .and_then(|shard| self.ownership.shard_owner(shard))
                else {
                    continue;
                };
                entry.report_at = Some(now + REPORT_RETRY);
                let report = reports.entry(owner).or_insert_with(|| JobReport {
                    epoch: self.epoch,
                    from: self.ownership.me(),
                    status: Vec::new(),
                });
                let state = Some(entry.state());
                report
                    .status
                    .extend(status(task, entry.attempt, place, state));
                if entry.phase == Phase::Running && entry.start.is_some() {
                    entry.report_at = None;
                }
            }
        }
        reports.into_iter().collect()
    }

    /// Returns the reserved capacity of each claimed worker and the capacity that bounds it.
    pub fn reserved_capacity(&self) -> Vec<(VmId, Resources, Resources)> {
        self.ledgers
            .values()
            .filter(|ledger| ledger.claimed)
            .map(|ledger| (ledger.place.worker.clone(), ledger.used, ledger.capacity()))
            .collect()
    }

    /// Returns the attempts that hold capacity on a claimed worker.
    pub fn reservations(&self, worker: &VmId) -> Vec<(TaskId, Attempt, Resources)> {
        self.slots
            .get(worker)
            .and_then(|slot| self.ledgers.get(slot))
            .filter(|ledger| ledger.claimed && !ledger.fenced_out)
            .into_iter()
            .flat_map(|ledger| &ledger.entries)
            .filter(|(_, entry)| entry.holds_capacity())
            .map(|(task, entry)| (task.clone(), entry.attempt, entry.resources))
            .collect()
    }

    /// Returns the quarantined workers.
    pub fn quarantined(&self) -> Vec<VmId> {
        self.ledgers
            .values()
            .filter(|ledger| ledger.quarantined)
            .map(|ledger| ledger.place.worker.clone())
            .collect()
    }
}

fn status(
    task: &TaskId,
    attempt: Attempt,
    place: &Place,
    state: Option<AttemptState>,
) -> Option<AttemptStatus> {
    Some(AttemptStatus {
        task: task.clone(),
        attempt,
        place: place.clone(),
        state: state?,
    })
}
