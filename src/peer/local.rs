//! Interface between the node and the other modules of its process.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::ServiceLoad;

/// Provides the state of this process for heartbeats, and receives the state of peers.
///
/// All methods are called often and must not block.
pub trait LocalState: Send + Sync {
    /// Returns the load of each service at this process.
    fn loads(&self) -> Vec<ServiceLoad> {
        Vec::new()
    }

    /// Returns the number of requests in flight at each endpoint that has any.
    ///
    /// A request must be counted before the dispatcher checks it against the published slots.
    /// Otherwise an epoch could be marked as drained while a request exceeds its shares.
    fn in_flight_by_endpoint(&self) -> BTreeMap<VmId, u32> {
        BTreeMap::new()
    }

    /// Returns the newest bundle version of this process.
    fn bundle_version(&self) -> Version {
        Version(0)
    }

    /// Returns the newest bundle in the encoding of the bundle module.
    fn export_bundle(&self) -> Option<Vec<u8>> {
        None
    }

    /// Receives a bundle from a peer. The bundle module verifies it.
    fn offer_bundle(&self, _bundle: Vec<u8>) {}

    /// Returns the digests of other modules by short name.
    fn digests(&self) -> BTreeMap<String, Vec<u8>> {
        BTreeMap::new()
    }

    /// Receives the digests of a peer. Returns whether the peer has a bundle record to fetch.
    fn receive_digests(&self, _from: &MemberId, _digests: &BTreeMap<String, Vec<u8>>) -> bool {
        false
    }
}

/// Local state of a process without services and bundles.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLocalState;

impl LocalState for NoLocalState {}
