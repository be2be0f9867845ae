//! Requests that may run only once: their key is recorded at two members before they are sent.

use http::StatusCode;

use super::call::Call;
use super::drive::{Forwarded, answer as answer_plain, fail, forward, forwarded_end};
use super::keys::{Claim, HandOver};
use super::metrics::RequestOutcome;
use super::relay::{Outlet, Record, pass_on};
use super::reply::Reply;
use super::settle::lost;
use super::shared::Shared;
use crate::dedup::{Completion, CoverageStatus, RecordResult, Repeat};
use crate::prelude::*;
use crate::schema::dedup::{
    MergeKeys, MergeKeysReply, RecordKey, RecordKeyReply, RecordKeyVerdict,
};
use crate::web::Caller;

/// Path of messages that record a key.
pub(super) const RECORD_PATH: &str = "/peer/keys/record";

/// Path of messages that hand records over.
pub(super) const MERGE_PATH: &str = "/peer/keys/merge";

/// Longest wait for the backup of a key.
const BACKUP_TIMEOUT: Millis = Millis(500);

/// Longest wait for the answer to a hand-over.
const MERGE_TIMEOUT: Millis = Millis::from_secs(2);

/// Interval between tries of a hand-over.
const MERGE_RETRY: Millis = Millis(200);

/// Tries to tell the other holders how a request ended.
const COMPLETION_TRIES: usize = 3;

/// Bytes of an answer that are kept for repeats.
const CAPTURE_BYTES: usize = 64 << 10;

/// Hint given while holders of a key are changing.
const RETRY_SOON: Millis = Millis(200);

/// Answers a keyed request, or sends it to the home of its key.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    outlet: &mut Outlet,
) -> RequestOutcome {
    let view = shared.keys.view();
    let (Some(key), Some(view)) = (call.head.scoped_key(), view) else {
        return fail(Reply::bad_request("missing header idempotency-key"), outlet);
    };
    let holders = view.holders(&key);
    if view.epoch() != shared.ownership.epoch() || holders.is_empty() {
        return fail(changing(), outlet);
    }
    if holders[0] != shared.member {
        if call.head.forwarded {
            return fail(changing(), outlet);
        }
        return send_home(shared, call, &holders[0], outlet).await;
    }
    if !shared.ownership.is_active() {
        return fail(Reply::unavailable("member-not-active"), outlet);
    }
    let backup = holders.get(1);
    if backup.is_none() && view.members().len() > 1 {
        return fail(Reply::unavailable("no-backup-for-key"), outlet);
    }
    let now = shared.clock.now();
    let name = call.head.request_name();
    let (attempt, message) = match shared.keys.claim(&key, &name, view.epoch(), now) {
        Claim::New { attempt, message } => (attempt, message),
        Claim::Known(known) => return fail(known_reply(&known), outlet),
        Claim::Uncovered(cover) => return fail(uncovered(cover, now), outlet),
    };
    if let Some(backup) = backup
        && let Err(reply) = record_at(shared, backup, &message).await
    {
        let now = shared.clock.now();
        shared.keys.complete(&key, &attempt, Completion::NotRun);
        let reply = match reply {
            BackupFault::Conflict(record) => {
                let repeat = shared.keys.learn(&record, now);
                repeat.map_or_else(changing, |repeat| repeat_reply(&repeat))
            }
            BackupFault::Failed(reason) => Reply::unavailable(reason),
        };
        return fail(reply, outlet);
    }
    outlet.capture = Some(CAPTURE_BYTES);
    outlet.record = Some(recorder(shared, &key, attempt));
    let end = answer_plain(shared, call, false, outlet).await;
    // A request that ended without a record may have run.
    outlet.record(Completion::Unknown);
    if let Some(record) = shared.keys.export(&key, shared.clock.now()) {
        let message = MergeKeys {
            from: shared.member.clone(),
            epoch: view.epoch(),
            records: vec![record],
            last: false,
            settled: false,
            lost: 0,
        };
        tell_holders(shared, holders, message).await;
    }
    end
}

/// Completes the record of a key at this process.
fn recorder(shared: &Arc<Shared>, key: &str, attempt: WriterToken) -> Record {
    let (shared, key) = (shared.clone(), key.to_string());
    Box::new(move |completion| shared.keys.complete(&key, &attempt, completion))
}

