//! The way of one request from its arrival to its answer, on the main runtime.

use http::StatusCode;
use tokio::sync::{Notify, oneshot};

use super::attempt::{Attempt, Won, WonBody};
use super::call::Call;
use super::head::{FORWARDED, Face, KEY_RECORDED};
use super::metrics::RequestOutcome;
use super::peer_load::take_load;
use super::relay::{Outlet, pass_on, relay};
use super::reply::{OUTCOME, Reply};
use super::settle::{Settled, lost, p99, patience, settle, silent_after};
use super::shared::Shared;
use crate::dedup::Completion;
use crate::prelude::*;

/// What a peer made of a forwarded request.
pub(super) enum Forwarded {
    /// The peer's answer.
    Answered(Box<Won>),
    /// The peer did not run the request, or it was never sent.
    NotRun(Option<Box<Won>>),
    /// The answer was lost.
    Lost,
}

/// Answers a request and counts its end.
pub(super) async fn drive(shared: Arc<Shared>, call: Arc<Call>, tx: oneshot::Sender<Reply>) {
    let mut outlet = Outlet {
        tx: Some(tx),
        capture: None,
        record: None,
    };
    let end = if call.head.key.is_some() && !call.head.key_recorded {
        super::keyed::answer(&shared, &call, &mut outlet).await
    } else {
        let forwarded = call.head.forwarded;
        answer(&shared, &call, forwarded, &mut outlet).await
    };
    let latency = shared.clock.now().since(call.arrived);
    let (service, class) = (shared.service_label(&call), shared.class_label(&call));
    shared.metrics.count(&service, &class, end, latency);
}

/// Answers a request from an endpoint or a peer.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    mut forwarded: bool,
    outlet: &mut Outlet,
) -> RequestOutcome {
    let mut may_have_run = false;
    loop {
        let member = match settle(shared, call, forwarded, may_have_run).await {
            Settled::Won(victory) => return relay(shared, call, *victory, outlet).await,
            Settled::Reply(reply) => return fail(reply, outlet),
            Settled::Forward(member) => member,
        };
        let key_recorded = call.head.key.is_some();
        match forward(shared, call, &member, key_recorded).await {
            Forwarded::Answered(won) => {
                return forwarded_end(pass_on(shared, call, *won, None, outlet).await);
            }
            Forwarded::NotRun(_) if call.is_sendable() => {}
            Forwarded::NotRun(Some(won)) => {
                outlet.record(Completion::NotRun);
                pass_on(shared, call, *won, None, outlet).await;
                return RequestOutcome::NotRun;
            }
            Forwarded::NotRun(None) => return fail(Reply::unavailable("peer-failed"), outlet),
            Forwarded::Lost if call.is_repeatable() && shared.clock.now() < call.deadline => {
                may_have_run = true;
            }
            Forwarded::Lost => return fail(lost(shared, call), outlet),
        }
        forwarded = true;
        shared.metrics.retries.inc();
    }
}

/// Sends a request to a peer.
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
    let dead = CancellationToken::new();
    let attempt = Attempt {
        pool: shared.pools.peer(addr),
        clock: shared.clock,
        trust: call.trust(),
        deadline: call.deadline,
        dead: dead.clone(),
        silent_after: call
            .is_repeatable()
            .then(|| silent_after(p99(shared, &call.head.service))),
    };
    let prefix = format!("{}{}", Face::Peers.prefix(), call.head.service);
    let build = || {
        let marks = [(FORWARDED, true), (KEY_RECORDED, key_recorded)];
        let left = call.deadline.since(shared.clock.now());
        call.request(&prefix, &marks, left)
    };
    let suspect = Arc::new(Notify::new());
    let tell = suspect.clone();
    let run = attempt.run(build, move || tell.notify_one());
    let give_up = async {
        suspect.notified().await;
        let until = patience(shared.clock.now(), call.deadline);
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
            dead.cancel();
            run.await
        }
    };
    if let Ok(won) = &result {
        take_load(shared, &call.head.service, member, &won.head.headers);
    }
    match result {
        Ok(won) if says_not_run(&won) => Forwarded::NotRun(Some(Box::new(won))),
        Ok(won) => Forwarded::Answered(Box::new(won)),
        Err(outcome) if outcome.is_not_run() => Forwarded::NotRun(None),
        Err(_) => Forwarded::Lost,
    }
}

/// Sends a failure to the caller.
pub(super) fn fail(reply: Reply, outlet: &mut Outlet) -> RequestOutcome {
    let end = reply.end;
    outlet.record(match end {
        RequestOutcome::NotRun => Completion::NotRun,
        _ => Completion::Unknown,
    });
    outlet.reply(reply);
    end
}

/// Returns the reply to a request of which nothing is known any more.
pub(super) fn internal_error() -> Reply {
    Reply::unknown(StatusCode::BAD_GATEWAY, "internal-error")
}

pub(super) const fn forwarded_end(end: RequestOutcome) -> RequestOutcome {
    match end {
        RequestOutcome::Answered => RequestOutcome::Forwarded,
        other => other,
    }
}

fn says_not_run(won: &Won) -> bool {
    let outcome = won.head.headers.get(OUTCOME);
    matches!(won.body, WonBody::Whole(_))
        && outcome.is_some_and(|value| value == RequestOutcome::NotRun.as_str())
}
