//! What heartbeats tell peers about bundles.

use crate::prelude::*;

/// The newest bundle version and key ring of a process, and how fresh its knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BundleNews {
    /// Version in force.
    pub version: Version,
    /// Serial of the key ring.
    pub ring: u64,
    /// Time since the store last confirmed both, directly or through peers.
    pub age: Option<Millis>,
}
