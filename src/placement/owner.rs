//! Decisions of a rack owner over the workers of its racks.

use std::collections::BTreeMap;

use super::budget::EvictionBudget;
use super::entry::{Entry, Phase, ended};
use super::fleet::Fleet;
use super::free_index::{FreeIndex, Slot};
use super::interference::Interference;
use super::lease::certain_expiry;
use super::worker_book::WorkerBook;
use crate::batch::{shard_of_job, split_task};
use crate::bundle::BundleInForce;
use crate::membership::Ownership;
use crate::prelude::*;
use crate::schema::batch::{
    AttemptState, AttemptStatus, BlameWorker, EndKind, JobReport, Place, RackAnswer, RackCall,
    RackDigest, ReleaseAttempt, StartAttempt, StopAttempt,
};
use crate::schema::worker::TaskAttempt;

/// Time for which a reservation holds capacity.
pub const HOLD: Millis = Millis(5000);

/// Interval at which an end is reported until it is released.
const PUSH_AGAIN: Millis = Millis(2000);

/// Jobs that must blame a worker before it is quarantined.
const BLAMES_TO_QUARANTINE: usize = 3;

/// Time for which a blame counts.
const BLAME_TTL: Millis = Millis(600_000);

/// Half-life of interference estimates before the first bundle.
const DEFAULT_HALF_LIFE: Millis = Millis(1_800_000);

/// The rack owner's side of one entry process.
pub struct RackOwner {
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) epoch: Epoch,
    /// Time since which racks have been owned in the present epoch.
    owned_since: BTreeMap<RackId, Millis>,
    pub(super) slots: BTreeMap<VmId, Slot>,
    pub(super) books: BTreeMap<Slot, WorkerBook>,
    pub(super) index: FreeIndex,
    pub(super) interference: Interference,
    pub(super) bundle: Option<Arc<BundleInForce>>,
    pub(super) budget: EvictionBudget,
    pub(super) random: u64,
    pub(super) sent: u64,
    pub(super) holds: BTreeMap<TaskId, Slot>,
    next_slot: Slot,
}

impl RackOwner {
    /// Creates an owner without workers; `seed` varies the sampling of candidates.
    pub fn new(ownership: Arc<dyn Ownership>, seed: u64) -> Self {
        Self {
            ownership,
            epoch: Epoch(0),
            owned_since: BTreeMap::new(),
            slots: BTreeMap::new(),
            books: BTreeMap::new(),
            index: FreeIndex::default(),
            interference: Interference::new(DEFAULT_HALF_LIFE),
            bundle: None,
            budget: EvictionBudget::new(0.0, 0.0, Millis::ZERO),
            random: seed,
            sent: 0,
            holds: BTreeMap::new(),
            next_slot: 0,
        }
    }

    /// Adopts the current epoch; every worker must be claimed anew.
    pub fn adopt_epoch(&mut self, now: Millis) {
        let epoch = self.ownership.epoch();
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.owned_since.clear();
        let me = self.ownership.me();
        let ownership = &self.ownership;
        self.books
            .retain(|_, book| ownership.rack_owner(&book.place.rack).as_ref() == Some(&me));
        let books = &self.books;
        self.slots.retain(|_, slot| books.contains_key(slot));
        self.index = FreeIndex::default();
        self.holds.clear();
        for book in self.books.values_mut() {
            self.owned_since.insert(book.place.rack.clone(), now);
            book.start_epoch();
        }
    }

