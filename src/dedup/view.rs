//! Membership views that map each key to its holders in one epoch.

use crate::membership::Ownership;
use crate::prelude::*;

/// Members of one epoch and the holders of each key among them.
///
/// An implementation is a snapshot: its results stay those of its epoch.
pub trait KeyView: Send + Sync {
    /// Returns the epoch of the view.
    fn epoch(&self) -> Epoch;

    /// Returns all members of the region in that epoch.
    fn members(&self) -> Vec<MemberId>;

    /// Returns the holders of a key, its home first and then its backup.
    fn holders(&self, key: &str) -> Vec<MemberId>;
}

/// View of a fixed set of members, with the holders that an [`Ownership`] names.
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
