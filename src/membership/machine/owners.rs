//! What this process owns, and from when on.

use std::collections::{BTreeMap, BTreeSet};

use super::Membership;
use crate::membership::hash::Domain;
use crate::membership::lease::Fence;
use crate::membership::slots::{SlotBound, SlotChange, SlotHandover};
use crate::membership::{MemberTable, MemberView};
use crate::prelude::*;

/// Members of a region that hold a watch on the store.
const WATCHERS: usize = 2;

impl Membership {
    /// Tells whether this process may act as an owner at this moment.
    pub fn is_active(&self, now: Millis) -> bool {
        let leaves = self.leaving && self.is_idle();
        if !self.is_member() || self.lease.fence() != Fence::Open || leaves {
            return false;
        }
        let held = self.lease.is_valid(&self.timing, now);
        held || (self.lease.is_store_silent() && self.has_quorum(now))
    }

    /// Tells whether this process owns an item and no other member may still act as its owner.
    pub fn owns(&self, domain: Domain, name: &str, now: Millis) -> bool {
        self.is_active(now) && self.is_exclusive_owner(domain, name)
    }

    /// Tells whether this process owns an item by its view, and every member that owned it in
    /// an earlier epoch has adopted a later one or was removed.
    pub fn is_exclusive_owner(&self, domain: Domain, name: &str) -> bool {
        let Some((view, earlier)) = self.views.split_last() else {
            return false;
        };
        if view.owner(domain, name) != Some(&self.me.id) {
            return false;
        }
        let slowest = self
            .other_ids()
            .iter()
            .map(|id| self.epoch_of(id))
            .min()
            .unwrap_or(view.epoch());
        earlier
            .iter()
            .filter(|old| old.epoch() >= slowest)
            .filter_map(|old| Some((old.epoch(), old.owner(domain, name)?)))
            .all(|(epoch, owner)| {
                *owner == self.me.id || !view.contains(owner) || self.epoch_of(owner) > epoch
            })
    }

    /// Returns the home member of a key, then its backup, in another zone if there is one.
    pub fn key_holders(&self, key: &str) -> Vec<MemberId> {
        let (Some(view), Some(table)) = (self.view(), &self.table) else {
            return Vec::new();
        };
        view.key_holders(key, |id| table.member(id).map(|member| &member.zone))
    }

    /// Tells whether this process is one of the members that hold a watch on the store.
    pub fn is_watcher(&self) -> bool {
        let watchers = self
            .view()
            .map(|view| view.top_ranked(Domain::Responsibility, "watch", WATCHERS));
        watchers.is_some_and(|watchers| watchers.contains(&&self.me.id))
    }

    /// Tells whether this process speaks to the other regions.
    pub fn is_gateway(&self) -> bool {
        let gateway = self
            .view()
            .and_then(|view| view.owner(Domain::Responsibility, "gateway"));
        gateway == Some(&self.me.id)
    }

    /// Returns how many slots of an endpoint this process may use now.
    pub fn usable_slots(&self, vm: &VmId, now: Millis) -> u32 {
        if !self.is_active(now) {
            return 0;
        }
        self.slots.get(vm).copied().unwrap_or_default()
    }

    /// Returns the usable slots of all endpoints, as they apply while this process is active.
    pub fn slots(&self) -> &BTreeMap<VmId, u32> {
        &self.slots
    }

    /// Returns the changes of usable slots since the last call.
    pub fn take_slot_changes(&mut self) -> Vec<SlotChange> {
        std::mem::take(&mut self.slot_changes)
    }

    pub(super) fn drained_of(&self, id: &MemberId) -> Epoch {
        if *id == self.me.id {
            return self.drained;
        }
        self.peers.get(id).map_or(Epoch(0), |peer| peer.drained)
    }

    fn epoch_of(&self, id: &MemberId) -> Epoch {
        self.peers.get(id).map_or(Epoch(0), |peer| peer.epoch)
    }

    /// Tells whether this process has no request in progress at any endpoint.
    pub(super) fn is_idle(&self) -> bool {
        self.in_use.values().all(|count| *count == 0)
    }

    /// Takes over the requests in progress.
    ///
    /// A count that was taken while older shares applied does not prove that they are drained.
    pub(super) fn sample(&mut self, epoch: Epoch, in_use: BTreeMap<VmId, u32>) {
        self.in_use = in_use;
        let Some(view) = self.views.last() else {
            return;
        };
        if epoch != view.epoch() || self.drained == epoch {
            return;
        }
        let at = view.position(&self.me.id);
        let within = self.in_use.iter().all(|(vm, count)| {
            let share = at.map_or(0, |at| view.slot_shares(vm)[at]);
            *count <= share
        });
        if within {
            self.drained = view.epoch();
            self.push = true;
        }
    }

    /// Computes the usable slots anew if something that they depend on has changed.
    pub(super) fn refresh_slots(&mut self, now: Millis) {
        let due = self.slots_due.is_some_and(|due| now >= due);
        if !self.slots_dirty && !due {
            return;
        }
        self.slots_dirty = false;
        let next = self.compute_slots(now);
        let before = std::mem::replace(&mut self.slots, next);
        let vms: BTreeSet<&VmId> = before.keys().chain(self.slots.keys()).collect();
        for vm in vms {
            let change = SlotChange {
                vm: vm.clone(),
                before: before.get(vm).copied().unwrap_or_default(),
                after: self.slots.get(vm).copied().unwrap_or_default(),
            };
            if change.before != change.after {
                self.slot_changes.push(change);
            }
        }
    }

    fn compute_slots(&mut self, now: Millis) -> BTreeMap<VmId, u32> {
        self.slots_due = None;
        let Some(table) = self.table.clone().filter(|_| self.is_member()) else {
            return BTreeMap::new();
        };
        let bounds = self.bounds(&table, now);
        let sums = SlotHandover::new(&self.views, &self.me.id, &bounds);
        self.vms
            .endpoints()
            .map(|vm| (vm.clone(), sums.usable_at(vm)))
            .collect()
    }

    /// Returns from which epoch on each other process may still use its shares.
    fn bounds(&mut self, table: &MemberTable, now: Millis) -> Vec<SlotBound> {
        let ids: BTreeSet<MemberId> = self
            .views
            .iter()
            .flat_map(MemberView::ids)
            .filter(|id| **id != self.me.id)
            .cloned()
            .collect();
        let mut bounds = Vec::new();
        for id in ids {
            if table.member(&id).is_none() {
                let ends = table
                    .removal_of(&id)
                    .and_then(|epoch| self.removal_ends(epoch))
                    .filter(|ends| *ends > now);
                let Some(ends) = ends else {
                    continue;
                };
                self.slots_due = Some(self.slots_due.map_or(ends, |due| due.min(ends)));
            }
            let drained = self.drained_of(&id);
            bounds.push(SlotBound { id, drained });
        }
        bounds
    }
}
