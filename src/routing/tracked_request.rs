//! A request that is queued or in flight.

use super::IncomingRequest;
use super::endpoint_pool::Attempt;
use crate::admission::QueueEntry;
use crate::prelude::*;

/// State of an accepted request.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    /// Class and team under which the request is queued.
    pub queue_entry: QueueEntry,
    /// Local time by which the response is due.
    pub deadline: Millis,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// Local time at which the wait expires; `None` while the request is in flight.
    pub waits_until: Option<Millis>,
    /// Attempts in flight, oldest first.
    pub attempts: Vec<Attempt>,
    /// Number of attempts so far.
    pub attempts_made: u32,
    /// Endpoint that the next attempt must not use.
    pub excluded: Option<VmId>,
    /// Whether an endpoint may have run the request.
    pub may_have_run: bool,
}

impl TrackedRequest {
    /// Creates the state of a new request.
    pub fn new(req: &IncomingRequest, class: ClassName, deadline: Millis) -> Self {
        Self {
            queue_entry: QueueEntry {
                id: req.id,
                class,
                team: req.team.clone(),
            },
            deadline,
            idempotent: req.idempotent,
            waits_until: None,
            attempts: Vec::new(),
            attempts_made: 0,
            excluded: None,
            may_have_run: false,
        }
    }
}
