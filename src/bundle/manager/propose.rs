//! Calls that create, review and sign off proposals.

use super::views::view;
use super::{BundleManager, VerifiedCurrent, check_scope};
use crate::audit::AuditDraft;
use crate::bundle::check_bundle;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{StoredRecord, WriteOutcome, proposal};
use crate::schema::config::{
    AuditAction, AuditOutcome, Proposal, ProposalKind, ProposalView, ProposeRequest, Review,
    ReviewRequest, Role, SignOff, SignOffRequest,
};

/// Maximum number of attempts to update a proposal while concurrent reviews or sign-offs come
/// first.
const WRITE_ATTEMPTS: u32 = 10;

impl BundleManager {
    /// Proposes a bundle for the next version.
    pub async fn propose(
        &self,
        who: &OperatorId,
        req: ProposeRequest,
    ) -> Result<ProposalView, BundleError> {
        let checked = check_bundle(&req.text).map_err(BundleError::Invalid)?;
        let site = &checked.bundle.bundle.site;
        if *site != self.trust.site {
            return Err(BundleError::BadInput(format!(
                "bundle is for site {site}, this is {}",
                self.trust.site
            )));
        }
        let verified = self.read_verified().await?;
        let base = req.base.unwrap_or(verified.current().version);
        let next = self.new_proposal(ProposalKind::Change, base, req.text, who);
        self.submit(who, verified, next, AuditAction::Propose).await
    }

    /// Proposes the content of an older version as the next version.
    pub async fn roll_back(
        &self,
        who: &OperatorId,
        to: Version,
    ) -> Result<ProposalView, BundleError> {
        let verified = self.read_verified().await?;
        let current = verified.current();
        if to >= current.version {
            return Err(BundleError::BadInput(format!(
                "version {to} is not older than version {} in force",
                current.version
            )));
        }
        let text = self.release_of(current, to).await?.text;
        let next = self.new_proposal(ProposalKind::RollBack, current.version, text, who);
        self.submit(who, verified, next, AuditAction::RollBack)
            .await
    }

    /// Adds a review to a proposal, if its digest is the reviewed one.
    pub async fn review(
        &self,
        who: &OperatorId,
        id: &ProposalId,
        req: ReviewRequest,
    ) -> Result<ProposalView, BundleError> {
        let review = Review {
            reviewer: who.clone(),
            at: (self.clock)(),
            approve: req.approve,
            note: req.note.clone(),
        };
        let change = |found: &Proposal, verified: &VerifiedCurrent| {
            verified.operator(who, Role::Review)?;
            if found.digest != req.digest {
                return Err(BundleError::Refused(format!(
                    "proposal {id} has digest {}, another text was reviewed",
                    found.digest
                )));
            }
            found.review(review.clone(), verified.current())
        };
        let draft = self.audit_draft(who, AuditAction::Review, id, req.note);
        let result = self.update_proposal(who, id, change).await;
        self.record_outcome(draft, result).await
    }

    /// Adds a sign-off to a proposal.
    pub async fn sign_off(
        &self,
        who: &OperatorId,
        id: &ProposalId,
        req: SignOffRequest,
    ) -> Result<ProposalView, BundleError> {
        let sign_off = SignOff {
            signer: who.clone(),
            key: req.key.clone(),
            signature: req.signature,
            at: (self.clock)(),
        };
        let change = |found: &Proposal, verified: &VerifiedCurrent| {
            verified.operator(who, Role::SignOff)?;
            found.sign_off(sign_off.clone(), verified.current(), &verified.ring)
        };
        let detail = format!("key {}", req.key);
        let draft = self.audit_draft(who, AuditAction::SignOff, id, detail);
        let result = self.update_proposal(who, id, change).await;
        self.record_outcome(draft, result).await
    }

    pub(super) fn audit_draft(
        &self,
        who: &OperatorId,
        action: AuditAction,
        id: &ProposalId,
        detail: String,
    ) -> AuditDraft {
        let version = id
            .as_str()
            .split_once('-')
            .and_then(|(version, _)| version.parse().ok());
        AuditDraft {
            who: who.clone(),
            action,
            subject: format!("proposal {id}"),
            version,
            outcome: AuditOutcome::Done,
            detail,
        }
    }

    fn new_proposal(
        &self,
        kind: ProposalKind,
        base: Version,
        text: String,
        who: &OperatorId,
    ) -> Proposal {
        let at = (self.clock)();
        Proposal::new(kind, base, text, who.clone(), at, self.records.token())
    }

    async fn submit(
        &self,
        who: &OperatorId,
        verified: VerifiedCurrent,
        next: Proposal,
        action: AuditAction,
    ) -> Result<ProposalView, BundleError> {
        let draft = self.audit_draft(who, action, &next.id, format!("digest {}", next.digest));
        let result = self.store_proposal(who, verified, next).await;
        self.record_outcome(draft, result).await
    }

    async fn store_proposal(
        &self,
        who: &OperatorId,
        verified: VerifiedCurrent,
        next: Proposal,
    ) -> Result<ProposalView, BundleError> {
        let operator = verified.operator(who, Role::Propose)?;
        let current = verified.current();
        next.check_base(current)?;
        let changes = self.changes(current, &next).await?;
        if changes.is_empty() {
            return Err(BundleError::Refused(format!(
                "nothing changes in effect against version {}",
                next.base
            )));
        }
        check_scope(operator, &changes)?;
        let key = proposal(next.version(), &next.id);
        match self.records.write(&key, Expected::Absent, &next).await? {
            WriteOutcome::Done(_) => Ok(view(next, current.version, None)),
            WriteOutcome::Conflict { .. } => Err(BundleError::Unknown {
                key,
                reason: "another proposal has the same id".to_string(),
            }),
        }
    }

    /// Applies `change` to a stored proposal; after a conflict applies it again to the newer
    /// content.
    async fn update_proposal(
        &self,
        who: &OperatorId,
        id: &ProposalId,
        change: impl Fn(&Proposal, &VerifiedCurrent) -> Result<Proposal, BundleError>,
    ) -> Result<ProposalView, BundleError> {
        let mut stored: StoredRecord<Proposal> = self.read_proposal(id).await?;
        let key = proposal(stored.value.version(), id);
        for _ in 0..WRITE_ATTEMPTS {
            let verified = self.read_verified().await?;
            let mut next = change(&stored.value, &verified)?;
            let operator = verified
                .ring
                .operator(who)
                .ok_or_else(|| BundleError::Forbidden(format!("{who} is not an operator")))?;
            let changes = self.changes(verified.current(), &stored.value).await?;
            check_scope(operator, &changes)?;
            next.writer = self.records.token();
            let expected = Expected::At(stored.revision);
            match self.records.write(&key, expected, &next).await? {
                WriteOutcome::Done(_) => return Ok(view(next, verified.current().version, None)),
                WriteOutcome::Conflict {
                    found: Some(found),
                    after_loss,
                } => {
                    if after_loss && includes_change(&found.value, &next) {
                        return Ok(view(found.value, verified.current().version, None));
                    }
                    stored = found;
                }
                WriteOutcome::Conflict { found: None, .. } => {
                    return Err(BundleError::NotFound(format!("proposal {id}")));
                }
            }
        }
        Err(BundleError::Unavailable(format!(
            "proposal {id} has too many concurrent changes"
        )))
    }
}

/// Returns whether a later state of a proposal includes the own change.
fn includes_change(later: &Proposal, own: &Proposal) -> bool {
    later.reviews.starts_with(&own.reviews)
        && (own.sign_off.is_none() || own.sign_off == later.sign_off)
}
