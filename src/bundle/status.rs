//! The bundle status that heartbeats carry to peers as a gossip digest.

use crate::prelude::*;

/// The newest bundle version and key ring that a process knows, and the age of this knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BundleStatus {
    /// Bundle version in force.
    pub version: Version,
    /// Serial number of the key ring.
    pub ring: u64,
    /// Time since the store last confirmed both, directly or through peers; `None` if it never did.
    pub age: Option<Millis>,
}
