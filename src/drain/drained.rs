//! The newest known list of drained workers and zones.

use crate::prelude::*;
use crate::schema::drain::{DrainRecord, DrainTarget};
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// Drained workers and zones; a list with a lower serial never replaces it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drained {
    record: DrainRecord,
}

impl Drained {
    /// Returns the record.
    pub fn record(&self) -> &DrainRecord {
        &self.record
    }

    /// Takes a record over if it is newer; tells whether it did.
    pub fn raise(&mut self, next: DrainRecord) -> bool {
        if next.serial <= self.record.serial {
            return false;
        }
        self.record = next;
        true
    }

    /// Tells whether a worker is drained, by itself or with its zone.
    pub fn covers(&self, vm: &VmRecord) -> bool {
        vm.role == VmRole::Worker
            && (self.record.workers.contains(&vm.vm) || self.record.zones.contains(&vm.zone))
    }

    /// Marks drained workers as leaving, which keeps all new work away from them.
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
    /// Builds the successor in which a target is drained or not; `None` if nothing changes.
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

/// Adds or removes an item; tells whether the list changed.
fn set<T: Clone + PartialEq>(list: &mut Vec<T>, item: &T, wanted: bool) -> bool {
    let found = list.iter().position(|held| held == item);
    match (found, wanted) {
        (None, true) => list.push(item.clone()),
        (Some(at), false) => {
            list.remove(at);
        }
        _ => return false,
    }
    true
}
