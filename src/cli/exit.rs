//! Exit codes for scripts.

use std::fmt;
use std::process::ExitCode;

/// How a verb ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Carried out.
    Done = 0,
    /// Refused, or in conflict with another change; nothing was changed.
    Refused = 1,
    /// Wrong usage or bad input; nothing was changed.
    BadInput = 2,
    /// Not reachable, or the outcome is unknown.
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a verb failed, as shown on standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// Exit code.
    pub exit: Exit,
    /// Message for the operator.
    pub message: String,
}

impl CliError {
    /// A refusal or conflict.
    pub fn refused(message: impl Into<String>) -> Self {
        Self {
            exit: Exit::Refused,
            message: message.into(),
        }
    }

    /// Bad input.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self {
            exit: Exit::BadInput,
            message: message.into(),
        }
    }

    /// Something that cannot be reached, or an unknown outcome.
    pub fn unreachable(message: impl Into<String>) -> Self {
        Self {
            exit: Exit::Unknown,
            message: message.into(),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CliError {}
