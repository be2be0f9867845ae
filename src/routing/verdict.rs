//! What to do with a request.

use crate::admission::Refusal;
use crate::prelude::*;

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to an endpoint now; the slot is taken until the attempt is reported as ended.
    Send(Pick),
    /// Hand it to a peer; it is no longer known here.
    Forward(MemberId),
    /// Keep it; a later call returns the next decision.
    Wait,
    /// Tell the caller that it was not run.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When another try is expected to be accepted.
        retry_after: Millis,
    },
    /// Tell the caller that the outcome is unknown.
    Unknown,
}

/// Endpoint chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Address of the endpoint.
    pub address: Address,
    /// Local time by which the answer is due.
    pub deadline: Millis,
    /// Bundle version under which the decision was made.
    pub version: Version,
}
