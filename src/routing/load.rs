//! Load of a service at this process and at its peers.

use crate::prelude::*;

/// Load of a service at this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ServiceLoad {
    /// Requests that could be sent at once.
    pub free_slots: u32,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Time in which the present queue is served; zero while a slot is free.
    pub queue_delay: Millis,
    /// Median latency of recent answers; zero if there were none.
    pub p50: Millis,
    /// 99th percentile of the latency of recent answers; zero if there were none.
    pub p99: Millis,
    /// Endpoints that are ejected at present.
    pub ejected: u32,
}

/// Load of a service at a peer, as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// The peer.
    pub member: MemberId,
    /// Availability zone of the peer.
    pub zone: ZoneId,
    /// Slots that were free.
    pub free_slots: u32,
    /// Time in which its queue is served.
    pub queue_delay: Millis,
    /// Age of the report.
    pub age: Millis,
}