enum BackupFault {
    Conflict(Box<crate::schema::dedup::KeyRecord>),
    Failed(&'static str),
}

async fn record_at(
    shared: &Shared,
    backup: &MemberId,
    message: &RecordKey,
) -> Result<(), BackupFault> {
    let addr = shared.ownership.peer_addr(backup);
    let addr = addr.ok_or(BackupFault::Failed("backup-of-key-unreachable"))?;
    let reply: RecordKeyReply = shared
        .caller
        .exchange(&addr, RECORD_PATH, message, BACKUP_TIMEOUT)
        .await
        .map_err(|err| {
            tracing::debug!(%backup, %err, "backup did not record a key");
            BackupFault::Failed("backup-of-key-unreachable")
        })?;
    match (reply.verdict, reply.record) {
        (RecordKeyVerdict::Recorded, _) => Ok(()),
        (RecordKeyVerdict::Conflict, Some(record)) => Err(BackupFault::Conflict(Box::new(record))),
        _ => Err(BackupFault::Failed("backup-of-key-refused")),
    }
}

async fn send_home(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    home: &MemberId,
    outlet: &mut Outlet,
) -> RequestOutcome {
    match forward(shared, call, home, false).await {
        Forwarded::Answered(won) => forwarded_end(pass_on(shared, call, *won, None, outlet).await),
        Forwarded::NotRun(Some(won)) => {
            pass_on(shared, call, *won, None, outlet).await;
            RequestOutcome::NotRun
        }
        Forwarded::NotRun(None) => fail(Reply::unavailable("home-of-key-unreachable"), outlet),
        Forwarded::Lost => fail(lost(shared, call), outlet),
    }
}

/// Tells the holders of the recording epoch and of the current one how a request ended.
async fn tell_holders(shared: &Arc<Shared>, mut holders: Vec<MemberId>, message: MergeKeys) {
    let view = shared.keys.view();
    for record in &message.records {
        let current = view.iter().flat_map(|view| view.holders(&record.key));
        holders.extend(current);
    }
    holders.sort();
    holders.dedup();
    holders.retain(|holder| *holder != shared.member);
    for holder in holders {
        for _ in 0..COMPLETION_TRIES {
            if merge_at(shared, &holder, &message).await {
                break;
            }
        }
    }
}

/// Hands records over until every member has them or a newer view replaces this one.
pub(super) async fn hand_over(shared: Arc<Shared>, epoch: Epoch, messages: Vec<HandOver>) {
    let mut pending = messages;
    while !pending.is_empty() {
        let current = shared.keys.view().map(|view| view.epoch());
        if current != Some(epoch) {
            return;
        }
        let mut failed = Vec::new();
        for hand_over in pending {
            let HandOver { to, message } = &hand_over;
            // The last message follows only when all others have arrived.
            let blocked = failed.iter().any(|held: &HandOver| held.to == *to);
            if blocked || !merge_at(&shared, to, message).await {
                failed.push(hand_over);
            }
        }
        pending = failed;
        if !pending.is_empty() {
            tokio::time::sleep(MERGE_RETRY.into()).await;
        }
    }
}

async fn merge_at(shared: &Shared, member: &MemberId, message: &MergeKeys) -> bool {
    let Some(addr) = shared.ownership.peer_addr(member) else {
        return false;
    };
    let caller: &Caller = &shared.caller;
    let reply: Result<MergeKeysReply, CallError> = caller
        .exchange(&addr, MERGE_PATH, message, MERGE_TIMEOUT)
        .await;
    reply.is_ok()
}

fn known_reply(known: &RecordResult) -> Reply {
    match known {
        RecordResult::Repeat(repeat) => repeat_reply(repeat),
        _ => Reply::unavailable("key-table-full"),
    }
}

fn repeat_reply(repeat: &Repeat) -> Reply {
    match repeat {
        Repeat::Answered(answer) => Reply::recorded(answer),
        Repeat::Unknown => Reply::unknown(StatusCode::BAD_GATEWAY, "first-request-not-answered"),
        Repeat::OtherRequest => Reply::invalid(
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency-key belongs to another request",
        ),
    }
}

fn uncovered(cover: CoverageStatus, now: Millis) -> Reply {
    match cover {
        CoverageStatus::Lost { until } => Reply::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "earlier-uses-of-key-unknown",
            until.since(now),
        ),
        _ => changing(),
    }
}

fn changing() -> Reply {
    Reply::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "holders-of-key-changing",
        RETRY_SOON,
    )
}
