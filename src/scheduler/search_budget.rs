//! Bound on the searches of a planning round that lets the jobs at the back have a turn.

use super::order::Rank;
use crate::prelude::*;

/// Place of a job in the order of a round.
pub(super) type Turn = (Rank, JobId);

/// Number of searches that one round may take.
///
/// A round that was cut short leaves jobs untried. The next one has a few more searches from there
/// on, so that each job is tried in turn; the order of the jobs at the front stays as it is.
#[derive(Debug)]
pub(super) struct SearchBudget {
    /// Maximum number of searches from the front of the order.
    limit: usize,
    /// Maximum number of further searches from `resume_at` on.
    resumed_limit: usize,
    used: usize,
    /// First job that the last round left untried.
    resume_at: Option<Turn>,
    /// First job that this round leaves untried.
    untried: Option<Turn>,
}

impl SearchBudget {
    /// Creates the budget of a round; `resume_at` is where the last one was cut short.
    pub fn new(limit: usize, resumed_limit: usize, resume_at: Option<Turn>) -> Self {
        Self {
            limit,
            resumed_limit,
            used: 0,
            resume_at,
            untried: None,
        }
    }

    /// Counts a search.
    pub fn spend(&mut self) {
        self.used += 1;
    }

    /// Returns whether searches are left for the job whose turn it is; the jobs come in order.
    pub fn has_left(&mut self, turn: &Turn) -> bool {
        if self.used < self.limit {
            return true;
        }
        let is_resumed = match &self.resume_at {
            Some(at) if turn < at => return false,
            Some(_) => true,
            None => false,
        };
        if is_resumed && self.used < self.limit + self.resumed_limit {
            return true;
        }
        self.untried.get_or_insert_with(|| turn.clone());
        false
    }

    /// Returns where the next round has to resume.
    pub fn into_resume(self) -> Option<Turn> {
        self.untried
    }
}
