//! Errors of all modules.

use thiserror::Error;

/// A value that is not a valid identifier or number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ModelError {
    /// Text that cannot be an identifier.
    #[error("{text:?} is not a valid {kind}: use 1 to 128 letters, digits or any of - _ . : /")]
    Id {
        /// Name of the identifier type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// Text that is not a number of the expected range.
    #[error("{text:?} is not a valid {kind}")]
    Number {
        /// Name of the number type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
}

/// Why a call to the key-value service gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call was certainly not carried out.
    #[error("key-value service is unavailable: {0}")]
    Unavailable(String),
    /// The call may have been carried out; read the record to find out.
    #[error("answer of the key-value service was lost: {0}")]
    AnswerLost(String),
    /// The service answered with something that cannot be understood.
    #[error("key-value service gave an invalid answer: {0}")]
    Invalid(String),
}

/// Why a call to a worker agent or the VM list gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// No answer arrived; a command may have been carried out.
    #[error("{target} did not answer: {reason}")]
    NoAnswer {
        /// What was called.
        target: String,
        /// What went wrong.
        reason: String,
    },
    /// The answer cannot be understood.
    #[error("{target} gave an invalid answer: {reason}")]
    Invalid {
        /// What was called.
        target: String,
        /// What is wrong with the answer.
        reason: String,
    },
}

/// Why a call over HTTP failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("connection to {addr} failed: {reason}")]
    Connect {
        /// The address that was called.
        addr: String,
        /// What went wrong.
        reason: String,
    },
    /// The call was sent but no complete answer arrived.
    #[error("call to {addr} failed: {reason}")]
    Broken {
        /// The address that was called.
        addr: String,
        /// What went wrong.
        reason: String,
    },
    /// The answer had an error status.
    #[error("{addr} answered with status {status}: {message}")]
    Status {
        /// The address that was called.
        addr: String,
        /// HTTP status code.
        status: u16,
        /// Body of the answer.
        message: String,
    },
    /// A message could not be encoded or decoded.
    #[error("message for or from {addr} is invalid: {reason}")]
    Codec {
        /// The address that was called.
        addr: String,
        /// What is wrong with the message.
        reason: String,
    },
}

impl CallError {
    /// Turns the error of a call into that of a platform service.
    pub fn for_platform(self, target: &str) -> PlatformError {
        let target = target.to_string();
        let reason = self.to_string();
        match self {
            Self::Connect { .. } | Self::Broken { .. } => {
                PlatformError::NoAnswer { target, reason }
            }
            Self::Status { .. } | Self::Codec { .. } => PlatformError::Invalid { target, reason },
        }
    }
}

/// A body that ended before its declared end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("body was cut off: {reason}")]
pub struct CutOff {
    /// What went wrong.
    pub reason: String,
}

impl CutOff {
    /// Creates the error from its reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}
