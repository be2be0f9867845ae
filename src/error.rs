//! Errors of all modules.

use thiserror::Error;

use crate::ini::Faults;
use crate::model::{OperatorId, Timestamp, Version};

/// A text that is not a valid identifier, number or byte string.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ModelError {
    /// The text is empty, too long or has a character that identifiers don't allow.
    #[error("{text:?} is not a valid {kind}: use 1 to 128 letters, digits or any of - _ . : /")]
    Id {
        /// Name of the identifier type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// The text is not hexadecimal or has the wrong length.
    ///
    /// The error omits the text, which may be a secret entered in the wrong place.
    #[error("value is not a valid {kind}: use {digits} hexadecimal digits")]
    Hex {
        /// Name of the expected type.
        kind: &'static str,
        /// Expected number of hexadecimal digits.
        digits: usize,
    },
    /// The text is not an address or a number within the range of its type.
    #[error("{text:?} is not a valid {kind}")]
    Number {
        /// Name of the expected type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
}

/// Failure of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum StoreError {
    /// The service did not execute the call.
    #[error("key-value service is unavailable: {0}")]
    Unavailable(String),
    /// The service may have executed the call. Reading the record shows whether it did.
    #[error("answer of the key-value service was lost: {0}")]
    AnswerLost(String),
    /// The response could not be decoded.
    #[error("key-value service gave an invalid answer: {0}")]
    Invalid(String),
}

/// Failure of a call to a worker agent or to the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum PlatformError {
    /// No response arrived, so a command may or may not have been executed.
    #[error("{target} did not answer: {reason}")]
    NoAnswer {
        /// The agent or service that was called.
        target: String,
        /// What went wrong.
        reason: String,
    },
    /// The response has an error status or could not be decoded.
    #[error("{target} gave an invalid answer: {reason}")]
    Invalid {
        /// The agent or service that was called.
        target: String,
        /// What is wrong with the response.
        reason: String,
    },
}

/// Failure of an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    #[error("connection to {addr} failed: {reason}")]
    Connect {
        /// The address that was called.
        addr: String,
        /// What went wrong.
        reason: String,
    },
    /// The request was sent, but no complete response arrived.
    #[error("call to {addr} failed: {reason}")]
    Broken {
        /// The address that was called.
        addr: String,
        /// What went wrong.
        reason: String,
    },
    /// The response had an error status.
    #[error("{addr} answered with status {status}: {message}")]
    Status {
        /// The address that was called.
        addr: String,
        /// HTTP status code.
        status: u16,
        /// Body of the response.
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
    /// Converts into the error of a call to the platform service `target`.
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

/// Failure of an operation on the bundle, the key ring or the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum BundleError {
    /// The text of the bundle has faults.
    #[error("bundle has faults:\n{0}")]
    Invalid(Faults),
    /// The request is invalid.
    #[error("{0}")]
    BadInput(String),
    /// The operator is not authorized for the operation.
    #[error("{0}")]
    Forbidden(String),
    /// The named object does not exist.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The rules of sign-off and roll-out forbid the operation.
    #[error("{0}")]
    Refused(String),
    /// A concurrent change was committed first, so nothing was changed.
    #[error("conflict with {0}; nothing was changed")]
    Conflict(OtherChange),
    /// The signature or hash of a record fails verification.
    #[error("record is not trusted: {0}")]
    Untrusted(String),
    /// A stored record could not be decoded.
    #[error("stored record {key} is invalid: {reason}")]
    BadRecord {
        /// Key of the record.
        key: String,
        /// What is wrong with the record.
        reason: String,
    },
    /// The store did not execute the write.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The outcome of the write is unknown.
    #[error("outcome is unknown, read {key} before trying again: {reason}")]
    Unknown {
        /// Key of the record that shows the outcome.
        key: String,
        /// What went wrong.
        reason: String,
    },
}

/// The change of another operator that a request conflicts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherChange {
    /// Operator who made the change.
    pub who: OperatorId,
    /// What was changed.
    pub what: String,
    /// Wall-clock time of the change.
    pub at: Timestamp,
    /// Bundle version in force after the change.
    pub version: Version,
}

impl std::fmt::Display for OtherChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            who,
            what,
            at,
            version,
        } = self;
        write!(
            f,
            "{what} by {who} at {at} ms since 1970 (version {version} in force)"
        )
    }
}

/// An HTTP body that was cut off before its end.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
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

/// Failure to start a daemon.
#[derive(Debug)]
#[derive(Error)]
pub enum DaemonError {
    /// A listener could not bind its address.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// The address in the settings.
        addr: crate::model::Address,
        /// Error of the operating system.
        reason: String,
    },
    /// The name of the VM does not yield a valid member id.
    #[error(transparent)]
    Member(#[from] ModelError),
    /// The metrics could not be registered.
    #[error("metrics cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Failure to start or check a development installation.
#[derive(Debug)]
#[derive(Error)]
pub enum DevError {
    /// A stand-in could not start.
    #[error("a stand-in could not start: {0}")]
    StandIn(#[from] std::io::Error),
    /// A bundle could not be rolled out.
    #[error("bundle could not be rolled out: {0}")]
    Bundle(#[from] BundleError),
    /// A daemon could not start.
    #[error("daemon could not start: {0}")]
    Daemon(#[from] DaemonError),
    /// A call to the administration API failed.
    #[error("administration call failed: {0}")]
    Admin(String),
    /// The entry processes did not become ready in time.
    #[error("entry processes did not become ready in time")]
    NotReady,
}
