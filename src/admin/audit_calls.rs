//! Calls that read and verify the audit trail.

use http::Method;

use super::AdminAnswer;
use super::answer::no_such_call;
use super::request::{Request, parse};
use crate::audit::AuditTrail;
use crate::prelude::*;
use crate::schema::config::{AuditPage, ErrorKind, OperatorRecord, Role};

/// Number of entries in a page if the request sets no limit.
const DEFAULT_PAGE: usize = 50;

pub(super) async fn call(
    audit: &AuditTrail,
    operator: &OperatorRecord,
    req: &Request<'_>,
) -> AdminAnswer {
    if !operator.may(Role::Audit) {
        let message = format!("{} does not have the role {}", operator.name, Role::Audit);
        return AdminAnswer::error(ErrorKind::Forbidden, message);
    }
    match (req.method, &req.path[1..]) {
        (&Method::GET, []) => page(audit, req).await.into(),
        (&Method::GET, ["verify"]) => audit.verify().await.into(),
        (&Method::GET, [seq]) => match parse("position", seq) {
            Ok(seq) => audit.show(seq).await.into(),
            Err(err) => Err::<(), _>(err).into(),
        },
        _ => no_such_call(),
    }
}

async fn page(audit: &AuditTrail, req: &Request<'_>) -> Result<AuditPage, BundleError> {
    let limit = req.param("limit")?.unwrap_or(DEFAULT_PAGE);
    audit.list(req.param("after")?, limit).await
}
