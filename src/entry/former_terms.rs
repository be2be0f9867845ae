//! What a leader knows of the terms before its own, and until when their leases run.

use super::TermEnd;
use super::shared::LeaderInfo;
use super::stored_terms::{StoredTerm, StoredTerms, Terms};
use crate::prelude::*;
use crate::scheduler::{SilentWorker, Timing};

/// Knowledge of the terms before the present one.
#[derive(Debug)]
pub(super) struct FormerTerms {
    /// Workers that did not answer former leaders.
    pub silent: Vec<SilentWorker>,
    /// Revision of the stored terms.
    pub revision: u64,
    /// Claims in their order.
    terms: Vec<FormerTerm>,
    took_over_at: Millis,
    /// Time by which the leases of leaders that the stored terms do not name have ended.
    unnamed_end: Millis,
    /// What the stored terms say of that time.
    stored_unnamed: Millis,
    /// The stored terms name leaders that have ended.
    names_ended: bool,
}

#[derive(Debug)]
struct FormerTerm {
    leader: LeaderInfo,
    is_handed_over: bool,
    outcome: Option<Outcome>,
}

/// What became of a claim, by the clock of this process.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// It may have become a term, which had ended at this time.
    EndedBy(Millis),
    /// It never became a term. It was made by this time.
    NeverBegan { claimed_by: Millis },
}

impl FormerTerms {
    /// Returns what is known at a takeover, from the terms before it and the revision of the claim.
    pub fn new(stored: StoredTerms, revision: u64, took_over_at: Millis) -> Self {
        let Terms {
            claims,
            silent,
            unnamed_expire_in,
        } = stored.terms;
        let terms = claims.into_iter().map(|claim| FormerTerm {
            leader: claim.leader,
            is_handed_over: claim.is_handed_over,
            outcome: None,
        });
        Self {
            silent,
            revision,
            terms: terms.collect(),
            took_over_at,
            unnamed_end: took_over_at + unnamed_expire_in,
            stored_unnamed: unnamed_expire_in,
            names_ended: false,
        }
    }

    /// Returns the claims of which nobody has answered yet.
    pub fn unanswered(&self) -> Vec<LeaderInfo> {
        let open = self.terms.iter().filter(|term| term.outcome.is_none());
        open.map(|term| term.leader.clone()).collect()
    }

    /// Records an answer about a claim that was received at `now`.
    pub fn record_end(&mut self, leader: &LeaderInfo, end: TermEnd, now: Millis) {
        let outcome = match end {
            TermEnd::Ended { ago } => Outcome::EndedBy(now.saturating_sub(ago)),
            TermEnd::LaterProcess { started_ago } => {
                Outcome::EndedBy(now.saturating_sub(started_ago))
            }
            TermEnd::NeverBegan { claimed_ago } => Outcome::NeverBegan {
                claimed_by: now.saturating_sub(claimed_ago),
            },
        };
        self.record(leader, outcome);
    }

    /// Ends the wait for answers once the leases of all former leaders have ended anyway. Returns the
    /// claims of which nobody has answered.
    pub fn end_wait(&mut self, timing: &Timing, now: Millis) -> Vec<LeaderInfo> {
        let ended_at = self.took_over_at + timing.former_leases;
        if now <= ended_at {
            return Vec::new();
        }
        let unanswered = self.unanswered();
        for leader in &unanswered {
            self.record(leader, Outcome::EndedBy(ended_at));
        }
        unanswered
    }

    /// Returns whether the end of each former term is known.
    pub fn is_complete(&self) -> bool {
        self.terms.iter().all(|term| term.outcome.is_some())
    }

    fn record(&mut self, leader: &LeaderInfo, outcome: Outcome) {
        let found = self.terms.iter_mut().find(|term| term.leader == *leader);
        if let Some(term) = found {
            // A term that was handed over needs no write: its successors know that it has ended.
            self.names_ended |= !term.is_handed_over;
            term.outcome = Some(outcome);
        }
    }

    /// Returns the time by which the leases of former leaders have ended. A leader of which nobody
    /// has answered counts as not knowing of its end, unless it has handed over; leaders that are
    /// not named have ended by the takeover.
    pub fn leases_end(&self, timing: &Timing) -> Millis {
        let limit = self.took_over_at + timing.former_leases;
        // A claim is made after all terms that it names as handed over had ended.
        let mut handed_over_by = self.took_over_at;
        let mut last_end = None;
        for term in self.terms.iter().rev() {
            let ended_by = match term.outcome {
                Some(Outcome::EndedBy(at)) => at,
                Some(Outcome::NeverBegan { claimed_by }) => {
                    handed_over_by = handed_over_by.min(claimed_by);
                    continue;
                }
                None if term.is_handed_over => handed_over_by,
                None => return limit,
            };
            let ended_by = match term.is_handed_over {
                true => ended_by.min(handed_over_by),
                false => ended_by,
            };
            last_end = last_end.max(Some(ended_by));
            handed_over_by = handed_over_by.min(ended_by);
        }
        let ended_by = last_end.unwrap_or(handed_over_by);
        timing.lease_end(ended_by).max(self.unnamed_end).min(limit)
    }

    /// Returns whether the stored terms let a successor wait for leases that have ended.
    pub fn is_outdated(&self, now: Millis) -> bool {
        self.names_ended || (self.stored_unnamed > Millis::ZERO && now > self.unnamed_end)
    }

    /// Returns the terms to store during the term of `leader`. A term that was handed over ended
    /// before this one began, so it need not be named besides it.
    pub fn during(&self, leader: &LeaderInfo, silent: Vec<SilentWorker>, now: Millis) -> Terms {
        self.terms_with(leader, false, silent, now)
    }

    /// Returns the terms to store when `leader` hands over.
    pub fn after(&self, leader: &LeaderInfo, silent: Vec<SilentWorker>, now: Millis) -> Terms {
        self.terms_with(leader, true, silent, now)
    }

    fn terms_with(
        &self,
        leader: &LeaderInfo,
        is_handed_over: bool,
        silent: Vec<SilentWorker>,
        now: Millis,
    ) -> Terms {
        let mut claims: Vec<StoredTerm> = self
            .to_name()
            .map(|term| StoredTerm {
                leader: term.leader.clone(),
                is_handed_over: false,
            })
            .collect();
        claims.push(StoredTerm {
            leader: leader.clone(),
            is_handed_over,
        });
        Terms {
            claims,
            silent,
            unnamed_expire_in: self.unnamed_end.since(now),
        }
    }

    /// Returns the terms that a successor of the present leader needs to know besides its own.
    fn to_name(&self) -> impl Iterator<Item = &FormerTerm> {
        let terms = self.terms.iter();
        terms.filter(|term| term.outcome.is_none() && !term.is_handed_over)
    }

    /// Records that these terms were stored at a revision.
    pub fn on_stored(&mut self, terms: &Terms, revision: u64) {
        self.revision = revision;
        self.stored_unnamed = terms.unnamed_expire_in;
        self.names_ended = self.to_name().count() + 1 != terms.claims.len();
    }
}
