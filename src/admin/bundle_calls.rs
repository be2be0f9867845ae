//! Calls for bundles.

use http::Method;

use super::AdminAnswer;
use super::answer::no_such_call;
use super::request::{Request, parse};
use crate::bundle::BundleDesk;
use crate::prelude::*;
use crate::schema::config::{DiffView, RollBackRequest};

/// Versions of a page of the history, if the caller sets no limit.
const DEFAULT_HISTORY: usize = 20;

pub(super) async fn call(desk: &BundleDesk, who: &OperatorId, req: &Request<'_>) -> AdminAnswer {
    match (req.method, &req.path[1..]) {
        (&Method::GET, []) => desk.current().await.into(),
        (&Method::GET, ["versions"]) => history(desk, req).await.into(),
        (&Method::GET, ["versions", version]) => match parse("version", version) {
            Ok(version) => desk.version(version).await.into(),
            Err(err) => failure(err),
        },
        (&Method::GET, ["versions", version, "diff"]) => {
            diff_versions(desk, version, req).await.into()
        }
        (&Method::GET, ["proposals"]) => desk.proposals().await.into(),
        (&Method::POST, ["proposals"]) => match req.json() {
            Ok(body) => desk.propose(who, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["roll-back"]) => match req.json::<RollBackRequest>() {
            Ok(body) => desk.roll_back(who, body.to).await.into(),
            Err(err) => failure(err),
        },
        (_, ["proposals", id, rest @ ..]) => match parse("proposal", id) {
            Ok(id) => on_proposal(desk, who, req, &id, rest).await,
            Err(err) => failure(err),
        },
        _ => no_such_call(),
    }
}

async fn on_proposal(
    desk: &BundleDesk,
    who: &OperatorId,
    req: &Request<'_>,
    id: &ProposalId,
    rest: &[&str],
) -> AdminAnswer {
    match (req.method, rest) {
        (&Method::GET, []) => desk.proposal(id).await.into(),
        (&Method::GET, ["diff"]) => desk.diff(id).await.into(),
        (&Method::POST, ["review"]) => match req.json() {
            Ok(body) => desk.review(who, id, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["sign-off"]) => match req.json() {
            Ok(body) => desk.sign_off(who, id, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["roll-out"]) => desk.roll_out(who, id).await.into(),
        _ => no_such_call(),
    }
}

async fn history(
    desk: &BundleDesk,
    req: &Request<'_>,
) -> Result<Vec<crate::schema::config::HistoryEntry>, BundleError> {
    let limit = req.param("limit")?.unwrap_or(DEFAULT_HISTORY);
    desk.history(req.param("from")?, limit).await
}

async fn diff_versions(
    desk: &BundleDesk,
    version: &str,
    req: &Request<'_>,
) -> Result<DiffView, BundleError> {
    let to: Version = parse("version", version)?;
    let before = Version(to.get().saturating_sub(1));
    let from = req.param("from")?.unwrap_or(before);
    desk.diff_versions(from, to).await
}

fn failure(err: BundleError) -> AdminAnswer {
    Err::<(), _>(err).into()
}
