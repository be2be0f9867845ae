//! Decisions on requests.

use crate::admission::Refusal;
use crate::prelude::*;

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to an endpoint now. The slot stays taken until the attempt is reported as ended.
    Send(Pick),
    /// Forward it to a peer. The dispatcher no longer tracks it.
    Forward(MemberId),
    /// Keep it queued. A later call returns the next verdict.
    Wait,
    /// Refuse it and report to the caller that it was not run.
    Refuse {
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which a retry is expected to be accepted.
        retry_after: Millis,
    },
    /// Report to the caller that the outcome is unknown.
    Unknown,
}

/// Endpoint chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Address of the endpoint.
    pub address: Address,
    /// Local time by which the response is due.
    pub deadline: Millis,
    /// Bundle version by which the endpoint was chosen.
    pub version: Version,
}
