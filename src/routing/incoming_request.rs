//! A request as the request path sees it.

use std::fmt;

use crate::prelude::*;

/// Identifies one request within one entry process; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request that asks to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Identifier given by the proxy.
    pub id: RequestId,
    /// Service that shall answer.
    pub service: ServiceId,
    /// Class of urgency; the service's default if absent.
    pub class: Option<ClassName>,
    /// Team that sent the request; requests without one share a queue.
    pub team: Option<TeamId>,
    /// Time left for an answer; the service's default if absent.
    pub deadline: Option<Millis>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a peer forwarded the request; it is not forwarded again.
    pub forwarded: bool,
}
