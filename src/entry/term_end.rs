//! What a process answers about the end of a term.

use crate::prelude::*;

/// Answer of the process at the address of a former claimer about one of its claims. Times are
/// durations, because the clocks of two processes cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TermEnd {
    /// The claim became a term, which has ended; its process has granted no lease under it since.
    Ended {
        /// Time since then.
        ago: Millis,
    },
    /// The claim never became a term and never will: no lease was granted under it.
    NeverBegan {
        /// Time since the claim.
        claimed_ago: Millis,
    },
    /// The process that claimed is gone, and what became of the claim is not known.
    LaterProcess {
        /// Time since the start of the process that is there now.
        started_ago: Millis,
    },
}
