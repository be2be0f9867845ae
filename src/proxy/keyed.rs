//! Handling of keyed requests, which may run only once.
//!
//! The key is recorded at two members, its home and its backup, before the request is sent.

use http::StatusCode;

use super::call::Call;
use super::dispatch::unknown_outcome_reply;
use super::key_store::{Claim, Handover};
use super::metrics::RequestOutcome;
use super::relay::{RecordCompletion, ResponseSink, relay_response};
use super::reply::Reply;
use super::request_task::{
    Forwarded, fail, forward, forwarded_end, handle_request as handle_plain_request,
};
use super::shared::Shared;
use crate::dedup::{Completion, CoverageStatus, RecordResult, Repeat};
use crate::prelude::*;
use crate::schema::dedup::{
    MergeKeys, MergeKeysReply, RecordKey, RecordKeyReply, RecordKeyVerdict,
};
use crate::web::Caller;

/// Path of messages that record a key at its backup.
pub(super) const RECORD_PATH: &str = "/peer/keys/record";

/// Path of handover messages.
pub(super) const MERGE_PATH: &str = "/peer/keys/merge";

/// Timeout of recording a key at its backup.
const BACKUP_TIMEOUT: Millis = Millis(500);

/// Timeout of a handover message.
const MERGE_TIMEOUT: Millis = Millis::from_secs(2);

/// Interval between attempts at a handover.
const HANDOVER_RETRY_INTERVAL: Millis = Millis(200);

/// Maximum number of attempts to notify a holder of the completion of a request.
const COMPLETION_ATTEMPTS: usize = 3;

/// Maximum size of a response body that is kept for repeats.
const MAX_CAPTURE_BYTES: usize = 64 << 10;

/// Retry hint while the holders of a key are changing.
const HOLDERS_CHANGING_RETRY_AFTER: Millis = Millis(200);

/// Handles a keyed request at the home of its key, or forwards it there.
pub(super) async fn handle_keyed_request(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    sink: &mut ResponseSink,
) -> RequestOutcome {
    let view = shared.keys.view();
    let (Some(key), Some(view)) = (call.head.scoped_key(), view) else {
        return fail(Reply::bad_request("missing header idempotency-key"), sink);
    };
    let holders = view.holders(&key);
    if view.epoch() != shared.ownership.epoch() || holders.is_empty() {
        return fail(holders_changing_reply(), sink);
    }
    if holders[0] != shared.member {
        if call.head.forwarded {
            return fail(holders_changing_reply(), sink);
        }
        return forward_to_home(shared, call, &holders[0], sink).await;
    }
    if !shared.ownership.is_active() {
        return fail(Reply::unavailable("member-not-active"), sink);
    }
    let backup = holders.get(1);
    if backup.is_none() && view.members().len() > 1 {
        return fail(Reply::unavailable("no-backup-for-key"), sink);
    }
    let now = shared.clock.now();
    let name = call.head.request_name();
    let (attempt, message) = match shared.keys.claim(&key, &name, view.epoch(), now) {
        Claim::New { attempt, message } => (attempt, message),
        Claim::Existing(existing) => return fail(existing_key_reply(&existing), sink),
        Claim::Uncovered(status) => return fail(coverage_reply(status, now), sink),
    };
    if let Some(backup) = backup
        && let Err(reply) = record_at_backup(shared, backup, &message).await
    {
        let now = shared.clock.now();
        shared.keys.complete(&key, &attempt, Completion::NotRun);
        let reply = match reply {
            BackupError::Conflict(record) => {
                let repeat = shared.keys.merge_conflict(&record, now);
                repeat.map_or_else(holders_changing_reply, |repeat| repeat_reply(&repeat))
            }
            BackupError::Failed(reason) => Reply::unavailable(reason),
        };
        return fail(reply, sink);
    }
    sink.capture = Some(MAX_CAPTURE_BYTES);
    sink.record = Some(completion_recorder(shared, &key, attempt));
    let end = handle_plain_request(shared, call, false, sink).await;
    // A request that ended without a recorded completion may have run.
    sink.record(Completion::Unknown);
    if let Some(record) = shared.keys.export(&key, shared.clock.now()) {
        let message = MergeKeys {
            from: shared.member.clone(),
            epoch: view.epoch(),
            records: vec![record],
            last: false,
            settled: false,
            lost: 0,
        };
        notify_holders(shared, holders, message).await;
    }
    end
}

/// Returns a callback that records the completion of an attempt at this process.
fn completion_recorder(shared: &Arc<Shared>, key: &str, attempt: WriterToken) -> RecordCompletion {
    let (shared, key) = (shared.clone(), key.to_string());
    Box::new(move |completion| shared.keys.complete(&key, &attempt, completion))
}

