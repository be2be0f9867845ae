//! Dispatch of a request: attempts until it gets a response, is refused or fails.

use http::StatusCode;
use tokio::task::JoinHandle;

use super::attempt::UpstreamResponse;
use super::call::Call;
use super::reply::{RETRY_AFTER, Reply};
use super::request_router::RequestHandle;
use super::round::{Round, RoundResult};
use super::shared::Shared;
use crate::admission::Refusal;
use crate::prelude::*;
use crate::retry::may_retry;
use crate::routing::Verdict;

/// Minimum time without progress after which a connection is suspected to have stalled.
const MIN_STALL_TIMEOUT: Millis = Millis(250);

/// Multiple of the service's p99 latency after which a connection is suspected to have stalled.
const STALL_FACTOR: u64 = 4;

/// Divisor of the remaining time after which a stalled connection without a hedged attempt is
/// given up. Giving it up at once would fail every request of a service that has become slow.
const GIVE_UP_DIVISOR: u64 = 2;

/// Result of dispatching a request.
pub(super) enum Dispatched {
    /// An endpoint responded. The slot is held until the request handle is finished.
    Response(Box<EndpointResponse>),
    /// The request is to be forwarded to a peer.
    Forward(MemberId),
    /// There is no response from an endpoint, only this reply.
    Reply(Reply),
}

/// Response of an endpoint, with what its request holds until it completes.
pub(super) struct EndpointResponse {
    pub(super) response: Box<UpstreamResponse>,
    pub(super) version: Version,
    pub(super) handle: RequestHandle,
    /// Task that ends once all other attempts have ended. Their slots are held until then.
    pub(super) other_attempts: JoinHandle<()>,
}

/// Submits the request to the dispatcher and carries out its decisions.
pub(super) async fn dispatch_request(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    forwarded: bool,
    mut may_have_run: bool,
) -> Dispatched {
    let request = call.incoming_request(forwarded, shared.clock.now());
    let decided = tokio::select! {
        decided = shared.router.submit(request) => Some(decided),
        () = shared.clock.sleep_until(call.deadline) => None,
    };
    let Some((handle, mut verdict)) = decided else {
        return Dispatched::Reply(refusal_reply(
            Refusal::WaitedTooLong,
            RETRY_AFTER,
            may_have_run,
        ));
    };
    let mut first = true;
    loop {
        let pick = match verdict {
            Verdict::Send(pick) => pick,
            Verdict::Forward(member) => {
                handle.disarm();
                return Dispatched::Forward(member);
            }
            Verdict::Refuse {
                reason,
                retry_after,
            } => {
                handle.disarm();
                return Dispatched::Reply(refusal_reply(reason, retry_after, may_have_run));
            }
            Verdict::Wait | Verdict::Unknown => {
                handle.disarm();
                return Dispatched::Reply(unknown_outcome_reply(shared, call));
            }
        };
        let outcome = match Round::new(shared, call, &handle, first).run(pick).await {
            RoundResult::Response(response, version, other_attempts) => {
                return Dispatched::Response(Box::new(EndpointResponse {
                    response,
                    version,
                    handle,
                    other_attempts,
                }));
            }
            RoundResult::Failed(outcome) => outcome,
        };
        first = false;
        may_have_run |= !outcome.is_not_run();
        let in_time = shared.clock.now() < call.deadline;
        if !in_time || !may_retry(outcome, call.head.idempotent) || !call.is_sendable() {
            handle.finish(outcome);
            return Dispatched::Reply(if may_have_run {
                unknown_outcome_reply(shared, call)
            } else {
                Reply::unavailable("endpoint-refused")
            });
        }
        verdict = handle.retry(outcome).await;
        if matches!(verdict, Verdict::Send(_)) {
            shared.metrics.retries.inc();
        }
    }
}

fn refusal_reply(reason: Refusal, retry_after: Millis, may_have_run: bool) -> Reply {
    if may_have_run {
        Reply::unknown(StatusCode::BAD_GATEWAY, "answer-lost")
    } else {
        Reply::refused(reason, retry_after)
    }
}

pub(super) fn unknown_outcome_reply(shared: &Shared, call: &Call) -> Reply {
    if shared.clock.now() >= call.deadline {
        Reply::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline-passed")
    } else {
        Reply::unknown(StatusCode::BAD_GATEWAY, "answer-lost")
    }
}

/// Returns the 99th percentile of a service's latency; zero if it is not known.
pub(super) fn p99(shared: &Shared, service: &ServiceId) -> Millis {
    shared
        .router
        .read(|dispatcher| dispatcher.load(service).p99)
}

/// Returns the time without progress after which a connection is suspected to have stalled.
pub(super) fn stall_timeout(p99: Millis) -> Millis {
    Millis(p99.get() * STALL_FACTOR).max(MIN_STALL_TIMEOUT)
}

/// Returns the time at which a request on a stalled connection is given up.
pub(super) fn give_up_time(now: Millis, deadline: Millis) -> Millis {
    now + Millis(deadline.since(now).get() / GIVE_UP_DIVISOR)
}
