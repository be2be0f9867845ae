//! Holders of keys among the members of one epoch.

use crate::membership::Ownership;
use crate::prelude::*;

/// The members of one epoch and the holders of each key among them.
///
/// Implementations are snapshots: they keep giving the answers of their epoch.
pub trait KeyView: Send + Sync {
    /// Returns the epoch.
    fn epoch(&self) -> Epoch;

    /// Returns all members of the region in that epoch.
    fn members(&self) -> Vec<MemberId>;

    /// Returns the home of a key, then its backup.
    fn holders(&self, key: &str) -> Vec<MemberId>;
}

/// View of a process whose membership does not change.
pub struct OwnershipView {
    epoch: Epoch,
    members: Vec<MemberId>,
    ownership: Arc<dyn Ownership>,
}

impl OwnershipView {
    /// Creates the view of the current epoch with these members.
    pub fn new(ownership: Arc<dyn Ownership>, members: Vec<MemberId>) -> Self {
        Self {
            epoch: ownership.epoch(),
            members,
            ownership,
        }
    }
}

impl KeyView for OwnershipView {
    fn epoch(&self) -> Epoch {
        self.epoch
    }

    fn members(&self) -> Vec<MemberId> {
        self.members.clone()
    }

    fn holders(&self, key: &str) -> Vec<MemberId> {
        self.ownership.key_holders(key)
    }
}
