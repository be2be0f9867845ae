//! How an attempt to answer a request ended.

use crate::prelude::*;

/// End of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer arrived.
    Success {
        /// Time from sending to the end of the answer.
        latency: Millis,
    },
    /// An answer with a server error arrived.
    Failure {
        /// Time from sending to the end of the answer.
        latency: Millis,
    },
    /// The endpoint stated that it did not run the request.
    Refused,
    /// The connection failed before the first byte was sent.
    NotSent,
    /// The connection made no progress.
    Stalled,
    /// The connection broke after the first byte was sent.
    Broken,
    /// The caller left.
    Abandoned,
}

impl Outcome {
    /// Tells whether the endpoint certainly did not run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}
