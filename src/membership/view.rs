//! Who belongs to a region in one epoch, and what follows from it.

use super::hash::{Domain, item_key, member_key, top, winner};
use crate::prelude::*;

/// Request slots of an endpoint, over all entry processes together.
pub const SLOTS_PER_ENDPOINT: u32 = 8;

/// The members of one epoch; equal views give equal owners on every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    epoch: Epoch,
    ids: Vec<MemberId>,
    keys: Vec<u64>,
}

impl MemberView {
    /// Builds the view of an epoch from its members in any order.
    pub fn new(epoch: Epoch, mut ids: Vec<MemberId>) -> Self {
        ids.sort();
        ids.dedup();
        let keys = ids.iter().map(|id| member_key(id.as_str())).collect();
        Self { epoch, ids, keys }
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
    pub fn top_ranked(&self, domain: Domain, name: &str, count: usize) -> Vec<&MemberId> {
        top(item_key(domain, name), &self.keys, count)
            .into_iter()
            .map(|at| &self.ids[at])
            .collect()
    }

    /// Returns the home member of a key, then its backup, in another zone if there is one.
    pub fn key_holders<'a>(
        &self,
        key: &str,
        zone: impl Fn(&MemberId) -> Option<&'a ZoneId>,
    ) -> Vec<MemberId> {
        let ranked = self.top_ranked(Domain::Key, key, self.ids.len());
        let Some((home, rest)) = ranked.split_first() else {
            return Vec::new();
        };
        let other_zone = rest.iter().find(|id| zone(id) != zone(home));
        std::iter::once(home)
            .chain(other_zone.or(rest.first()))
            .map(|id| (*id).clone())
            .collect()
    }

    /// Returns how many slots of an endpoint each member holds, in the order of ids.
    ///
    /// An endpoint's slots depend on nothing but the view, so processes whose VM lists differ
    /// still agree. Each member gets the same number, and the best ones share the rest.
    pub fn slot_shares(&self, vm: &VmId) -> Vec<u32> {
        self.shares_of(item_key(Domain::Slot, vm.as_str()))
    }

    /// Returns the slots of the endpoint with a hash, see [`Self::slot_shares`].
    pub(super) fn shares_of(&self, item: u64) -> Vec<u32> {
        let Ok(count) = u32::try_from(self.keys.len()) else {
            return Vec::new();
        };
        if count == 0 {
            return Vec::new();
        }
        let mut shares = vec![SLOTS_PER_ENDPOINT / count; self.keys.len()];
        let rest = (SLOTS_PER_ENDPOINT % count) as usize;
        if rest > 0 {
            for at in top(item, &self.keys, rest) {
                shares[at] += 1;
            }
        }
        shares
    }
}
