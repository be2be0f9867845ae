//! The workers that the VM list shows.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// Workers by VM, and the availability zones of their racks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    workers: BTreeMap<VmId, VmRecord>,
    zones: BTreeMap<RackId, ZoneId>,
    total: Resources,
}

impl Fleet {
    /// Picks the workers of a region from the VM list.
    pub fn new(region: &RegionId, vms: &[VmRecord]) -> Self {
        let mut fleet = Self::default();
        for vm in vms {
            if vm.role != VmRole::Worker || vm.region != *region {
                continue;
            }
            fleet.zones.insert(vm.rack.clone(), vm.zone.clone());
            fleet.total = fleet.total.checked_add(&vm.capacity).unwrap_or(fleet.total);
            fleet.workers.insert(vm.vm.clone(), vm.clone());
        }
        fleet
    }

    /// Lists all workers.
    pub fn workers(&self) -> impl Iterator<Item = &VmRecord> {
        self.workers.values()
    }

    /// Finds a worker.
    pub fn worker(&self, vm: &VmId) -> Option<&VmRecord> {
        self.workers.get(vm)
    }

    /// Returns the availability zone of a rack.
    pub fn zone(&self, rack: &RackId) -> Option<&ZoneId> {
        self.zones.get(rack)
    }

    /// Lists racks.
    pub fn racks(&self) -> impl Iterator<Item = &RackId> {
        self.zones.keys()
    }

    /// Lists availability zones.
    pub fn all_zones(&self) -> BTreeSet<&ZoneId> {
        self.zones.values().collect()
    }

    /// Returns the capacity of all workers together.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Tells whether the list is empty, as it is before the first answer.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Tells whether some live worker is large enough.
    pub fn can_hold(&self, size: &Resources) -> bool {
        self.workers
            .values()
            .any(|vm| vm.state == VmState::Live && size.fits(&vm.capacity))
    }
}
