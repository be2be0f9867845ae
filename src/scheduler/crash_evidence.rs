//! Crashes of workers under one task, as its record keeps them.

use super::Placement;
use crate::prelude::*;

/// What shows a crash of a worker under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Evidence {
    /// The worker is only gone from the store, or it did not answer the start.
    Possible,
    /// Another process has taken the place of the worker; a former leader had recorded the run there
    /// and may have started it.
    Probable,
    /// Another process has taken the place of the worker, which was known to have the run.
    Certain,
}

/// A crash of a worker under a task. It names the process that crashed, so that it is counted once
/// and any leader can take it back when that process answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The incarnation of the worker.
    pub place: Placement,
    /// What shows that the process crashed while it had the run.
    pub evidence: Evidence,
    /// Longest time for which the run was on the worker.
    pub exposure: Millis,
}

/// The crashes under a task since its last sound run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(from = "StoredCrashes")]
pub struct Crashes(Vec<Crash>);

/// Crashes as records hold them.
#[derive(serde::Deserialize)]
#[serde(untagged)]
enum StoredCrashes {
    /// Their number alone, as written by builds that did not tell them apart.
    Count(u32),
    All(Vec<Crash>),
}

impl From<StoredCrashes> for Crashes {
    fn from(stored: StoredCrashes) -> Self {
        match stored {
            StoredCrashes::All(all) => Self(all),
            StoredCrashes::Count(count) => Self::of_unknown_workers(count),
        }
    }
}

impl Crashes {
    /// Returns crashes of which only the number is known.
    pub fn of_unknown_workers(count: u32) -> Self {
        let crash = |at: u32| {
            Some(Crash {
                place: Placement {
                    worker: format!("unknown-{at}").parse().ok()?,
                    incarnation: 0,
                },
                evidence: Evidence::Possible,
                exposure: Millis::ZERO,
            })
        };
        Self((0..count).filter_map(crash).collect())
    }

    /// Returns the number of crashes.
    pub fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the crashes that are shown by this evidence or better.
    pub fn with(&self, least: Evidence) -> impl Iterator<Item = &Crash> {
        self.0.iter().filter(move |crash| crash.evidence >= least)
    }

    /// Adds a crash, or better evidence of a known one; returns whether something has changed.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        match self.0.iter_mut().find(|known| known.place == crash.place) {
            Some(known) if known.evidence >= crash.evidence => false,
            Some(known) => {
                *known = crash;
                true
            }
            None => {
                self.0.push(crash);
                true
            }
        }
    }

    /// Takes back the crash of a process that has answered; returns whether it was known.
    pub(super) fn take_back(&mut self, place: &Placement) -> bool {
        let before = self.0.len();
        self.0.retain(|known| known.place != *place);
        self.0.len() < before
    }

    /// Returns the processes that have crashed.
    pub(super) fn places(&self) -> impl Iterator<Item = &Placement> {
        self.0.iter().map(|crash| &crash.place)
    }
}
