//! The newest known list of drained workers and zones.

use crate::prelude::*;
use crate::schema::drain::{DrainRecord, DrainTarget};
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// Drained workers and zones. Only a list with a higher serial number replaces this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drained {
    record: DrainRecord,
}

impl Drained {
    /// Returns the record with the list.
    pub fn record(&self) -> &DrainRecord {
        &self.record
    }

    /// Adopts a record if it is newer; returns whether it was.
    pub fn raise(&mut self, next: DrainRecord) -> bool {
        if next.serial <= self.record.serial {
            return false;
        }
        self.record = next;
        true
    }

    /// Returns whether a VM is a worker that is drained, on its own or with its zone.
    pub fn covers(&self, vm: &VmRecord) -> bool {
        vm.role == VmRole::Worker
            && (self.record.workers.contains(&vm.vm) || self.record.zones.contains(&vm.zone))
    }

    /// Returns the VMs with drained workers marked as leaving, so that they get no new work.
    pub fn mark(&self, vms: &[VmRecord]) -> Vec<VmRecord> {
        let mut marked = vms.to_vec();
        for vm in marked.iter_mut().filter(|vm| self.covers(vm)) {
            vm.state = VmState::Leaving;
        }
        marked
    }
}

#[expect(clippy::derivable_impls, reason = "the type is generated")]
impl Default for DrainRecord {
    fn default() -> Self {
        Self {
            serial: 0,
            workers: Vec::new(),
            zones: Vec::new(),
            writer: WriterToken::default(),
        }
    }
}

impl DrainRecord {
    /// Returns the successor in which a target is drained or not; `None` if nothing changes.
    pub fn changed(
        &self,
        target: &DrainTarget,
        drained: bool,
        writer: WriterToken,
    ) -> Option<Self> {
        let mut next = self.clone();
        let changes = match target {
            DrainTarget::Worker(vm) => set(&mut next.workers, vm, drained),
            DrainTarget::Zone(zone) => set(&mut next.zones, zone, drained),
        };
        next.serial += 1;
        next.writer = writer;
        changes.then_some(next)
    }
}

/// Adds or removes an item; returns whether the list changed.
fn set<T: Clone + PartialEq>(list: &mut Vec<T>, item: &T, wanted: bool) -> bool {
    let found = list.iter().position(|member| member == item);
    match (found, wanted) {
        (None, true) => list.push(item.clone()),
        (Some(index), false) => {
            list.remove(index);
        }
        _ => return false,
    }
    true
}
