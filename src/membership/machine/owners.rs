//! Ownership of items and request slots by this process.

use std::collections::{BTreeMap, BTreeSet};

use super::Membership;
use crate::membership::hash::Domain;
use crate::membership::lease::Fence;
use crate::membership::slots::{SlotBound, SlotChange, SlotHandover};
use crate::membership::{MemberTable, MemberView};
use crate::prelude::*;

/// Number of members of a region that watch the store.
const WATCHERS: usize = 2;

impl Membership {
    /// Returns whether this process may act as an owner now.
    pub fn is_active(&self, now: Millis) -> bool {
        let leaves = self.leaving && self.is_idle();
        if !self.is_member() || self.lease.fence() != Fence::Open || leaves {
            return false;
        }
        let leased = self.lease.is_valid(&self.timing, now);
        leased || (self.lease.is_store_silent() && self.has_quorum(now))
    }

    /// Returns whether this process is active and the exclusive owner of an item.
    pub fn owns(&self, domain: Domain, name: &str, now: Millis) -> bool {
        self.is_active(now) && self.is_exclusive_owner(domain, name)
    }

    /// Returns whether this process owns an item and no other member may still act as its owner.
    ///
    /// This holds if the process is the owner in its view, and every member that owned the item in
    /// an earlier epoch has adopted a later epoch or was removed.
    pub fn is_exclusive_owner(&self, domain: Domain, name: &str) -> bool {
        let Some((view, earlier)) = self.views.split_last() else {
            return false;
        };
        if view.owner(domain, name) != Some(&self.me.id) {
            return false;
        }
        let oldest = self
            .other_ids()
            .iter()
            .map(|id| self.epoch_of(id))
            .min()
            .unwrap_or(view.epoch());
        earlier
            .iter()
            .filter(|old| old.epoch() >= oldest)
            .filter_map(|old| Some((old.epoch(), old.owner(domain, name)?)))
            .all(|(epoch, owner)| {
                *owner == self.me.id || !view.contains(owner) || self.epoch_of(owner) > epoch
            })
    }

    /// Returns the home member of a key, then its backup; see [`MemberView::key_holders`].
    pub fn key_holders(&self, key: &str) -> Vec<MemberId> {
        let (Some(view), Some(table)) = (self.view(), &self.table) else {
            return Vec::new();
        };
        view.key_holders(key, |id| table.member(id).map(|member| &member.zone))
    }

    /// Returns whether this process is one of the members that watch the store.
    pub fn is_watcher(&self) -> bool {
        let watchers = self
            .view()
            .map(|view| view.top_ranked(Domain::Responsibility, "watch", WATCHERS));
        watchers.is_some_and(|watchers| watchers.contains(&&self.me.id))
    }

    /// Returns whether this process exchanges summaries with the other regions.
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

    /// Returns the usable slots of all endpoints. They apply only while this process is active.
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

    /// Returns whether this process has no request in flight at any endpoint.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.values().all(|count| *count == 0)
    }

    /// Records the requests in flight, and marks the epoch as drained once they fit its shares.
    ///
    /// A count that was taken while the shares of an older epoch applied is no proof, because
    /// requests above the new shares may have started since.
    pub(super) fn record_in_flight(&mut self, epoch: Epoch, in_flight: BTreeMap<VmId, u32>) {
        self.in_flight = in_flight;
        let Some(view) = self.views.last() else {
            return;
        };
        if epoch != view.epoch() || self.drained == epoch {
            return;
        }
        let own_index = view.position(&self.me.id);
        let within = self.in_flight.iter().all(|(vm, count)| {
            let share = own_index.map_or(0, |index| view.slot_shares(vm)[index]);
            *count <= share
        });
        if within {
            self.drained = view.epoch();
            self.push = true;
        }
    }

    /// Recomputes the usable slots if something that they depend on has changed.
    pub(super) fn refresh_slots(&mut self, now: Millis) {
        let due = self.next_slot_refresh.is_some_and(|due| now >= due);
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
        self.next_slot_refresh = None;
        let Some(table) = self.table.clone().filter(|_| self.is_member()) else {
            return BTreeMap::new();
        };
        let bounds = self.slot_bounds(&table, now);
        let handover = SlotHandover::new(&self.views, &self.me.id, &bounds);
        self.vms
            .endpoints()
            .map(|vm| (vm.clone(), handover.usable_at(vm)))
            .collect()
    }

    /// Returns the limits on the slots of all other processes that may still use some.
    ///
    /// A removed process may use its shares until its requests have certainly ended.
    fn slot_bounds(&mut self, table: &MemberTable, now: Millis) -> Vec<SlotBound> {
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
                    .removal_epoch(&id)
                    .and_then(|epoch| self.removal_ends(epoch))
                    .filter(|ends| *ends > now);
                let Some(ends) = ends else {
                    continue;
                };
                self.next_slot_refresh =
                    Some(self.next_slot_refresh.map_or(ends, |due| due.min(ends)));
            }
            let drained_epoch = self.drained_of(&id);
            bounds.push(SlotBound { id, drained_epoch });
        }
        bounds
    }
}
