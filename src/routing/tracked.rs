//! A request that waits or is in progress.

use super::IncomingRequest;
use super::endpoint_pool::Attempt;
use crate::admission::QueueEntry;
use crate::prelude::*;

/// State of a request that this process has accepted.
#[derive(Clone, Debug)]
pub struct Tracked {
    /// Place among the classes and teams.
    pub ticket: QueueEntry,
    /// Local time by which the answer is due.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Local time at which waiting ends; `None` while the request is in progress.
    pub waits_until: Option<Millis>,
    /// Attempts in progress, oldest first.
    pub attempts: Vec<Attempt>,
    /// Attempts made so far.
    pub tries: u32,
    /// Endpoint that the next attempt avoids.
    pub except: Option<VmId>,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
}

impl Tracked {
    /// Creates the state of a new request.
    pub fn new(req: &IncomingRequest, class: ClassName, deadline: Millis) -> Self {
        Self {
            ticket: QueueEntry {
                id: req.id,
                class,
                team: req.team.clone(),
            },
            deadline,
            idempotent: req.idempotent,
            waits_until: None,
            attempts: Vec::new(),
            tries: 0,
            except: None,
            may_have_run: false,
        }
    }
}
