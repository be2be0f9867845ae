//! Reasons for which a request is not run.

use std::fmt;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The bundle in force has no such service.
    UnknownService,
    /// The bundle in force has no such class.
    UnknownClass,
    /// The bundle in force has no such team.
    UnknownTeam,
    /// No bundle has arrived yet.
    NoBundle,
    /// The answer cannot be expected before the deadline.
    DeadlineTooShort,
    /// The queue is as long as it may be.
    QueueFull,
    /// No endpoint may be used.
    NoEndpoint,
    /// The request waited for as long as it may.
    WaitedTooLong,
    /// Every permitted attempt ended without being run.
    RetriesExhausted,
}

impl Refusal {
    /// Returns the reason as sent to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::UnknownClass => "unknown-class",
            Self::UnknownTeam => "unknown-team",
            Self::NoBundle => "no-bundle",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::QueueFull => "queue-full",
            Self::NoEndpoint => "no-endpoint",
            Self::WaitedTooLong => "waited-too-long",
            Self::RetriesExhausted => "retries-exhausted",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
