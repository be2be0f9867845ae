//! What a proxy needs to know from its daemon.

use tokio::time::Instant;

use super::Clock;
use crate::dedup::{KeyLimits, KeyView};
use crate::prelude::*;

/// Connections to one peer, for forwarded requests.
const PEER_CONNECTIONS: u32 = 64;

/// Bytes of request bodies that are held at once for sending again.
const BODY_BYTES: usize = 16 << 20;

/// Identity and limits of a proxy.
#[derive(Clone)]
pub struct ProxyConfig {
    /// This process.
    pub member: MemberId,
    /// Clock shared with all other users of the dispatcher.
    pub clock: Clock,
    /// Bounds of the table of idempotency keys.
    pub key_limits: KeyLimits,
    /// Members and key holders of the epoch in which the process starts; alone if absent.
    pub initial_view: Option<Arc<dyn KeyView>>,
    /// Connections to one peer.
    pub peer_connections: u32,
    /// Bytes of request bodies held at once; requests beyond it are refused.
    pub max_buffered_bytes: usize,
}

impl ProxyConfig {
    /// Creates a configuration whose clock starts now.
    pub fn new(member: MemberId) -> Self {
        Self {
            member,
            clock: Clock::new(Instant::now()),
            key_limits: KeyLimits::default(),
            initial_view: None,
            peer_connections: PEER_CONNECTIONS,
            max_buffered_bytes: BODY_BYTES,
        }
    }
}
