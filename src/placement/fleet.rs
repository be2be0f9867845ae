//! Snapshot of a region's workers from the VM list.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// The workers of a region by VM, and the availability zones of their racks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    workers: BTreeMap<VmId, VmRecord>,
    zones: BTreeMap<RackId, ZoneId>,
    total: Resources,
}

impl Fleet {
    /// Collects the workers of a region from the VM list.
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

    /// Iterates over all workers, whatever their state.
    pub fn workers(&self) -> impl Iterator<Item = &VmRecord> {
        self.workers.values()
    }

    /// Returns the record of a worker.
    pub fn worker(&self, vm: &VmId) -> Option<&VmRecord> {
        self.workers.get(vm)
    }

    /// Returns the availability zone of a rack.
    pub fn zone(&self, rack: &RackId) -> Option<&ZoneId> {
        self.zones.get(rack)
    }

    /// Iterates over the racks that hold workers.
    pub fn racks(&self) -> impl Iterator<Item = &RackId> {
        self.zones.keys()
    }

    /// Returns the availability zones that hold workers.
    pub fn all_zones(&self) -> BTreeSet<&ZoneId> {
        self.zones.values().collect()
    }

    /// Returns the total capacity of all workers.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Returns whether there are no workers, as before the first VM list is read.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether some live worker is large enough for a task of this size.
    pub fn can_fit(&self, size: &Resources) -> bool {
        self.workers
            .values()
            .any(|vm| vm.state == VmState::Live && size.fits(&vm.capacity))
    }
}
