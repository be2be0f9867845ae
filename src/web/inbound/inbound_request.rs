//! A request that is being received or served.

use super::connection::{ConnectionId, Phase};
use super::inbound_state::Inbound;
use crate::prelude::*;

/// The connection of a request, by which its handler accounts for what it holds.
#[derive(Clone, Debug)]
pub struct InboundRequest {
    inbound: Arc<Inbound>,
    id: ConnectionId,
    close: CancellationToken,
}

impl InboundRequest {
    /// Begins to serve a request; `None` if its connection is to be closed.
    pub(in crate::web) fn begin(inbound: &Arc<Inbound>, id: ConnectionId) -> Option<Self> {
        let close = inbound.begin(&id, Phase::Serving)?;
        Some(Self {
            inbound: inbound.clone(),
            id,
            close,
        })
    }

    /// Notes that a body is to be received.
    pub(in crate::web) fn receive_body(&self) {
        self.inbound.begin(&self.id, Phase::Body);
    }

    /// Waits until the buffer of the body may be replaced by one of so many bytes, and accounts for
    /// it. Returns `false` if the connection is to be closed.
    pub(in crate::web) async fn grow(&self, bytes: usize) -> bool {
        tokio::select! {
            () = self.close.cancelled() => false,
            () = self.inbound.room(bytes) => {
                self.inbound.hold(&self.id, bytes);
                true
            }
        }
    }

    /// Returns whether the connection is to be closed.
    pub(in crate::web) fn is_closing(&self) -> bool {
        self.close.is_cancelled()
    }

    /// Notes that the whole request has been received. Returns `false` if the connection is to be
    /// closed, so that the request must not be served.
    pub(in crate::web) fn complete(&self) -> bool {
        self.inbound.begin(&self.id, Phase::Serving).is_some()
    }

    /// Notes that the request has been answered.
    pub(in crate::web) fn answered(&self) {
        self.inbound.begin(&self.id, Phase::Idle);
    }

    /// Reserves memory for what the request grows to while it is served; `None` if there is no room
    /// in time.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let reserved = self.inbound.reserve(bytes).await;
        reserved.then(|| Reservation {
            inbound: self.inbound.clone(),
            bytes,
        })
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    inbound: Arc<Inbound>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.inbound.release(self.bytes);
    }
}
