//! What an entry process knows of its own claims of the leader key, and how it answers a successor
//! that asks for the end of one of them.

use std::collections::VecDeque;

use super::TermEnd;
use crate::prelude::*;

/// Number of claims of which the outcome is kept; the earliest of them answers for older ones.
const KEPT_CLAIMS: usize = 64;

/// The claims of one process, the latest last.
#[derive(Debug)]
pub(super) struct ClaimHistory {
    incarnation: u64,
    started_at: Millis,
    claims: VecDeque<ClaimRecord>,
    last: ClaimNumber,
    /// Highest fencing token of a successor that has asked for the end of a term.
    successor: u64,
}

#[derive(Debug)]
struct ClaimRecord {
    number: ClaimNumber,
    claimed_at: Millis,
    state: ClaimState,
}

#[derive(Debug)]
enum ClaimState {
    /// The claim may still become a term.
    Open,
    /// The claim became a term, which goes on.
    Leading {
        fence: u64,
        term_ended: CancellationToken,
    },
    /// The claim became a term, which ended then.
    Ended(Millis),
    /// The claim never became a term and never will.
    Withdrawn,
}

impl ClaimHistory {
    /// Creates the history of a process that starts now.
    pub fn new(incarnation: u64, now: Millis) -> Self {
        Self {
            incarnation,
            started_at: now,
            claims: VecDeque::new(),
            last: ClaimNumber::default(),
            successor: 0,
        }
    }

    /// Records a claim before it is written. Earlier claims can no longer become terms.
    pub fn open(&mut self, now: Millis) -> ClaimNumber {
        for claim in &mut self.claims {
            claim.withdraw();
        }
        self.last = self.last.saturating_add(ClaimNumber(1));
        self.claims.push_back(ClaimRecord {
            number: self.last,
            claimed_at: now,
            state: ClaimState::Open,
        });
        if self.claims.len() > KEPT_CLAIMS {
            self.claims.pop_front();
        }
        self.last
    }

    /// Records that a claim becomes a term; returns whether it may. It may not after a successor
    /// was told that it never will, or that all earlier terms have ended.
    #[must_use]
    pub fn begin(
        &mut self,
        number: ClaimNumber,
        fence: u64,
        term_ended: CancellationToken,
    ) -> bool {
        let is_superseded = self.successor > fence;
        let Some(claim) = self.find(number) else {
            return false;
        };
        if is_superseded || !matches!(claim.state, ClaimState::Open) {
            claim.withdraw();
            return false;
        }
        claim.state = ClaimState::Leading { fence, term_ended };
        true
    }

    /// Records that the term of a claim has ended: no call of it is made any more.
    pub fn end(&mut self, number: ClaimNumber, now: Millis) {
        if let Some(claim) = self.find(number) {
            claim.state = ClaimState::Ended(now);
        }
    }

    /// Records that a claim that has not become a term never will.
    pub fn withdraw(&mut self, number: ClaimNumber) {
        if let Some(claim) = self.find(number) {
            claim.withdraw();
        }
    }

    /// Answers the holder of `fence`, which asks for the end of a claim of the process with this
    /// incarnation. A term under a lower fencing token is cancelled, and an open claim withdrawn.
    /// Returns `None` if a later term of this process goes on.
    pub fn end_for_successor(
        &mut self,
        incarnation: u64,
        number: ClaimNumber,
        fence: u64,
        now: Millis,
    ) -> Option<TermEnd> {
        for claim in &self.claims {
            match &claim.state {
                ClaimState::Leading { fence: own, .. } if *own > fence => return None,
                ClaimState::Leading {
                    fence: own,
                    term_ended,
                } if *own < fence && !term_ended.is_cancelled() => {
                    tracing::warn!(
                        fence = own,
                        successor = fence,
                        "another process has taken over; leadership ends"
                    );
                    term_ended.cancel();
                }
                _ => {}
            }
        }
        self.successor = self.successor.max(fence);
        if incarnation != self.incarnation {
            let started_ago = now.since(self.started_at);
            return Some(TermEnd::LaterProcess { started_ago });
        }
        // The term of a claim that is not kept ended before the earliest claim that is.
        let earliest = self.claims.front();
        let not_kept = earliest
            .filter(|claim| number < claim.number)
            .map_or(Millis::ZERO, |claim| now.since(claim.claimed_at));
        let Some(claim) = self.find(number) else {
            return Some(TermEnd::Ended { ago: not_kept });
        };
        claim.withdraw();
        Some(match &claim.state {
            ClaimState::Leading { .. } => TermEnd::Ended { ago: Millis::ZERO },
            ClaimState::Ended(at) => TermEnd::Ended {
                ago: now.since(*at),
            },
            ClaimState::Open | ClaimState::Withdrawn => TermEnd::NeverBegan {
                claimed_ago: now.since(claim.claimed_at),
            },
        })
    }

    fn find(&mut self, number: ClaimNumber) -> Option<&mut ClaimRecord> {
        self.claims.iter_mut().find(|claim| claim.number == number)
    }
}

impl ClaimRecord {
    fn withdraw(&mut self) {
        if matches!(self.state, ClaimState::Open) {
            self.state = ClaimState::Withdrawn;
        }
    }
}
