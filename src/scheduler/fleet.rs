//! What searches for a worker check first, in one contiguous table.
//!
//! Most searches of a busy fleet pass over all workers and find none with room. The table is
//! refreshed once for each planning round; checking it costs a small part of a look at the workers
//! themselves.

use std::collections::{BTreeMap, HashSet};

use super::Worker;
use super::interference::ImageImpact;
use crate::prelude::*;

/// Service of a worker that takes no runs at present.
const NO_SERVICE: usize = usize::MAX;

/// Room and service of one worker.
#[derive(Clone, Copy, Debug)]
struct Slot {
    /// Index of the service whose tasks the worker may take, or `NO_SERVICE`.
    service: usize,
    /// Resources that no run reserves; `None` if the runs reserve more than the worker offers.
    room: Option<Resources>,
}

impl Slot {
    fn has_room(&self, reservation: &Resources) -> bool {
        self.room
            .as_ref()
            .is_some_and(|room| reservation.fits(room))
    }
}

/// Room and service of all workers, in the order of their ids.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    ids: Vec<WorkerId>,
    slots: Vec<Slot>,
    services: Vec<String>,
    /// CPU that runs reserve and that workers offer, in millicores, by the index of the service.
    loads: Vec<(u64, u64)>,
    /// Limits for the best-effort images that were searched for in this round.
    best_effort: Vec<BestEffortLimits>,
}

/// CPU up to which each worker may take a best-effort task of one image, in millicores.
#[derive(Debug)]
struct BestEffortLimits {
    image: String,
    impact: Arc<ImageImpact>,
    limits: Vec<u64>,
}

impl Fleet {
    /// Takes over the present state of all workers.
    pub fn refresh(&mut self, workers: &BTreeMap<WorkerId, Worker>, now: Millis) {
        if !self.ids.iter().eq(workers.keys()) {
            self.ids = workers.keys().cloned().collect();
        }
        self.services.clear();
        self.loads.clear();
        self.best_effort.clear();
        self.slots.clear();
        for worker in workers.values() {
            let slot = self.slot_of(worker, now);
            self.slots.push(slot);
            self.add_load(worker);
        }
    }

    /// Returns the services of whose workers runs reserve less than a share of the CPU, in
    /// thousandths.
    pub fn spare_services(&self, permille: u64) -> HashSet<String> {
        let loads = self.services.iter().zip(&self.loads);
        loads
            .filter(|(_, (reserved, offered))| {
                u128::from(*reserved) * 1000 < u128::from(*offered) * u128::from(permille)
            })
            .map(|(service, _)| service.clone())
            .collect()
    }

    fn add_load(&mut self, worker: &Worker) {
        let Some(entry) = worker.entry.as_ref().filter(|entry| !entry.draining) else {
            return;
        };
        let index = self.intern(&entry.service);
        let (reserved, offered) = &mut self.loads[index];
        *reserved = reserved.saturating_add(worker.reserved.cpu.0);
        *offered = offered.saturating_add(worker.reserved.cpu.0.max(entry.capacity.cpu.0));
    }

    /// Takes over the present state of one worker.
    pub fn refresh_worker(&mut self, worker: &Worker, now: Millis) {
        if let Ok(position) = self.ids.binary_search(&worker.id) {
            self.slots[position] = self.slot_of(worker, now);
            for known in &mut self.best_effort {
                known.limits[position] = worker.best_effort_limit(&known.impact);
            }
        }
    }

    /// Computes the limits for a best-effort image, unless they are known.
    pub fn add_best_effort_limits(
        &mut self,
        image: &str,
        impact: &Arc<ImageImpact>,
        workers: &BTreeMap<WorkerId, Worker>,
    ) {
        if self.best_effort.iter().any(|known| known.image == image) {
            return;
        }
        let limits = workers.values();
        self.best_effort.push(BestEffortLimits {
            image: image.to_string(),
            impact: impact.clone(),
            limits: limits
                .map(|worker| worker.best_effort_limit(impact))
                .collect(),
        });
    }

    /// Returns the CPU up to which each worker in turn may take a best-effort task of an image, if
    /// it has been computed.
    pub fn best_effort_limits(&self, image: &str) -> Option<&[u64]> {
        let known = self.best_effort.iter().find(|known| known.image == image);
        known.map(|known| known.limits.as_slice())
    }

    /// Returns the id of the worker at a position.
    pub fn id(&self, position: usize) -> &WorkerId {
        &self.ids[position]
    }

    /// Returns for each worker in turn whether it takes tasks of a service, apart from its room.
    pub fn takes(&self, service: &str) -> impl Iterator<Item = bool> {
        let service = self.service_index(service);
        self.slots
            .iter()
            .map(move |slot| service == Some(slot.service))
    }

    /// Returns for each worker in turn whether it takes tasks of a service and has room for one more
    /// reservation.
    pub fn has_room(&self, service: &str, reservation: Resources) -> impl Iterator<Item = bool> {
        let service = self.service_index(service);
        self.slots
            .iter()
            .map(move |slot| service == Some(slot.service) && slot.has_room(&reservation))
    }

    /// Returns whether the worker at a position takes tasks of a service and has room for one more
    /// reservation.
    pub fn may_take(&self, position: usize, service: &str, reservation: &Resources) -> bool {
        let slot = &self.slots[position];
        self.service_index(service) == Some(slot.service) && slot.has_room(reservation)
    }

    fn service_index(&self, service: &str) -> Option<usize> {
        self.services.iter().position(|known| known == service)
    }

    /// Returns the index of a service; a new one gets the next.
    fn intern(&mut self, service: &str) -> usize {
        self.service_index(service).unwrap_or_else(|| {
            self.services.push(service.to_string());
            self.loads.push((0, 0));
            self.services.len() - 1
        })
    }

    fn slot_of(&mut self, worker: &Worker, now: Millis) -> Slot {
        let entry = worker.entry.as_ref();
        let service = match entry.filter(|_| worker.takes_runs(now)) {
            Some(entry) => self.intern(&entry.service),
            None => NO_SERVICE,
        };
        let capacity = worker.capacity();
        Slot {
            service,
            room: worker
                .reserved
                .fits(&capacity)
                .then(|| capacity.saturating_sub(&worker.reserved)),
        }
    }
}
