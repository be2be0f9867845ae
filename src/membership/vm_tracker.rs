//! What successive reads of the VM list and notices of peers say about VMs.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// How long a notice of a leaving endpoint is passed on.
const RELAY_TIME: Millis = Millis(10_000);

/// How long a relayed notice outweighs a VM list that shows the endpoint as live.
const NOTICE_TIME: Millis = Millis(120_000);

/// VMs by the newest list, those that vanished from it, and endpoints that are leaving.
#[derive(Clone, Debug, Default)]
pub struct VmTracker {
    vms: BTreeMap<VmId, VmRecord>,
    absent: BTreeMap<VmId, Millis>,
    read: bool,
    notices: BTreeMap<VmId, Millis>,
}

impl VmTracker {
    /// Takes over a list; returns whether it differs from the last one.
    ///
    /// `members` are the VMs of all members, which are absent if the list does not show them.
    pub fn read(&mut self, vms: Vec<VmRecord>, members: &[VmId], now: Millis) -> bool {
        let next: BTreeMap<VmId, VmRecord> =
            vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        self.read = true;
        for id in members {
            self.absent.entry(id.clone()).or_insert(now);
        }
        self.absent
            .retain(|id, _| members.contains(id) && !next.contains_key(id));
        let changed = next != self.vms;
        self.vms = next;
        for vm in self.vms.values().filter(|vm| is_leaving_endpoint(vm)) {
            self.notices.entry(vm.vm.clone()).or_insert(now);
        }
        let vms = &self.vms;
        self.notices.retain(|id, at| {
            vms.get(id).is_some_and(|vm| vm.state == VmState::Leaving)
                || now.since(*at) < NOTICE_TIME
        });
        changed
    }

    /// Takes over a notice; returns whether it is new.
    pub fn notice(&mut self, vm: &VmId, now: Millis) -> bool {
        if self.notices.contains_key(vm) {
            return false;
        }
        self.notices.insert(vm.clone(), now);
        true
    }

    /// Returns all VMs of the newest list.
    pub fn vms(&self) -> &BTreeMap<VmId, VmRecord> {
        &self.vms
    }

    /// Returns the endpoints that must get no new work.
    pub fn leaving(&self) -> BTreeSet<VmId> {
        self.notices.keys().cloned().collect()
    }

    /// Returns the notices that are new enough to be passed on.
    pub fn relayed(&self, now: Millis) -> Vec<VmId> {
        self.notices
            .iter()
            .filter(|(_, at)| now.since(**at) < RELAY_TIME)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Tells whether the list does not show the VM of some member.
    pub fn has_absent(&self) -> bool {
        !self.absent.is_empty()
    }

    /// Tells whether the list has not shown the VM of a member for a time.
    pub fn is_absent(&self, vm: &VmId, after: Millis, now: Millis) -> bool {
        self.absent
            .get(vm)
            .is_some_and(|at| now.since(*at) >= after)
    }

    /// Tells whether the list may still come to show the VM of a new process.
    ///
    /// A list that was read and shows no entry VM of the region does not cover entry VMs.
    pub fn may_show(&self, vm: &VmId, region: &RegionId) -> bool {
        !self.read || (!self.vms.contains_key(vm) && !self.entries(region).is_empty())
    }

    /// Returns the VMs that serve requests.
    pub fn endpoints(&self) -> impl Iterator<Item = &VmId> {
        self.vms
            .values()
            .filter(|vm| is_endpoint(vm))
            .map(|vm| &vm.vm)
    }

    /// Returns the peer addresses of the entry VMs of a region.
    pub fn entries(&self, region: &RegionId) -> Vec<&VmRecord> {
        self.vms
            .values()
            .filter(|vm| vm.role == VmRole::Entry && vm.region == *region)
            .collect()
    }
}

fn is_endpoint(vm: &VmRecord) -> bool {
    vm.role == VmRole::Worker && vm.service.is_some()
}

fn is_leaving_endpoint(vm: &VmRecord) -> bool {
    is_endpoint(vm) && vm.state == VmState::Leaving
}
