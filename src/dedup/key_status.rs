//! States of a recorded key and results of recording it.

use crate::prelude::*;
use crate::schema::dedup::{KeyRecord, KeyState, RecordedAnswer};

/// Result of recording a key at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordResult {
    /// The key was recorded: it is new, or its earlier attempt did not run.
    New {
        /// Earlier attempt that the backup may replace.
        replaces: Option<WriterToken>,
    },
    /// The key was recorded before.
    Repeat(Repeat),
    /// The table has reached its maximum number of keys.
    Full,
}

/// Result of a repeated request, which has a key that is recorded already.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeat {
    /// The first request is in flight, or its outcome is unknown.
    Unknown,
    /// The response to the first request is recorded.
    Answered(Arc<RecordedAnswer>),
    /// The key belongs to a request with another method or path.
    OtherRequest,
}

/// Result of recording a key at its backup.
#[derive(Clone, Debug, PartialEq)]
pub enum BackupResult {
    /// The key was recorded.
    Recorded,
    /// Another attempt is recorded under the key.
    Conflict(KeyRecord),
    /// The table has reached its maximum number of keys.
    Full,
}

/// Completion of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The request did not run, so the key may be used again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and its response is recorded.
    Answered(Arc<RecordedAnswer>),
}

/// Status of the attempt that is recorded under a key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum KeyStatus {
    InProgress,
    Ended(Completion),
}

impl KeyStatus {
    pub(super) fn from_record(record: &KeyRecord) -> Self {
        match (record.state, &record.answer) {
            (KeyState::InProgress, _) => Self::InProgress,
            (KeyState::NotRun, _) => Self::Ended(Completion::NotRun),
            (KeyState::Answered, Some(response)) => {
                Self::Ended(Completion::Answered(Arc::new(response.clone())))
            }
            (KeyState::Answered | KeyState::Unknown, _) => Self::Ended(Completion::Unknown),
        }
    }

    pub(super) fn state(&self) -> KeyState {
        match self {
            Self::InProgress => KeyState::InProgress,
            Self::Ended(Completion::NotRun) => KeyState::NotRun,
            Self::Ended(Completion::Unknown) => KeyState::Unknown,
            Self::Ended(Completion::Answered(_)) => KeyState::Answered,
        }
    }

    pub(super) fn response(&self) -> Option<&Arc<RecordedAnswer>> {
        match self {
            Self::Ended(Completion::Answered(response)) => Some(response),
            _ => None,
        }
    }

    pub(super) fn is_not_run(&self) -> bool {
        matches!(self, Self::Ended(Completion::NotRun))
    }

    /// Returns whether `other` is a later status of the same attempt than `self`.
    pub(super) fn is_superseded_by(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Ended(Completion::Answered(_)), _) | (_, Self::InProgress) => false,
            (_, Self::Ended(Completion::Answered(_))) | (Self::InProgress, _) => true,
            (Self::Ended(_), _) => false,
        }
    }

    pub(super) fn as_repeat(&self) -> Repeat {
        match self {
            Self::Ended(Completion::Answered(response)) => Repeat::Answered(response.clone()),
            _ => Repeat::Unknown,
        }
    }
}
