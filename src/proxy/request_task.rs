//! Task that handles one request on the main runtime, from its arrival to its response.

use http::StatusCode;
use tokio::sync::{Notify, oneshot};

use super::attempt::{Attempt, UpstreamBody, UpstreamResponse};
use super::call::Call;
use super::dispatch::{
    Dispatched, dispatch_request, give_up_time, p99, stall_timeout, unknown_outcome_reply,
};
use super::head::{FORWARDED, KEY_RECORDED, Listener};
use super::metrics::RequestOutcome;
use super::peer_load::record_load;
use super::relay::{ResponseSink, relay_response, relay_winner};
use super::reply::{OUTCOME, Reply};
use super::shared::Shared;
use crate::dedup::Completion;
use crate::prelude::*;

/// Result of forwarding a request to a peer.
pub(super) enum Forwarded {
    /// The peer responded.
    Answered(Box<UpstreamResponse>),
    /// The peer did not run the request, or it was never sent.
    NotRun(Option<Box<UpstreamResponse>>),
    /// The peer may have run the request, but its response was lost.
    InDoubt,
}

/// Handles a request and counts its outcome.
pub(super) async fn run_request(shared: Arc<Shared>, call: Arc<Call>, tx: oneshot::Sender<Reply>) {
    let mut sink = ResponseSink {
        tx: Some(tx),
        capture: None,
        record: None,
    };
    let end = if call.head.key.is_some() && !call.head.key_recorded {
        super::keyed::handle_keyed_request(&shared, &call, &mut sink).await
    } else {
        let forwarded = call.head.forwarded;
        handle_request(&shared, &call, forwarded, &mut sink).await
    };
    let latency = shared.clock.now().since(call.arrived);
    let (service, class) = (shared.service_label(&call), shared.class_label(&call));
    shared.metrics.count(&service, &class, end, latency);
}

/// Sends a request to an endpoint or a peer and relays the response to the caller.
pub(super) async fn handle_request(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    mut forwarded: bool,
    sink: &mut ResponseSink,
) -> RequestOutcome {
    let mut may_have_run = false;
    loop {
        let member = match dispatch_request(shared, call, forwarded, may_have_run).await {
            Dispatched::Response(winner) => return relay_winner(shared, call, *winner, sink).await,
            Dispatched::Reply(reply) => return fail(reply, sink),
            Dispatched::Forward(member) => member,
        };
        let key_recorded = call.head.key.is_some();
        match forward(shared, call, &member, key_recorded).await {
            Forwarded::Answered(response) => {
                return forwarded_end(relay_response(shared, call, *response, None, sink).await);
            }
            Forwarded::NotRun(_) if call.is_sendable() => {}
            Forwarded::NotRun(Some(response)) => {
                sink.record(Completion::NotRun);
                relay_response(shared, call, *response, None, sink).await;
                return RequestOutcome::NotRun;
            }
            Forwarded::NotRun(None) => return fail(Reply::unavailable("peer-failed"), sink),
            Forwarded::InDoubt if call.is_repeatable() && shared.clock.now() < call.deadline => {
                may_have_run = true;
            }
            Forwarded::InDoubt => return fail(unknown_outcome_reply(shared, call), sink),
        }
        forwarded = true;
        shared.metrics.retries.inc();
    }
}

/// Forwards a request to a peer.
pub(super) async fn forward(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    member: &MemberId,
    key_recorded: bool,
) -> Forwarded {
    let addr = shared.ownership.peer_addr(member);
    let Some(addr) = addr.and_then(|addr| addr.parse().ok()) else {
        return Forwarded::NotRun(None);
    };
    shared.metrics.forwards.inc();
    let cancellation = CancellationToken::new();
    let attempt = Attempt {
        pool: shared.pools.peer(addr),
        clock: shared.clock,
        reuse_policy: call.reuse_policy(),
        deadline: call.deadline,
        cancellation: cancellation.clone(),
        stall_timeout: call
            .is_repeatable()
            .then(|| stall_timeout(p99(shared, &call.head.service))),
    };
    let prefix = format!("{}{}", Listener::Peers.prefix(), call.head.service);
    let build = || {
        let flags = [(FORWARDED, true), (KEY_RECORDED, key_recorded)];
        let remaining = call.deadline.since(shared.clock.now());
        call.request(&prefix, &flags, remaining)
    };
    let suspect = Arc::new(Notify::new());
    let suspect_tx = suspect.clone();
    let run = attempt.run(build, move || suspect_tx.notify_one());
    let give_up = async {
        suspect.notified().await;
        let until = give_up_time(shared.clock.now(), call.deadline);
        shared.clock.sleep_until(until).await;
    };
    tokio::pin!(run);
    let result = tokio::select! {
        result = &mut run => Some(result),
        () = give_up => None,
        () = shared.clock.sleep_until(call.deadline) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            cancellation.cancel();
            run.await
        }
    };
    if let Ok(response) = &result {
        record_load(shared, &call.head.service, member, &response.head.headers);
    }
    match result {
        Ok(response) if states_not_run(&response) => Forwarded::NotRun(Some(Box::new(response))),
        Ok(response) => Forwarded::Answered(Box::new(response)),
        Err(outcome) if outcome.is_not_run() => Forwarded::NotRun(None),
        Err(_) => Forwarded::InDoubt,
    }
}

/// Sends a failure reply to the caller.
pub(super) fn fail(reply: Reply, sink: &mut ResponseSink) -> RequestOutcome {
    let end = reply.end;
    sink.record(match end {
        RequestOutcome::NotRun => Completion::NotRun,
        _ => Completion::Unknown,
    });
    sink.reply(reply);
    end
}

/// Returns the reply to a request whose task ended without a reply.
pub(super) fn internal_error() -> Reply {
    Reply::unknown(StatusCode::BAD_GATEWAY, "internal-error")
}

pub(super) const fn forwarded_end(end: RequestOutcome) -> RequestOutcome {
    match end {
        RequestOutcome::Answered => RequestOutcome::Forwarded,
        other => other,
    }
}

fn states_not_run(response: &UpstreamResponse) -> bool {
    let outcome = response.head.headers.get(OUTCOME);
    matches!(response.body, UpstreamBody::Buffered(_))
        && outcome.is_some_and(|value| value == RequestOutcome::NotRun.as_str())
}
