//! A new request as the proxy passes it to the dispatcher.

use std::fmt;

use crate::prelude::*;

/// Identifies a request within one entry process. An id is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A new request on which the dispatcher decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Identifier assigned by the proxy.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Urgency class; `None` for the service's default class.
    pub class: Option<ClassName>,
    /// Team that sent the request. Requests without a team share one queue.
    pub team: Option<TeamId>,
    /// Time left for a response; `None` for the service's default deadline.
    pub deadline: Option<Millis>,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// Whether a peer forwarded the request. A forwarded request is not forwarded again.
    pub forwarded: bool,
}