enum BackupError {
    Conflict(Box<crate::schema::dedup::KeyRecord>),
    Failed(&'static str),
}

async fn record_at_backup(
    shared: &Shared,
    backup: &MemberId,
    message: &RecordKey,
) -> Result<(), BackupError> {
    let addr = shared.ownership.peer_addr(backup);
    let addr = addr.ok_or(BackupError::Failed("backup-of-key-unreachable"))?;
    let reply: RecordKeyReply = shared
        .caller
        .exchange(&addr, RECORD_PATH, message, BACKUP_TIMEOUT)
        .await
        .map_err(|err| {
            tracing::debug!(%backup, %err, "backup did not record a key");
            BackupError::Failed("backup-of-key-unreachable")
        })?;
    match (reply.verdict, reply.record) {
        (RecordKeyVerdict::Recorded, _) => Ok(()),
        (RecordKeyVerdict::Conflict, Some(record)) => Err(BackupError::Conflict(Box::new(record))),
        _ => Err(BackupError::Failed("backup-of-key-refused")),
    }
}

async fn forward_to_home(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    home: &MemberId,
    sink: &mut ResponseSink,
) -> RequestOutcome {
    match forward(shared, call, home, false).await {
        Forwarded::Answered(response) => {
            forwarded_end(relay_response(shared, call, *response, None, sink).await)
        }
        Forwarded::NotRun(Some(response)) => {
            relay_response(shared, call, *response, None, sink).await;
            RequestOutcome::NotRun
        }
        Forwarded::NotRun(None) => fail(Reply::unavailable("home-of-key-unreachable"), sink),
        Forwarded::InDoubt => fail(unknown_outcome_reply(shared, call), sink),
    }
}

/// Notifies the holders in the recording epoch and in the current one of a completion.
async fn notify_holders(shared: &Arc<Shared>, mut holders: Vec<MemberId>, message: MergeKeys) {
    let view = shared.keys.view();
    for record in &message.records {
        let current = view.iter().flat_map(|view| view.holders(&record.key));
        holders.extend(current);
    }
    holders.sort();
    holders.dedup();
    holders.retain(|holder| *holder != shared.member);
    for holder in holders {
        for _ in 0..COMPLETION_ATTEMPTS {
            if merge_at_holder(shared, &holder, &message).await {
                break;
            }
        }
    }
}

/// Sends handovers until every member has received its own or a newer view replaces this one.
pub(super) async fn send_handovers(shared: Arc<Shared>, epoch: Epoch, messages: Vec<Handover>) {
    let mut pending = messages;
    while !pending.is_empty() {
        let current = shared.keys.view().map(|view| view.epoch());
        if current != Some(epoch) {
            return;
        }
        let mut failed = Vec::new();
        for handover in pending {
            let Handover { to, message } = &handover;
            // The last message to a member follows only when all others to it have arrived.
            let blocked = failed.iter().any(|held: &Handover| held.to == *to);
            if blocked || !merge_at_holder(&shared, to, message).await {
                failed.push(handover);
            }
        }
        pending = failed;
        if !pending.is_empty() {
            tokio::time::sleep(HANDOVER_RETRY_INTERVAL.into()).await;
        }
    }
}

async fn merge_at_holder(shared: &Shared, member: &MemberId, message: &MergeKeys) -> bool {
    let Some(addr) = shared.ownership.peer_addr(member) else {
        return false;
    };
    let caller: &Caller = &shared.caller;
    let reply: Result<MergeKeysReply, CallError> = caller
        .exchange(&addr, MERGE_PATH, message, MERGE_TIMEOUT)
        .await;
    reply.is_ok()
}

fn existing_key_reply(existing: &RecordResult) -> Reply {
    match existing {
        RecordResult::Repeat(repeat) => repeat_reply(repeat),
        _ => Reply::unavailable("key-table-full"),
    }
}

fn repeat_reply(repeat: &Repeat) -> Reply {
    match repeat {
        Repeat::Answered(stored) => Reply::recorded(stored),
        Repeat::Unknown => Reply::unknown(StatusCode::BAD_GATEWAY, "first-request-not-answered"),
        Repeat::OtherRequest => Reply::invalid(
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency-key belongs to another request",
        ),
    }
}

fn coverage_reply(status: CoverageStatus, now: Millis) -> Reply {
    match status {
        CoverageStatus::Lost { until } => Reply::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "earlier-uses-of-key-unknown",
            until.since(now),
        ),
        _ => holders_changing_reply(),
    }
}

fn holders_changing_reply() -> Reply {
    Reply::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "holders-of-key-changing",
        HOLDERS_CHANGING_RETRY_AFTER,
    )
}
