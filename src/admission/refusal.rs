//! Reasons for refusing a request.

use std::fmt;

/// Reason why a request was refused without being run.
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
    /// This process has not received a bundle yet.
    NoBundle,
    /// No response is expected before the deadline.
    DeadlineTooShort,
    /// The queue has reached its maximum length.
    QueueFull,
    /// No endpoint is usable.
    NoEndpoint,
    /// The request reached the maximum wait of its class.
    WaitedTooLong,
    /// Every permitted attempt ended without running the request.
    RetriesExhausted,
}

impl Refusal {
    /// Returns the reason in the form that is sent to callers.
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
