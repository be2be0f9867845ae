//! Administration calls for jobs: submit, show, list and cancel.

use async_trait::async_trait;
use http::Method;

use crate::admin::{AdminAnswer, AdminExtension};
use crate::audit::{AuditDraft, AuditTrail};
use crate::batch::{BatchNode, Refusal};
use crate::prelude::*;
use crate::schema::batch::{JobFilter, JobSpec};
use crate::schema::config::{AuditAction, AuditOutcome, ErrorKind, OperatorRecord, Role};

/// Longest description of the changed jobs in an audit entry.
const MAX_DETAIL_CHARS: usize = 300;

/// Serves `/jobs`, `/jobs/list`, `/jobs/cancel` and `/jobs/<id>`.
pub(super) struct JobCalls {
    pub(super) batch: Arc<BatchNode>,
    pub(super) audit: Arc<AuditTrail>,
}

impl JobCalls {
    async fn submit(&self, operator: &OperatorRecord, body: &[u8]) -> AdminAnswer {
        let spec: JobSpec = match serde_json::from_slice(body) {
            Ok(spec) => spec,
            Err(err) => return bad_input(err),
        };
        if !operator.may_change(&spec.team) {
            return forbidden(&spec.team);
        }
        let subject = format!("submission {} of team {}", spec.key, spec.team);
        let result = self.batch.submit(spec).await;
        self.record_audit(operator, subject, &result).await;
        to_response(result.map(|job| serde_json::json!({ "job": job })))
    }

    async fn list(&self, body: &[u8]) -> AdminAnswer {
        match filter(body) {
            Ok(filter) => to_response(self.batch.list(&filter).await),
            Err(response) => *response,
        }
    }

    async fn cancel(&self, operator: &OperatorRecord, body: &[u8]) -> AdminAnswer {
        let filter = match filter(body) {
            Ok(filter) => filter,
            Err(response) => return *response,
        };
        let jobs = match self.batch.list(&filter).await {
            Ok(jobs) => jobs,
            Err(err) => return refusal_response(&err),
        };
        let not_permitted = jobs.iter().find(|job| !operator.may_change(&job.spec.team));
        if let Some(job) = not_permitted {
            return forbidden(&job.spec.team);
        }
        let result = self.batch.cancel(&filter).await;
        self.record_audit(operator, "cancellation".to_string(), &result)
            .await;
        to_response(result)
    }

    /// Adds an entry to the audit trail. A failure is only logged, because the change of the jobs
    /// is already durable.
    async fn record_audit<T: serde::Serialize>(
        &self,
        operator: &OperatorRecord,
        subject: String,
        result: &Result<T, Refusal>,
    ) {
        let (outcome, detail) = match result {
            Ok(data) => (
                AuditOutcome::Done,
                serde_json::to_string(data).unwrap_or_default(),
            ),
            Err(Refusal::Unknown(err)) => (AuditOutcome::Unknown, err.clone()),
            Err(err) => (AuditOutcome::Refused, err.to_string()),
        };
        let draft = AuditDraft {
            who: operator.name.clone(),
            action: AuditAction::Job,
            subject,
            version: None,
            outcome,
            detail: detail.chars().take(MAX_DETAIL_CHARS).collect(),
        };
        if let Err(err) = self.audit.append(&draft).await {
            tracing::warn!(%err, "job change could not be recorded in the audit trail; its outcome stands");
        }
    }

    async fn show(&self, id: &str) -> AdminAnswer {
        let id: JobId = match id.parse() {
            Ok(id) => id,
            Err(err) => return bad_input(err),
        };
        match self.batch.show(&id).await {
            Ok(Some(job)) => AdminAnswer::ok(&job),
            Ok(None) => AdminAnswer::error(ErrorKind::NotFound, format!("job {id} does not exist")),
            Err(err) => refusal_response(&err),
        }
    }
}

#[async_trait(?Send)]
impl AdminExtension for JobCalls {
    fn prefix(&self) -> &str {
        "/jobs"
    }

    async fn call(
        &self,
        operator: &OperatorRecord,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer {
        if !operator.may(Role::Operate) {
            return AdminAnswer::error(ErrorKind::Forbidden, "jobs need the role operate");
        }
        match (method.as_str(), path) {
            ("POST", "") => self.submit(operator, body).await,
            ("POST", "/list") => self.list(body).await,
            ("POST", "/cancel") => self.cancel(operator, body).await,
            ("GET", id) if id.starts_with('/') => self.show(&id[1..]).await,
            _ => AdminAnswer::error(ErrorKind::NotFound, "there is no such call"),
        }
    }
}

fn filter(body: &[u8]) -> Result<JobFilter, Box<AdminAnswer>> {
    serde_json::from_slice(body).map_err(|err| Box::new(bad_input(err)))
}

fn to_response<T: serde::Serialize>(result: Result<T, Refusal>) -> AdminAnswer {
    match result {
        Ok(data) => AdminAnswer::ok(&data),
        Err(err) => refusal_response(&err),
    }
}

fn refusal_response(err: &Refusal) -> AdminAnswer {
    let kind = match err {
        Refusal::Invalid(_) => ErrorKind::BadInput,
        Refusal::Impossible(_) => ErrorKind::Refused,
        Refusal::KeyReused { .. } => ErrorKind::Conflict,
        Refusal::NotAccepted(_) => ErrorKind::Unavailable,
        Refusal::Unknown(_) => ErrorKind::UnknownOutcome,
    };
    AdminAnswer::error(kind, err.to_string())
}

fn bad_input(err: impl std::fmt::Display) -> AdminAnswer {
    AdminAnswer::error(ErrorKind::BadInput, err.to_string())
}

fn forbidden(team: &TeamId) -> AdminAnswer {
    AdminAnswer::error(
        ErrorKind::Forbidden,
        format!("operator may not act for team {team}"),
    )
}
