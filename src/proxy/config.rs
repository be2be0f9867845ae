//! Configuration of a proxy.

use tokio::time::Instant;

use super::Clock;
use crate::dedup::{KeyLimits, KeyView};
use crate::prelude::*;

/// Default maximum number of connections to one peer.
const PEER_CONNECTIONS: u32 = 64;

/// Default limit of the request bodies buffered for retries, in bytes.
const BODY_BYTES: usize = 16 << 20;

/// Identity and limits of a proxy.
#[derive(Clone)]
pub struct ProxyConfig {
    /// Id of this process.
    pub member: MemberId,
    /// Clock that is shared with all other users of the dispatcher.
    pub clock: Clock,
    /// Limits of the table of idempotency keys.
    pub key_limits: KeyLimits,
    /// Members and key holders of the epoch in which the process starts. If absent, the process is
    /// the only member.
    pub initial_view: Option<Arc<dyn KeyView>>,
    /// Maximum number of connections to one peer.
    pub peer_connections: u32,
    /// Maximum bytes of buffered request bodies; requests beyond it are refused.
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
