//! Errors of all modules.

use thiserror::Error;

use crate::ini::Faults;
use crate::model::{OperatorId, Timestamp, Version};

/// A value that is not a valid identifier or number.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ModelError {
    /// Text that cannot be an identifier.
    #[error("{text:?} is not a valid {kind}: use 1 to 128 letters, digits or any of - _ . : /")]
    Id {
        /// Name of the identifier type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// Text that is not hexadecimal or has the wrong length.
    ///
    /// The text itself is left out, because it may be a secret in the wrong place.
    #[error("value is not a valid {kind}: use {digits} hexadecimal digits")]
    Hex {
        /// Name of the type.
        kind: &'static str,
        /// Number of digits.
        digits: usize,
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
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
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
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
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
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
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

/// Why a change to the bundle, the key ring or the audit trail did not happen.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum BundleError {
    /// The text of a bundle has faults.
    #[error("bundle has faults:\n{0}")]
    Invalid(Faults),
    /// The request itself is wrong.
    #[error("{0}")]
    BadInput(String),
    /// The operator may not do this.
    #[error("{0}")]
    Forbidden(String),
    /// Nothing with this name exists.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The rules of sign-off and roll-out do not allow it.
    #[error("{0}")]
    Refused(String),
    /// Another change came first; nothing was changed.
    #[error("conflict with {0}; nothing was changed")]
    Conflict(OtherChange),
    /// A record fails verification.
    #[error("record is not trusted: {0}")]
    Untrusted(String),
    /// A stored record cannot be understood.
    #[error("stored record {key} is invalid: {reason}")]
    BadRecord {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The store certainly did not carry out the change.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The store may have carried out the change.
    #[error("outcome is unknown, read {key} before trying again: {reason}")]
    Unknown {
        /// Key of the record that shows the outcome.
        key: String,
        /// What went wrong.
        reason: String,
    },
}

/// The change that another operator made first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherChange {
    /// Who made it.
    pub who: OperatorId,
    /// What was changed.
    pub what: String,
    /// When it was made.
    pub at: Timestamp,
    /// Bundle version in force with it.
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

/// A body that ended before its declared end.
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

/// Why a daemon could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// The address of the settings.
        addr: crate::model::Address,
        /// What the system said.
        reason: String,
    },
    /// The VM's name makes no valid member id.
    #[error(transparent)]
    Member(#[from] ModelError),
    /// Metrics cannot be registered.
    #[error("metrics cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Why a development installation could not start or be checked.
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
    /// A call of the administration API failed.
    #[error("administration call failed: {0}")]
    Admin(String),
    /// The entry processes did not become ready in time.
    #[error("entry processes did not become ready in time")]
    NotReady,
}
