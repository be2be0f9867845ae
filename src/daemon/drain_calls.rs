//! Administration calls that drain workers and availability zones.

use async_trait::async_trait;
use http::Method;

use crate::admin::{AdminAnswer, AdminExtension};
use crate::audit::{AuditDraft, AuditTrail};
use crate::drain::DrainManager;
use crate::prelude::*;
use crate::schema::config::{AuditAction, AuditOutcome, ErrorKind, OperatorRecord, Role};
use crate::schema::drain::{DrainRequest, DrainTarget};

/// Serves `/drain`.
pub(super) struct DrainCalls {
    pub(super) manager: Arc<DrainManager>,
    pub(super) audit: Arc<AuditTrail>,
}

impl DrainCalls {
    async fn change(&self, operator: &OperatorRecord, body: &[u8]) -> AdminAnswer {
        let req: DrainRequest = match serde_json::from_slice(body) {
            Ok(req) => req,
            Err(err) => return AdminAnswer::error(ErrorKind::BadInput, err.to_string()),
        };
        let result = self.manager.change(&req.target, req.drained).await;
        let subject = match &req.target {
            DrainTarget::Worker(vm) => format!("worker {vm}"),
            DrainTarget::Zone(zone) => format!("zone {zone}"),
        };
        let draft = AuditDraft {
            who: operator.name.clone(),
            action: AuditAction::Drain,
            subject,
            version: None,
            outcome: outcome(&result),
            detail: if req.drained { "drain" } else { "undrain" }.to_string(),
        };
        if let Err(err) = self.audit.append(&draft).await {
            tracing::warn!(%err, "drain request could not be recorded in the audit trail; its outcome stands");
        }
        AdminAnswer::from(result)
    }
}

fn outcome<T>(result: &Result<T, BundleError>) -> AuditOutcome {
    match result {
        Ok(_) => AuditOutcome::Done,
        Err(BundleError::Unknown { .. }) => AuditOutcome::Unknown,
        Err(_) => AuditOutcome::Refused,
    }
}

#[async_trait(?Send)]
impl AdminExtension for DrainCalls {
    fn prefix(&self) -> &str {
        "/drain"
    }

    async fn call(
        &self,
        operator: &OperatorRecord,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer {
        match (method.as_str(), path) {
            ("GET", "") => AdminAnswer::ok(self.manager.drained().record()),
            ("POST", "") if operator.may(Role::Operate) && operator.all_teams => {
                self.change(operator, body).await
            }
            ("POST", "") => AdminAnswer::error(
                ErrorKind::Forbidden,
                "a drain needs the role operate for all teams",
            ),
            _ => AdminAnswer::error(ErrorKind::NotFound, "there is no such call"),
        }
    }
}
