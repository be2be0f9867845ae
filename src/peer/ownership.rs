//! The [`Ownership`] interface of a node.

use super::MemberNode;
use crate::membership::{Domain, Membership, Ownership};
use crate::prelude::*;

impl Ownership for MemberNode {
    fn me(&self) -> MemberId {
        self.config.me.id.clone()
    }

    fn epoch(&self) -> Epoch {
        self.state.lock().epoch()
    }

    fn is_active(&self) -> bool {
        self.state.lock().is_active(self.now())
    }

    fn epoch_adopted_at(&self) -> Millis {
        self.state.lock().adopted_at()
    }

    fn rack_owner(&self, rack: &RackId) -> Option<MemberId> {
        effective_owner(&self.state.lock(), Domain::Rack, rack.as_str())
    }

    fn shard_owner(&self, shard: u32) -> Option<MemberId> {
        effective_owner(&self.state.lock(), Domain::Shard, &shard.to_string())
    }

    fn key_holders(&self, key: &str) -> Vec<MemberId> {
        self.state.lock().key_holders(key)
    }

    fn peer_addr(&self, member: &MemberId) -> Option<String> {
        self.state.lock().address_of(member)
    }
}

/// Returns the owner of an item, or `None` while this process is the new owner and waits until the
/// previous owner has released the item.
fn effective_owner(state: &Membership, domain: Domain, name: &str) -> Option<MemberId> {
    let owner = state.view()?.owner(domain, name)?;
    let waits = *owner == state.me().id && !state.is_exclusive_owner(domain, name);
    (!waits).then(|| owner.clone())
}
