//! Who belongs to a region in one epoch, and what follows from it.

use std::collections::BTreeMap;

use super::hash::{Domain, item_key, member_key, top, winner};
use super::zone_shares::ZoneMembers;
use crate::prelude::*;

/// Request slots of an endpoint, over all entry processes together.
pub const SLOTS_PER_ENDPOINT: u32 = 8;

/// The members of one epoch; equal views give equal owners on every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    epoch: Epoch,
    ids: Vec<MemberId>,
    keys: Vec<u64>,
    zones: ZoneMembers,
}

impl MemberView {
    /// Builds the view of an epoch from its members in any order, without their zones.
    pub fn new(epoch: Epoch, mut ids: Vec<MemberId>) -> Self {
        ids.sort();
        ids.dedup();
        let keys = ids.iter().map(|id| member_key(id.as_str())).collect();
        let zones = ZoneMembers::default();
        Self {
            epoch,
            ids,
            keys,
            zones,
        }
    }

    /// Builds the view of an epoch from its members and their availability zones.
    pub fn zoned(epoch: Epoch, members: BTreeMap<MemberId, ZoneId>) -> Self {
        let (ids, zones): (Vec<_>, Vec<_>) = members.into_iter().unzip();
        Self {
            zones: ZoneMembers::new(zones.into_iter()),
            ..Self::new(epoch, ids)
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the members in order of their ids.
    pub fn ids(&self) -> &[MemberId] {
        &self.ids
    }

    /// Tells whether a process is a member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.position(id).is_some()
    }

    /// Returns the place of a member in the order of ids.
    pub fn position(&self, id: &MemberId) -> Option<usize> {
        self.ids.binary_search(id).ok()
    }

    /// Returns A, the members that must acknowledge a member, itself included.
    pub fn acknowledgers_needed(&self) -> usize {
        self.ids.len() / 2 + 1
    }

    /// Returns R, the other members that must report a member as silent.
    pub fn reporters_needed(&self) -> usize {
        self.ids.len().div_ceil(2)
    }

    /// Returns the owner of an item.
    pub fn owner(&self, domain: Domain, name: &str) -> Option<&MemberId> {
        winner(item_key(domain, name), &self.keys).map(|at| &self.ids[at])
    }

    /// Returns the `count` best members for an item, best first.
    pub fn best(&self, domain: Domain, name: &str, count: usize) -> Vec<&MemberId> {
        top(item_key(domain, name), &self.keys, count)
            .into_iter()
            .map(|at| &self.ids[at])
            .collect()
    }

    /// Returns how many slots of an endpoint each member holds, in the order of ids.
    ///
    /// An endpoint's slots depend on nothing but the view and the endpoint's zone, which never
    /// changes, so processes whose VM lists differ still agree. Slots go to members of that zone
    /// first; without a zone, or if no member is there, each member gets the same number.
    pub fn slot_shares(&self, vm: &VmId, zone: Option<&ZoneId>) -> Vec<u32> {
        let item = item_key(Domain::Slot, vm.as_str());
        let mut shares = vec![0; self.keys.len()];
        let split = zone.and_then(|zone| self.zones.split(zone, item));
        match split {
            Some(split) => {
                for (places, slots) in split {
                    self.deal(item, places, slots, &mut shares);
                }
            }
            None => {
                let all: Vec<usize> = (0..self.keys.len()).collect();
                self.deal(item, &all, SLOTS_PER_ENDPOINT, &mut shares);
            }
        }
        shares
    }

    /// Gives each of the members at `places` the same number, and the rest to the best ones.
    fn deal(&self, item: u64, places: &[usize], slots: u32, shares: &mut [u32]) {
        let Some(count) = u32::try_from(places.len()).ok().filter(|count| *count > 0) else {
            return;
        };
        for place in places {
            shares[*place] = slots / count;
        }
        let rest = (slots % count) as usize;
        if rest > 0 {
            let keys: Vec<u64> = places.iter().map(|place| self.keys[*place]).collect();
            for at in top(item, &keys, rest) {
                shares[places[at]] += 1;
            }
        }
    }
}
