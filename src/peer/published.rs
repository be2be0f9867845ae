//! What a node publishes to the other modules of its process.

use std::collections::{BTreeMap, BTreeSet};

use tokio::sync::watch;

use crate::prelude::*;
use crate::schema::peer::{Member, ServiceLoad};
use crate::schema::vm::VmRecord;

/// The newest VM list, with endpoints that must get no new work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmSnapshot {
    /// All VMs that the platform lists.
    pub vms: Vec<VmRecord>,
    /// Endpoints that are leaving.
    pub leaving: BTreeSet<VmId>,
}

/// The member view of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewSnapshot {
    /// Adopted epoch; zero before the first.
    pub epoch: Epoch,
    /// Members of the epoch.
    pub members: Vec<Member>,
    /// Members that have been silent for too long.
    pub silent: Vec<MemberId>,
    /// Whether this process is a member and may act as an owner.
    pub active: bool,
    /// Whether the key-value service does not answer this process.
    pub store_silent: bool,
}

/// What a peer said last.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// When it said it.
    pub received_at: Millis,
    /// Its newest bundle version.
    pub bundle: Version,
    /// Its load by service.
    pub loads: Vec<ServiceLoad>,
}

/// What another region said last.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionStatus {
    /// When it said it.
    pub received_at: Millis,
    /// Its newest bundle version.
    pub bundle: Version,
    /// Its members.
    pub members: u32,
    /// Its load by service, as far as this process was told.
    pub loads: Vec<ServiceLoad>,
}

/// The other regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionsSnapshot {
    /// What each region said last.
    pub regions: BTreeMap<RegionId, RegionStatus>,
    /// Whether there are other regions and none of them has sent a summary lately.
    pub cut_off: bool,
}

/// The published values; every receiver sees the newest one.
#[derive(Debug, Default)]
pub(super) struct News {
    pub vms: watch::Sender<Arc<VmSnapshot>>,
    pub view: watch::Sender<Arc<ViewSnapshot>>,
    pub slots: watch::Sender<Arc<BTreeMap<VmId, u32>>>,
    pub peers: watch::Sender<Arc<BTreeMap<MemberId, PeerStatus>>>,
    pub regions: watch::Sender<Arc<RegionsSnapshot>>,
}

/// Publishes a value if it differs from the last one.
pub(super) fn publish<T: PartialEq>(sender: &watch::Sender<Arc<T>>, next: T) {
    sender.send_if_modified(|held| {
        let changed = **held != next;
        if changed {
            *held = Arc::new(next);
        }
        changed
    });
}
