//! What searches for a worker check first, in one contiguous table.
//!
//! Most searches of a busy fleet pass over all workers and find none with room. The table is
//! refreshed once for each planning round; checking it costs a small part of a look at the workers
//! themselves.

use std::collections::BTreeMap;

use super::Worker;
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
}

impl Fleet {
    /// Takes over the present state of all workers.
    pub fn refresh(&mut self, workers: &BTreeMap<WorkerId, Worker>, now: Millis) {
        if !self.ids.iter().eq(workers.keys()) {
            self.ids = workers.keys().cloned().collect();
        }
        self.services.clear();
        self.slots.clear();
        for worker in workers.values() {
            let slot = self.slot_of(worker, now);
            self.slots.push(slot);
        }
    }

    /// Takes over the present state of one worker.
    pub fn refresh_worker(&mut self, worker: &Worker, now: Millis) {
        if let Ok(position) = self.ids.binary_search(&worker.id) {
            self.slots[position] = self.slot_of(worker, now);
        }
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

    fn slot_of(&mut self, worker: &Worker, now: Millis) -> Slot {
        let entry = worker.entry.as_ref();
        let service = match entry.filter(|_| worker.takes_runs(now)) {
            Some(entry) => match self.service_index(&entry.service) {
                Some(index) => index,
                None => {
                    self.services.push(entry.service.clone());
                    self.services.len() - 1
                }
            },
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
