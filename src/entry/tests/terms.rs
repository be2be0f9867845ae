//! Until when the leases of former leaders run, by their answers.

use super::{leader_info, timing};
use crate::entry::TermEnd;
use crate::entry::claim_history::ClaimHistory;
use crate::entry::former_terms::FormerTerms;
use crate::entry::shared::LeaderInfo;
use crate::entry::stored_terms::{StoredTerm, StoredTerms, Terms};
use crate::prelude::*;

/// Time of the takeover in these tests.
const TAKEOVER: Millis = Millis(100_000);

/// Longest lease of a run, with the drift of a worker's clock.
const LEASE: Millis = Millis(5945);

fn claim(process: u64, is_handed_over: bool) -> StoredTerm {
    StoredTerm {
        leader: leader_info(process, 7, ClaimNumber(1)),
        is_handed_over,
    }
}

/// Returns what a leader that takes over knows if these claims are stored.
fn taken_over(claims: &[StoredTerm]) -> FormerTerms {
    let terms = Terms {
        claims: claims.to_vec(),
        ..Terms::default()
    };
    let stored = StoredTerms { terms, revision: 3 };
    FormerTerms::new(stored, 4, TAKEOVER)
}

fn own() -> LeaderInfo {
    leader_info(9, 7, ClaimNumber(1))
}

/// Guards against two runs of a task: the answer of a claimer that never led, 40 s after the start
/// of its process, counted as the end of all former leases (review case 6).
#[test]
fn a_claim_that_never_became_a_term_says_nothing_of_other_leases() {
    let (handed_over, lost) = (claim(1, true), claim(2, false));
    let mut former = taken_over(&[handed_over.clone(), lost.clone()]);

    let end = TermEnd::NeverBegan {
        claimed_ago: Millis(1800),
    };
    former.record_end(&lost.leader, end, TAKEOVER + Millis(20));
    let before_answer = former.leases_end(&timing());
    let end = TermEnd::Ended { ago: Millis(2100) };
    former.record_end(&handed_over.leader, end, TAKEOVER + Millis(30));
    let after_answer = former.leases_end(&timing());

    // The claim was made after the hand-over, so it bounds it without an answer.
    assert_eq!(before_answer, TAKEOVER + Millis(20) + LEASE - Millis(1800));
    assert_eq!(after_answer, TAKEOVER + Millis(30) + LEASE - Millis(2100));
}

/// Guards against a hand-over that is forgotten over several claims, and against one wait for each
/// of them.
#[test]
fn a_hand_over_is_known_over_several_lost_claims() {
    let claims = [claim(1, true), claim(2, false), claim(3, false)];
    let mut former = taken_over(&claims);

    for (lost, ago) in [(&claims[2], 1700), (&claims[1], 3500)] {
        let end = TermEnd::NeverBegan {
            claimed_ago: Millis(ago),
        };
        former.record_end(&lost.leader, end, TAKEOVER);
    }

    assert_eq!(
        former.leases_end(&timing()),
        TAKEOVER + LEASE - Millis(3500)
    );
}

/// Guards against a shorter wait than the longest while a leader that has not handed over does not
/// answer, whatever others answer.
#[test]
fn a_leader_that_does_not_answer_counts_as_renewing() {
    let claims = [claim(1, false), claim(2, false)];
    let mut former = taken_over(&claims);

    let end = TermEnd::Ended { ago: Millis(5000) };
    former.record_end(&claims[1].leader, end, TAKEOVER);

    assert_eq!(
        former.leases_end(&timing()),
        TAKEOVER + timing().former_leases
    );
    assert_eq!(former.end_wait(&timing(), TAKEOVER + Millis(8000)), []);
    let after = TAKEOVER + timing().former_leases + Millis(1);
    assert_eq!(
        former.end_wait(&timing(), after),
        [claims[0].leader.clone()]
    );
    assert!(former.is_complete());
}

/// Guards against the longest wait after a restart of the process that claimed.
#[test]
fn a_later_process_bounds_what_the_one_before_it_granted() {
    let claims = [claim(1, true), claim(2, false)];
    let mut former = taken_over(&claims);

    let end = TermEnd::LaterProcess {
        started_ago: Millis(400),
    };
    former.record_end(&claims[1].leader, end, TAKEOVER);

    assert_eq!(former.leases_end(&timing()), TAKEOVER + LEASE - Millis(400));
}

