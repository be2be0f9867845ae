//! State of one connection of a client.

use std::net::SocketAddr;

use super::limits::CONNECTION_BYTES;
use crate::prelude::*;

/// By how much an incomplete request counts more than an idle connection of the same age and size.
const INCOMPLETE_WEIGHT: u64 = 8;

/// A connection, by the port of this process and the address of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// Port of this process.
    pub port: u16,
    /// Address of the client.
    pub client: SocketAddr,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request has begun.
    Idle,
    /// A request has begun, and its head is not complete.
    Head,
    /// The body of a request is not complete.
    Body,
    /// A request is complete and not answered.
    Serving,
}

/// State of an open connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// Number of the connection; a client may open another one from the same port.
    pub number: u64,
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Millis,
    /// Bytes that are held of the request, beside those of the connection.
    pub held: usize,
    /// Triggered to close the connection.
    pub close: CancellationToken,
}

impl Connection {
    /// Returns the memory that the connection takes.
    pub fn size(&self) -> usize {
        CONNECTION_BYTES + self.held
    }

    /// Returns whether the connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.close.is_cancelled()
    }

    /// Returns how soon the connection is to be closed among others; `None` if it is already, or if
    /// a request on it is complete, because that may have been passed on.
    pub fn closing_order(&self, now: Millis) -> Option<u64> {
        if self.is_closing() {
            return None;
        }
        let size = u64::try_from(self.size()).unwrap_or(u64::MAX);
        let age = now.since(self.since).0 + 1;
        let order = size.saturating_mul(age);
        match self.phase {
            Phase::Idle => Some(order),
            Phase::Head | Phase::Body => Some(order.saturating_mul(INCOMPLETE_WEIGHT)),
            Phase::Serving => None,
        }
    }
}