    /// Returns the epoch that was adopted.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes in the VM list and the bundle in force.
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
        for book in self.books.values_mut() {
            book.listed = false;
        }
        for (place, vm) in shown {
            let service = vm
                .service
                .as_ref()
                .map(|service| self.interference.kind(&format!("service:{service}")));
            let slot = self.slot(&place, now);
            if let Some(book) = self.books.get_mut(&slot) {
                book.set_listed(&vm, service);
            }
        }
        self.drop_unlisted();
        self.set_bundle(fleet, bundle, now);
        let slots: Vec<Slot> = self.books.keys().copied().collect();
        for slot in slots {
            self.reindex(slot, now);
        }
    }

    /// Forgets workers that the list no longer shows and that hold nothing.
    fn drop_unlisted(&mut self) {
        let index = &mut self.index;
        self.books.retain(|slot, book| {
            let keep = book.listed || !book.entries.is_empty();
            if !keep {
                index.set(*slot, &book.zone, None);
            }
            keep
        });
        let books = &self.books;
        self.slots.retain(|_, slot| books.contains_key(slot));
    }

    fn set_bundle(&mut self, fleet: &Fleet, bundle: Option<Arc<BundleInForce>>, now: Millis) {
        self.bundle = bundle;
        let Some(bundle) = &self.bundle else {
            return;
        };
        // The budget is per site; an owner gets the part of it that its workers are of the fleet.
        let part = self.books.len() as f64 / fleet.workers().count().max(1) as f64;
        let eviction = &bundle.bundle.eviction;
        let burst = (f64::from(eviction.burst) * part).max(1.0);
        let per_hour = f64::from(eviction.per_hour) * part;
        self.budget.set_limits(per_hour, burst, now);
        let half_life = bundle.bundle.interference.half_life_s;
        self.interference
            .set_half_life(Millis::from_secs(half_life.into()));
    }

    pub(super) fn slot(&mut self, place: &Place, now: Millis) -> Slot {
        self.owned_since.entry(place.rack.clone()).or_insert(now);
        if let Some(slot) = self.slots.get(&place.worker) {
            return *slot;
        }
        let slot = self.next_slot;
        self.next_slot += 1;
        self.slots.insert(place.worker.clone(), slot);
        self.books.insert(slot, WorkerBook::new(place.clone()));
        slot
    }

    pub(super) fn reindex(&mut self, slot: Slot, now: Millis) {
        if let Some(book) = self.books.get(&slot) {
            self.index.set(slot, &book.zone, book.offer(now));
        }
    }

    /// Tells whether this process may act as the owner in its epoch at this moment.
    pub fn may_act(&self) -> bool {
        self.ownership.is_active() && self.ownership.epoch() == self.epoch
    }

    /// Carries out one exchange of a job owner.
    pub fn handle(&mut self, call: &RackCall, now: Millis) -> RackAnswer {
        let accepted = self.may_act() && call.epoch == self.epoch;
        let mut answer = RackAnswer {
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
            return answer;
        }
        for release in &call.release {
            self.release(release, now);
        }
        for stop in &call.stop {
            let state = self.stop(stop, now);
            answer
                .status
                .extend(status(&stop.task, stop.attempt, &stop.place, state));
        }
        for start in &call.start {
            let state = self.start(start, now);
            answer
                .status
                .extend(status(&start.task, start.attempt, &start.place, state));
        }
        for reserve in &call.reserve {
            answer.reserved.extend(self.reserve(reserve, now));
        }
        for blame in &call.blame {
            self.blame(blame, now);
        }
        answer.digest = self.digest();
        answer
    }

    /// Returns the free capacity of all workers that take new tasks.
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

    /// Tells whether leases of earlier owners have expired on workers that were not claimed.
    ///
    /// The wait counts from when the rack became one's own, which may be after the epoch was
    /// adopted, if the previous owner was slow to let go.
    fn old_leases_expired(&self, rack: &RackId, now: Millis) -> bool {
        self.owned_since
            .get(rack)
            .is_some_and(|since| now.since(*since) > certain_expiry())
    }

    fn start(&mut self, start: &StartAttempt, now: Millis) -> Option<AttemptState> {
        if !self.is_mine(&start.place) {
            return None;
        }
        let kind = self.interference.kind(&start.kind);
        let slot = self.slot(&start.place, now);
        let expired = self.old_leases_expired(&start.place.rack, now);
        let book = self.books.get_mut(&slot)?;
        if book.is_buried(&start.task, start.attempt) {
            return Some(AttemptState::Waiting);
        }
        if let Some(entry) = book
            .entries
            .get_mut(&start.task)
            .filter(|entry| entry.attempt == start.attempt)
        {
            if matches!(entry.phase, Phase::Held { .. }) {
                entry.phase = Phase::Starting;
            }
            if entry.phase == Phase::Running {
                entry.push_at = None;
            }
            entry.start = Some(start.clone());
            return Some(entry.state());
        }
        if book.fenced_out || (!book.claimed && !expired) {
            return Some(AttemptState::Waiting);
        }
        if let Some(other) = book.entries.get(&start.task) {
            if other.attempt > start.attempt || other.holds_capacity() {
                return Some(AttemptState::Waiting);
            }
            let resolved = other.attempt;
            book.bury(&start.task, resolved, now);
        }
        let phase = if !book.claimed {
            ended(EndKind::Gone)
        } else if book.has_room(&start.resources) && !book.is_silent(now) {
            Phase::Starting
        } else {
            // Copies of this start may still be on their way, so the attempt is fenced.
            Phase::Stopping {
                save: false,
                sent: false,
            }
        };
        let mut entry = Entry::new(start.attempt, start.resources, kind, phase);
        if matches!(entry.phase, Phase::Stopping { .. }) {
            entry.resources = Resources::default();
        }
        entry.start = Some(start.clone());
        let state = entry.state();
        book.entries.insert(start.task.clone(), entry);
        book.recount();
        self.reindex(slot, now);
        Some(state)
    }

    fn stop(&mut self, stop: &StopAttempt, now: Millis) -> Option<AttemptState> {
        if !self.is_mine(&stop.place) {
            return None;
        }
        let slot = self.slot(&stop.place, now);
        let expired = self.old_leases_expired(&stop.place.rack, now);
        let book = self.books.get_mut(&slot)?;
        if book.is_buried(&stop.task, stop.attempt) {
            return Some(AttemptState::Waiting);
        }
        if book.fenced_out || (!book.claimed && !expired) {
            return Some(AttemptState::Waiting);
        }
        let phase = if book.claimed {
            Phase::Stopping {
                save: stop.checkpoint,
                sent: false,
            }
        } else {
            ended(EndKind::Gone)
        };
        match book.entries.get_mut(&stop.task) {
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
        let entry = Entry::new(stop.attempt, Resources::default(), kind, phase);
        let state = entry.state();
        book.entries.insert(stop.task.clone(), entry);
        Some(state)
    }

    fn release(&mut self, release: &ReleaseAttempt, now: Millis) {
        let Some(slot) = self.slots.get(&release.place.worker).copied() else {
            return;
        };
        let Some(book) = self.books.get_mut(&slot) else {
            return;
        };
        let Some(entry) = book
            .entries
            .get(&release.task)
            .filter(|entry| entry.attempt == release.attempt)
        else {
            return;
        };
        if entry.holds_capacity() {
            return;
        }
        book.bury(&release.task, release.attempt, now);
        book.acks.push(TaskAttempt {
            task: release.task.clone(),
            attempt: release.attempt,
        });
        book.entries.remove(&release.task);
        book.recount();
        self.reindex(slot, now);
    }

    fn blame(&mut self, blame: &BlameWorker, now: Millis) {
        let quarantined = self.books.values().filter(|book| book.quarantined).count();
        let allowed = (quarantined + 1) * 2 <= self.books.len().max(2);
        let Some(slot) = self.slots.get(&blame.place.worker).copied() else {
            return;
        };
        let Some(book) = self.books.get_mut(&slot) else {
            return;
        };
        book.blamed_by.retain(|_, at| now.since(*at) < BLAME_TTL);
        book.blamed_by.insert(blame.job.clone(), now);
        if !book.quarantined && allowed && book.blamed_by.len() >= BLAMES_TO_QUARANTINE {
            book.quarantined = true;
            tracing::warn!(worker = %blame.place.worker, "worker quarantined: it fails tasks of several jobs that succeed elsewhere");
        }
        self.reindex(slot, now);
    }

    /// Returns reports that are due, by shard owner.
    pub fn due_reports(&mut self, now: Millis) -> Vec<(MemberId, JobReport)> {
        if !self.may_act() {
            return Vec::new();
        }
        let mut reports: BTreeMap<MemberId, JobReport> = BTreeMap::new();
        for book in self.books.values_mut() {
            let place = &book.place;
            for (task, entry) in &mut book.entries {
                if entry.push_at.is_none_or(|at| now < at) {
                    continue;
                }
                let Some(owner) = split_task(task)
                    .and_then(|(_, job, _)| shard_of_job(&job))
                    .and_then(|shard| self.ownership.shard_owner(shard))
                else {
                    continue;
                };
                entry.push_at = Some(now + PUSH_AGAIN);
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
                    entry.push_at = None;
                }
            }
        }
        reports.into_iter().collect()
    }

    /// Returns what is promised on each claimed worker, with the capacity that it may not exceed.
    pub fn reserved_capacity(&self) -> Vec<(VmId, Resources, Resources)> {
        self.books
            .values()
            .filter(|book| book.claimed)
            .map(|book| (book.place.worker.clone(), book.used, book.capacity()))
            .collect()
    }

    /// Lists the attempts that hold capacity on a claimed worker.
    pub fn reservations(&self, worker: &VmId) -> Vec<(TaskId, Attempt, Resources)> {
        self.slots
            .get(worker)
            .and_then(|slot| self.books.get(slot))
            .filter(|book| book.claimed && !book.fenced_out)
            .into_iter()
            .flat_map(|book| &book.entries)
            .filter(|(_, entry)| entry.holds_capacity())
            .map(|(task, entry)| (task.clone(), entry.attempt, entry.resources))
            .collect()
    }

    /// Lists quarantined workers.
    pub fn quarantined(&self) -> Vec<VmId> {
        self.books
            .values()
            .filter(|book| book.quarantined)
            .map(|book| book.place.worker.clone())
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
