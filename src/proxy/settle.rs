//! Attempts at a request until it is answered, refused or given up.

use http::StatusCode;
use tokio::task::JoinHandle;

use super::attempt::Won;
use super::board::Ticket;
use super::call::Call;
use super::reply::{RETRY_AFTER, Reply};
use super::round::{Round, Step};
use super::shared::Shared;
use crate::admission::Refusal;
use crate::prelude::*;
use crate::retry::may_retry;
use crate::routing::Verdict;

/// Shortest time without progress that makes a connection suspect.
const MIN_SILENCE: Millis = Millis(250);

/// Multiple of the service's p99 latency that makes a connection suspect.
const SILENCE_FACTOR: u64 = 4;

/// A silent connection without a hedged replacement is given up after this share of the time
/// left. Giving it up at once would fail every request of a service that has become slow.
const PATIENCE_DIVISOR: u64 = 2;

/// How the attempts at a request ended.
pub(super) enum Settled {
    /// An endpoint answered; the slot is held until the ticket is finished.
    Won(Box<Victory>),
    /// A peer shall answer.
    Forward(MemberId),
    /// There is no answer.
    Reply(Reply),
}

/// An answer and what is left to do for its request.
pub(super) struct Victory {
    pub(super) won: Box<Won>,
    pub(super) version: Version,
    pub(super) ticket: Ticket,
    /// Ends once all other attempts have ended; their slots are held until then.
    pub(super) others: JoinHandle<()>,
}

/// Asks the dispatcher where to send the request and follows its decisions.
pub(super) async fn settle(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    forwarded: bool,
    mut may_have_run: bool,
) -> Settled {
    let arrival = call.arrival(forwarded, shared.clock.now());
    let decided = tokio::select! {
        decided = shared.board.arrive(arrival) => Some(decided),
        () = shared.clock.sleep_until(call.deadline) => None,
    };
    let Some((ticket, mut verdict)) = decided else {
        return Settled::Reply(refused(Refusal::WaitedTooLong, RETRY_AFTER, may_have_run));
    };
    let mut first = true;
    loop {
        let pick = match verdict {
            Verdict::Send(pick) => pick,
            Verdict::Forward(member) => {
                ticket.forget();
                return Settled::Forward(member);
            }
            Verdict::Refuse {
                reason,
                retry_after,
            } => {
                ticket.forget();
                return Settled::Reply(refused(reason, retry_after, may_have_run));
            }
            Verdict::Wait | Verdict::Unknown => {
                ticket.forget();
                return Settled::Reply(lost(shared, call));
            }
        };
        let outcome = match Round::new(shared, call, &ticket, first).run(pick).await {
            Step::Won(won, version, others) => {
                return Settled::Won(Box::new(Victory {
                    won,
                    version,
                    ticket,
                    others,
                }));
            }
            Step::Ended(outcome) => outcome,
        };
        first = false;
        may_have_run |= !outcome.is_not_run();
        let in_time = shared.clock.now() < call.deadline;
        if !in_time || !may_retry(outcome, call.head.idempotent) || !call.is_sendable() {
            ticket.finish(outcome);
            return Settled::Reply(if may_have_run {
                lost(shared, call)
            } else {
                Reply::unavailable("endpoint-refused")
            });
        }
        verdict = ticket.resend(outcome).await;
        if matches!(verdict, Verdict::Send(_)) {
            shared.metrics.retries.inc();
        }
    }
}

fn refused(reason: Refusal, retry_after: Millis, may_have_run: bool) -> Reply {
    if may_have_run {
        Reply::unknown(StatusCode::BAD_GATEWAY, "answer-lost")
    } else {
        Reply::refused(reason, retry_after)
    }
}

pub(super) fn lost(shared: &Shared, call: &Call) -> Reply {
    if shared.clock.now() >= call.deadline {
        Reply::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline-passed")
    } else {
        Reply::unknown(StatusCode::BAD_GATEWAY, "answer-lost")
    }
}

/// Returns the 99th percentile of a service's latency; zero if it is not known.
pub(super) fn p99(shared: &Shared, service: &ServiceId) -> Millis {
    shared.board.read(|dispatcher| dispatcher.load(service).p99)
}

/// Returns the time without progress that makes a connection suspect.
pub(super) fn silent_after(p99: Millis) -> Millis {
    Millis(p99.get() * SILENCE_FACTOR).max(MIN_SILENCE)
}

/// Returns the time at which a request on a silent connection is given up.
pub(super) fn patience(now: Millis, deadline: Millis) -> Millis {
    now + Millis(deadline.since(now).get() / PATIENCE_DIVISOR)
}
