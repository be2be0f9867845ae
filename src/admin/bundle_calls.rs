//! Calls that show, propose, review, sign off and roll out bundles.

use http::Method;

use super::AdminAnswer;
use super::answer::no_such_call;
use super::request::{Request, parse};
use crate::bundle::BundleManager;
use crate::prelude::*;
use crate::schema::config::{DiffView, RollBackRequest};

/// Number of versions in a page of the history if the request sets no limit.
const DEFAULT_HISTORY: usize = 20;

pub(super) async fn call(
    manager: &BundleManager,
    who: &OperatorId,
    req: &Request<'_>,
) -> AdminAnswer {
    match (req.method, &req.path[1..]) {
        (&Method::GET, []) => manager.current().await.into(),
        (&Method::GET, ["versions"]) => history(manager, req).await.into(),
        (&Method::GET, ["versions", version]) => match parse("version", version) {
            Ok(version) => manager.version(version).await.into(),
            Err(err) => failure(err),
        },
        (&Method::GET, ["versions", version, "diff"]) => {
            diff_versions(manager, version, req).await.into()
        }
        (&Method::GET, ["proposals"]) => manager.proposals().await.into(),
        (&Method::POST, ["proposals"]) => match req.json() {
            Ok(body) => manager.propose(who, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["roll-back"]) => match req.json::<RollBackRequest>() {
            Ok(body) => manager.roll_back(who, body.to).await.into(),
            Err(err) => failure(err),
        },
        (_, ["proposals", id, rest @ ..]) => match parse("proposal", id) {
            Ok(id) => on_proposal(manager, who, req, &id, rest).await,
            Err(err) => failure(err),
        },
        _ => no_such_call(),
    }
}

async fn on_proposal(
    manager: &BundleManager,
    who: &OperatorId,
    req: &Request<'_>,
    id: &ProposalId,
    rest: &[&str],
) -> AdminAnswer {
    match (req.method, rest) {
        (&Method::GET, []) => manager.proposal(id).await.into(),
        (&Method::GET, ["diff"]) => manager.diff(id).await.into(),
        (&Method::POST, ["review"]) => match req.json() {
            Ok(body) => manager.review(who, id, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["sign-off"]) => match req.json() {
            Ok(body) => manager.sign_off(who, id, body).await.into(),
            Err(err) => failure(err),
        },
        (&Method::POST, ["roll-out"]) => manager.roll_out(who, id).await.into(),
        _ => no_such_call(),
    }
}

async fn history(
    manager: &BundleManager,
    req: &Request<'_>,
) -> Result<Vec<crate::schema::config::HistoryEntry>, BundleError> {
    let limit = req.param("limit")?.unwrap_or(DEFAULT_HISTORY);
    manager.history(req.param("from")?, limit).await
}

async fn diff_versions(
    manager: &BundleManager,
    version: &str,
    req: &Request<'_>,
) -> Result<DiffView, BundleError> {
    let to: Version = parse("version", version)?;
    let before = Version(to.get().saturating_sub(1));
    let from = req.param("from")?.unwrap_or(before);
    manager.diff_versions(from, to).await
}

fn failure(err: BundleError) -> AdminAnswer {
    Err::<(), _>(err).into()
}
