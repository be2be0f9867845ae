//! What is known of the request of a key.

use crate::prelude::*;
use crate::schema::dedup::{KeyRecord, KeyState, RecordedAnswer};

/// Result of recording a key at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordResult {
    /// The key is new, or its earlier attempt certainly did not run.
    New {
        /// The earlier attempt that the backup may replace.
        replaces: Option<WriterToken>,
    },
    /// The key was recorded before.
    Repeat(Repeat),
    /// The table holds no further keys.
    Full,
}

/// What a repeat of a key is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeat {
    /// The first request is in progress, or its answer was lost.
    Unknown,
    /// The first request was answered.
    Answered(Arc<RecordedAnswer>),
    /// The key belongs to a request with another method or path.
    OtherRequest,
}

/// Result of recording a key at its backup.
#[derive(Clone, Debug, PartialEq)]
pub enum BackupResult {
    /// The key is recorded.
    Recorded,
    /// Another attempt is recorded.
    Conflict(KeyRecord),
    /// The table holds no further keys.
    Full,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and was answered.
    Answered(Arc<RecordedAnswer>),
}

/// State of a recorded key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Known {
    InProgress,
    Ended(Completion),
}

impl Known {
    pub(super) fn from_record(record: &KeyRecord) -> Self {
        match (record.state, &record.answer) {
            (KeyState::InProgress, _) => Self::InProgress,
            (KeyState::NotRun, _) => Self::Ended(Completion::NotRun),
            (KeyState::Answered, Some(answer)) => {
                Self::Ended(Completion::Answered(Arc::new(answer.clone())))
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

    pub(super) fn answer(&self) -> Option<&Arc<RecordedAnswer>> {
        match self {
            Self::Ended(Completion::Answered(answer)) => Some(answer),
            _ => None,
        }
    }

    pub(super) fn is_not_run(&self) -> bool {
        matches!(self, Self::Ended(Completion::NotRun))
    }

    /// Tells whether `other` says more about the same attempt than `self`.
    pub(super) fn yields_to(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Ended(Completion::Answered(_)), _) | (_, Self::InProgress) => false,
            (_, Self::Ended(Completion::Answered(_))) | (Self::InProgress, _) => true,
            (Self::Ended(_), _) => false,
        }
    }

    pub(super) fn repeat(&self) -> Repeat {
        match self {
            Self::Ended(Completion::Answered(answer)) => Repeat::Answered(answer.clone()),
            _ => Repeat::Unknown,
        }
    }
}
