//! Tracks VMs through successive reads of the VM list and through leave notices of peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// How long a leave notice is relayed to peers.
const RELAY_PERIOD: Millis = Millis(10_000);

/// How long a leave notice overrides a VM list that shows the endpoint as live.
const NOTICE_TTL: Millis = Millis(120_000);

/// The VMs of the newest list, member VMs missing from it, and endpoints that are leaving.
#[derive(Clone, Debug, Default)]
pub struct VmTracker {
    vms: BTreeMap<VmId, VmRecord>,
    absent: BTreeMap<VmId, Millis>,
    has_read: bool,
    leave_notices: BTreeMap<VmId, Millis>,
}

impl VmTracker {
    /// Applies a new VM list. Returns whether it differs from the previous one.
    ///
    /// `members` are the VMs of all members; those that the list does not show become absent.
    pub fn apply_list(&mut self, vms: Vec<VmRecord>, members: &[VmId], now: Millis) -> bool {
        let next: BTreeMap<VmId, VmRecord> =
            vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        self.has_read = true;
        for id in members {
            self.absent.entry(id.clone()).or_insert(now);
        }
        self.absent
            .retain(|id, _| members.contains(id) && !next.contains_key(id));
        let changed = next != self.vms;
        self.vms = next;
        for vm in self.vms.values().filter(|vm| is_leaving_endpoint(vm)) {
            self.leave_notices.entry(vm.vm.clone()).or_insert(now);
        }
        let vms = &self.vms;
        self.leave_notices.retain(|id, at| {
            vms.get(id).is_some_and(|vm| vm.state == VmState::Leaving)
                || now.since(*at) < NOTICE_TTL
        });
        changed
    }

    /// Records a notice that an endpoint is leaving. Returns whether it is new.
    pub fn note_leaving(&mut self, vm: &VmId, now: Millis) -> bool {
        if self.leave_notices.contains_key(vm) {
            return false;
        }
        self.leave_notices.insert(vm.clone(), now);
        true
    }

    /// Returns all VMs of the newest list.
    pub fn vms(&self) -> &BTreeMap<VmId, VmRecord> {
        &self.vms
    }

    /// Returns the endpoints that are leaving and must get no new work.
    pub fn leaving(&self) -> BTreeSet<VmId> {
        self.leave_notices.keys().cloned().collect()
    }

    /// Returns the leaving endpoints whose notices are recent enough to be relayed to peers.
    pub fn notices_to_relay(&self, now: Millis) -> Vec<VmId> {
        self.leave_notices
            .iter()
            .filter(|(_, at)| now.since(**at) < RELAY_PERIOD)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether the VM of any member is missing from the list.
    pub fn has_absent(&self) -> bool {
        !self.absent.is_empty()
    }

    /// Returns whether the VM of a member has been missing from the list for at least `after`.
    pub fn is_absent(&self, vm: &VmId, after: Millis, now: Millis) -> bool {
        self.absent
            .get(vm)
            .is_some_and(|at| now.since(*at) >= after)
    }

    /// Returns whether the VM of a new process is missing from the list but may appear in it later.
    ///
    /// A list without any entry VM of the region does not cover entry VMs at all.
    pub fn may_list_later(&self, vm: &VmId, region: &RegionId) -> bool {
        !self.has_read || (!self.vms.contains_key(vm) && !self.entry_vms(region).is_empty())
    }

    /// Returns the VMs that serve requests.
    pub fn endpoints(&self) -> impl Iterator<Item = &VmId> {
        self.vms
            .values()
            .filter(|vm| is_endpoint(vm))
            .map(|vm| &vm.vm)
    }

    /// Returns the VMs of a region that run entry processes.
    pub fn entry_vms(&self, region: &RegionId) -> Vec<&VmRecord> {
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
