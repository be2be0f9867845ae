//! Errors of calls about jobs.

use thiserror::Error;

use crate::prelude::*;

/// Reason why a call about jobs was refused, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// No task of the job can run on this fleet under this bundle.
    #[error("job can never run: {0}")]
    Impossible(String),
    /// The specification breaks a limit.
    #[error("job is not valid: {0}")]
    Invalid(String),
    /// The submission key belongs to a job with another specification.
    #[error("submission key {key:?} was used for a different job, {job}")]
    KeyReused {
        /// The submission key.
        key: String,
        /// The job that was submitted with it.
        job: JobId,
    },
    /// Nothing was changed, so the call can be retried.
    #[error("not accepted: {0}")]
    NotAccepted(String),
    /// The change may have become durable or still become so. A retry with the same submission key
    /// shows the outcome.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}
