//! The members of a region in one epoch, and the assignments that follow from them.

use super::hash::{Domain, highest_weight, highest_weights, item_hash, member_hash};
use crate::prelude::*;

/// Request slots of an endpoint, shared by all entry processes.
pub const SLOTS_PER_ENDPOINT: u32 = 8;

/// The members of one epoch. Processes with equal views compute equal owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    epoch: Epoch,
    ids: Vec<MemberId>,
    hashes: Vec<u64>,
}

impl MemberView {
    /// Builds the view of an epoch from its members in any order.
    pub fn new(epoch: Epoch, mut ids: Vec<MemberId>) -> Self {
        ids.sort();
        ids.dedup();
        let hashes = ids.iter().map(|id| member_hash(id.as_str())).collect();
        Self { epoch, ids, hashes }
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the members in order of their ids.
    pub fn ids(&self) -> &[MemberId] {
        &self.ids
    }

    /// Returns whether a process is a member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.position(id).is_some()
    }

    /// Returns the position of a member in the order of ids.
    pub fn position(&self, id: &MemberId) -> Option<usize> {
        self.ids.binary_search(id).ok()
    }

    /// Returns the number of members, itself included, that must acknowledge a member to keep it
    /// active without a store lease.
    pub fn ack_quorum(&self) -> usize {
        self.ids.len() / 2 + 1
    }

    /// Returns the number of other members that must report a member as silent to remove it.
    ///
    /// A member withholds its acknowledgement from a member that it reports. Together with
    /// [`Self::ack_quorum`] the numbers exceed the members, so a removed member has no quorum.
    pub fn report_quorum(&self) -> usize {
        self.ids.len().div_ceil(2)
    }

    /// Returns the owner of an item.
    pub fn owner(&self, domain: Domain, name: &str) -> Option<&MemberId> {
        highest_weight(item_hash(domain, name), &self.hashes).map(|index| &self.ids[index])
    }

    /// Returns the `count` members with the highest weights for an item, highest first.
    pub fn top_ranked(&self, domain: Domain, name: &str, count: usize) -> Vec<&MemberId> {
        highest_weights(item_hash(domain, name), &self.hashes, count)
            .into_iter()
            .map(|index| &self.ids[index])
            .collect()
    }

    /// Returns the home member of a key, then its backup.
    ///
    /// The backup is in another availability zone if a member in another zone exists.
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
    /// The shares depend only on the view, so processes with different VM lists still agree. Each
    /// member gets the same number, and the remainder goes to the members with the highest weights.
    pub fn slot_shares(&self, vm: &VmId) -> Vec<u32> {
        self.shares_of(item_hash(Domain::Slot, vm.as_str()))
    }

    /// Returns the [`slot_shares`](Self::slot_shares) of the endpoint with the hash `item`.
    pub(super) fn shares_of(&self, item: u64) -> Vec<u32> {
        let Ok(count) = u32::try_from(self.hashes.len()) else {
            return Vec::new();
        };
        if count == 0 {
            return Vec::new();
        }
        let mut shares = vec![SLOTS_PER_ENDPOINT / count; self.hashes.len()];
        let remainder = (SLOTS_PER_ENDPOINT % count) as usize;
        if remainder > 0 {
            for index in highest_weights(item, &self.hashes, remainder) {
                shares[index] += 1;
            }
        }
        shares
    }
}
