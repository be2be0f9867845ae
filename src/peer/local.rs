//! What the node asks of the other modules of its process.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::ServiceLoad;

/// State of this process that heartbeats carry, and the receiver of what peers send.
///
/// All methods are called often and must not block.
pub trait LocalState: Send + Sync {
    /// Returns the load of each service at this process.
    fn loads(&self) -> Vec<ServiceLoad> {
        Vec::new()
    }

    /// Returns the requests in progress at each endpoint with any.
    ///
    /// A request must be counted before the dispatcher checks it against the published slots.
    fn in_flight_by_endpoint(&self) -> BTreeMap<VmId, u32> {
        BTreeMap::new()
    }

    /// Returns the newest bundle version of this process.
    fn bundle_version(&self) -> Version {
        Version(0)
    }

    /// Returns the newest bundle as the bundle module encodes it.
    fn export_bundle(&self) -> Option<Vec<u8>> {
        None
    }

    /// Takes a bundle from a peer; the bundle module checks it.
    fn offer_bundle(&self, _bundle: Vec<u8>) {}

    /// Returns digests of other modules by short name.
    fn digests(&self) -> BTreeMap<String, Vec<u8>> {
        BTreeMap::new()
    }

    /// Takes the digests of a peer; returns whether the peer has a bundle record to fetch.
    fn receive_digests(&self, _from: &MemberId, _digests: &BTreeMap<String, Vec<u8>>) -> bool {
        false
    }
}

/// A process without services and bundles.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLocalState;

impl LocalState for NoLocalState {}