/// Guards against terms that cannot be read and are forgotten by the next claim, although an unknown
/// leader may still renew leases.
#[test]
fn unknown_terms_stay_unknown_over_a_lost_claim() {
    let lost = claim(2, false);
    let unknown = Terms {
        unnamed_expire_in: timing().former_leases,
        ..Terms::default()
    };
    let stored = StoredTerms {
        terms: unknown,
        revision: 0,
    };
    let terms = stored.followed_by(lost.leader.clone());
    let mut former = FormerTerms::new(StoredTerms { terms, revision: 1 }, 2, TAKEOVER);

    let end = TermEnd::NeverBegan {
        claimed_ago: Millis(1700),
    };
    former.record_end(&lost.leader, end, TAKEOVER);

    assert_eq!(
        former.leases_end(&timing()),
        TAKEOVER + timing().former_leases
    );
    let later = TAKEOVER + Millis(3000);
    let stored = former.after(&own(), Vec::new(), later);
    assert_eq!(
        stored.unnamed_expire_in,
        timing().former_leases - Millis(3000)
    );
}

/// Guards against terms that grow with each change of the leader, and against a leader that is left
/// out although its leases may run.
#[test]
fn stored_terms_name_who_may_still_renew() {
    let claims = [claim(1, true), claim(2, false), claim(3, false)];
    let mut former = taken_over(&claims);
    let end = TermEnd::Ended { ago: Millis(10) };

    former.record_end(&claims[1].leader, end, TAKEOVER);
    let during = former.during(&own(), Vec::new(), TAKEOVER);
    let after = former.after(&own(), Vec::new(), TAKEOVER);
    let is_outdated = former.is_outdated(TAKEOVER);
    former.on_stored(&during, 5);

    let own = |is_handed_over| StoredTerm {
        leader: own(),
        is_handed_over,
    };
    assert_eq!(during.claims, [claims[2].clone(), own(false)]);
    assert_eq!(after.claims, [claims[2].clone(), own(true)]);
    assert!(is_outdated && !former.is_outdated(TAKEOVER));
}

/// Guards against a process that begins a term after it has told a successor that the claim never
/// became one, or with a fencing token below one that it has heard of.
#[test]
fn a_claim_is_not_taken_up_after_a_successor_has_asked() {
    let mut claims = ClaimHistory::new(7, Millis(0));
    let asked = claims.open(Millis(1000));
    let answer = claims.end_for_successor(7, asked, 20, Millis(3000));

    let has_begun = claims.begin(asked, 10, CancellationToken::new());
    let other = claims.open(Millis(3100));
    let has_begun_late = claims.begin(other, 15, CancellationToken::new());
    let next = claims.open(Millis(3200));
    let has_begun_next = claims.begin(next, 25, CancellationToken::new());

    let never_began = TermEnd::NeverBegan {
        claimed_ago: Millis(2000),
    };
    assert_eq!(answer, Some(never_began));
    assert_eq!(
        (has_begun, has_begun_late, has_begun_next),
        (false, false, true)
    );
}

/// Guards against answers about one claim that are taken from another, from the start of the
/// process, or from a process that was there before.
#[test]
fn each_claim_has_an_answer_of_its_own() {
    let mut claims = ClaimHistory::new(7, Millis(0));
    let first = claims.open(Millis(1000));
    let first_ended = CancellationToken::new();
    assert!(claims.begin(first, 10, first_ended.clone()));
    claims.end(first, Millis(5000));
    let second = claims.open(Millis(6000));
    let third = claims.open(Millis(7000));
    let third_ended = CancellationToken::new();
    assert!(claims.begin(third, 30, third_ended.clone()));

    let mut ask = |incarnation, number, fence| {
        claims.end_for_successor(incarnation, number, fence, Millis(9000))
    };
    let to_a_former_leader = ask(7, first, 20);
    let answers = [ask(7, first, 40), ask(7, second, 40), ask(6, first, 40)];
    let is_cancelled_by_successor = third_ended.is_cancelled();

    assert_eq!(to_a_former_leader, None);
    assert_eq!(
        answers,
        [
            Some(TermEnd::Ended { ago: Millis(4000) }),
            Some(TermEnd::NeverBegan {
                claimed_ago: Millis(3000)
            }),
            Some(TermEnd::LaterProcess {
                started_ago: Millis(9000)
            }),
        ]
    );
    assert!(is_cancelled_by_successor);
}

/// Guards against an answer about a claim that is no longer kept which is too early, or says that it
/// never became a term.
#[test]
fn a_claim_that_is_not_kept_ended_before_those_that_are() {
    let mut claims = ClaimHistory::new(7, Millis(0));
    let first = claims.open(Millis(1000));
    for at in 0..200 {
        claims.open(Millis(2000 + at * 10));
    }

    let answer = claims.end_for_successor(7, first, 20, Millis(5000));

    let Some(TermEnd::Ended { ago }) = answer else {
        panic!("{answer:?}");
    };
    assert!((Millis(1000)..Millis(3000)).contains(&ago), "{ago}");
}
