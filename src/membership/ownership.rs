//! Interface through which other modules query ownership.

use crate::prelude::*;

/// Provides the owners of racks, job shards and keys in the current epoch.
///
/// Only an active member may start tasks, renew task leases or use request slots.
pub trait Ownership: Send + Sync {
    /// Returns the member id of this process.
    fn me(&self) -> MemberId;

    /// Returns the epoch that this process has adopted.
    fn epoch(&self) -> Epoch;

    /// Returns whether this process may act as an owner now.
    fn is_active(&self) -> bool;

    /// Returns the local time at which this process adopted the current epoch.
    ///
    /// Callers derive from it whether members that were removed before this epoch may still hold
    /// task leases.
    fn epoch_adopted_at(&self) -> Millis;

    /// Returns the owner of a rack.
    ///
    /// Returns `None` while the region has no members, or while this process is the new owner and
    /// waits until the previous owner has adopted the epoch or was removed.
    fn rack_owner(&self, rack: &RackId) -> Option<MemberId>;

    /// Returns the owner of a job shard, with `None` under the same conditions as for a rack.
    fn shard_owner(&self, shard: u32) -> Option<MemberId>;

    /// Returns the members that hold an idempotency key: its home member first, then the backup.
    fn key_holders(&self, key: &str) -> Vec<MemberId>;

    /// Returns the peer address of a member.
    fn peer_addr(&self, member: &MemberId) -> Option<String>;
}

/// Ownership of a single process that owns everything, for tests and single-process installations.
#[derive(Clone, Debug)]
pub struct SoleOwner {
    member: MemberId,
}

impl SoleOwner {
    /// Creates the ownership of the only member.
    pub fn new(member: MemberId) -> Self {
        Self { member }
    }
}

impl Ownership for SoleOwner {
    fn me(&self) -> MemberId {
        self.member.clone()
    }

    fn epoch(&self) -> Epoch {
        Epoch(1)
    }

    fn is_active(&self) -> bool {
        true
    }

    fn epoch_adopted_at(&self) -> Millis {
        Millis::ZERO
    }

    fn rack_owner(&self, _rack: &RackId) -> Option<MemberId> {
        Some(self.me())
    }

    fn shard_owner(&self, _shard: u32) -> Option<MemberId> {
        Some(self.me())
    }

    fn key_holders(&self, _key: &str) -> Vec<MemberId> {
        vec![self.me()]
    }

    fn peer_addr(&self, _member: &MemberId) -> Option<String> {
        None
    }
}
