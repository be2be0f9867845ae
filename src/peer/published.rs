//! State that a node publishes to the other modules of its process.

use std::collections::{BTreeMap, BTreeSet};

use tokio::sync::watch;

use crate::prelude::*;
use crate::schema::peer::{Member, ServiceLoad};
use crate::schema::vm::VmRecord;

/// The newest VM list with the leaving endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmSnapshot {
    /// All VMs that the platform lists.
    pub vms: Vec<VmRecord>,
    /// Endpoints that are leaving and must get no new work.
    pub leaving: BTreeSet<VmId>,
}

/// The member view of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewSnapshot {
    /// Adopted epoch; zero before the first one.
    pub epoch: Epoch,
    /// Members of the adopted epoch.
    pub members: Vec<Member>,
    /// Members that count as silent.
    pub silent: Vec<MemberId>,
    /// Whether this process is a member and may act as an owner.
    pub active: bool,
    /// Whether the store does not respond to this process.
    pub store_silent: bool,
}

/// The latest status of a peer, from a heartbeat or a heartbeat response.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Local time at which the status arrived.
    pub received_at: Millis,
    /// Newest bundle version of the peer.
    pub bundle: Version,
    /// Load of each service at the peer.
    pub loads: Vec<ServiceLoad>,
}

/// The latest status of another region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionStatus {
    /// Local time at which the region's summary arrived at this region.
    pub received_at: Millis,
    /// Newest bundle version of the region.
    pub bundle: Version,
    /// Number of members of the region.
    pub members: u32,
    /// Load of each service in the region. Only processes that received a summary directly know it.
    pub loads: Vec<ServiceLoad>,
}

/// The latest status of all other regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionsSnapshot {
    /// Latest status by region.
    pub regions: BTreeMap<RegionId, RegionStatus>,
    /// Whether there are other regions and none of them has sent a summary recently.
    pub cut_off: bool,
}

/// Channels of the published values. Receivers see the newest value only.
#[derive(Debug, Default)]
pub(super) struct PublishedState {
    pub vms: watch::Sender<Arc<VmSnapshot>>,
    pub view: watch::Sender<Arc<ViewSnapshot>>,
    pub slots: watch::Sender<Arc<BTreeMap<VmId, u32>>>,
    pub peers: watch::Sender<Arc<BTreeMap<MemberId, PeerStatus>>>,
    pub regions: watch::Sender<Arc<RegionsSnapshot>>,
}

/// Publishes a value if it differs from the previous one.
pub(super) fn publish<T: PartialEq>(sender: &watch::Sender<Arc<T>>, next: T) {
    sender.send_if_modified(|current| {
        let changed = **current != next;
        if changed {
            *current = Arc::new(next);
        }
        changed
    });
}
