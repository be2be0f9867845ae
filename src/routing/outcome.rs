//! The result of one attempt of a request.

use crate::prelude::*;

/// Result of one attempt, as far as this process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response arrived.
    Success {
        /// Time from sending the request to the end of the response.
        latency: Millis,
    },
    /// A response with a server error arrived.
    Failure {
        /// Time from sending the request to the end of the response.
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
    /// The attempt was given up, because the caller disconnected or another attempt won.
    Abandoned,
}

impl Outcome {
    /// Returns whether the endpoint certainly did not run the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}
