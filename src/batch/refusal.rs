//! Why a job was refused or a call about jobs has no answer.

use thiserror::Error;

use crate::prelude::*;

/// Why a call about jobs was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The job can never run.
    #[error("job can never run: {0}")]
    Impossible(String),
    /// The specification is not valid.
    #[error("job is not valid: {0}")]
    Invalid(String),
    /// The submission key belongs to another job.
    #[error("submission key {key:?} was used for a different job, {job}")]
    KeyReused {
        /// The key.
        key: String,
        /// The job that has it.
        job: JobId,
    },
    /// Nothing was changed; the call may be repeated.
    #[error("not accepted: {0}")]
    NotAccepted(String),
    /// The change may become durable; repeat with the same submission key to find out.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}
