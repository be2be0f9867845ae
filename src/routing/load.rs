//! Load of a service at this process and at its peers.

use crate::prelude::*;

/// Load of a service at this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServiceLoad {
    /// Number of requests that could be sent immediately.
    pub free_slots: u32,
    /// Number of requests in flight.
    pub in_progress: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Expected time to serve the current queue; zero while a slot is free.
    pub queue_delay: Millis,
    /// Median latency of recent responses; zero if there were none.
    pub p50: Millis,
    /// 99th percentile of the latency of recent responses; zero if there were none.
    pub p99: Millis,
    /// Number of ejected endpoints.
    pub ejected: u32,
}

/// Load of a service at a peer, as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// The peer.
    pub member: MemberId,
    /// Availability zone of the peer.
    pub zone: ZoneId,
    /// Number of free slots.
    pub free_slots: u32,
    /// Expected time to serve the peer's queue.
    pub queue_delay: Millis,
    /// Age of the report.
    pub age: Millis,
}
