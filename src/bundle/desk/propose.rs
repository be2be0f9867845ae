//! Proposals, reviews and sign-offs.

use super::views::view;
use super::{BundleDesk, Standing, check_scope};
use crate::audit::AuditDraft;
use crate::bundle::check_bundle;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{Held, Written, proposal};
use crate::schema::config::{
    AuditAction, AuditOutcome, Proposal, ProposalKind, ProposalView, ProposeRequest, Review,
    ReviewRequest, Role, SignOff, SignOffRequest,
};

/// Other reviews or sign-offs of the same proposal that may come first.
const WRITE_ATTEMPTS: u32 = 10;

impl BundleDesk {
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
        let standing = self.standing().await?;
        let base = req.base.unwrap_or(standing.current().version);
        let next = self.draft(ProposalKind::Change, base, req.text, who);
        self.submit(who, standing, next, AuditAction::Propose).await
    }

    /// Proposes the content of an older version as the next version.
    pub async fn roll_back(
        &self,
        who: &OperatorId,
        to: Version,
    ) -> Result<ProposalView, BundleError> {
        let standing = self.standing().await?;
        let current = standing.current();
        if to >= current.version {
            return Err(BundleError::BadInput(format!(
                "version {to} is not older than version {} in force",
                current.version
            )));
        }
        let text = self.release_of(current, to).await?.text;
        let next = self.draft(ProposalKind::RollBack, current.version, text, who);
        self.submit(who, standing, next, AuditAction::RollBack)
            .await
    }

    /// Gives a verdict on a proposal.
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
        let change = |found: &Proposal, standing: &Standing| {
            standing.operator(who, Role::Review)?;
            if found.digest != req.digest {
                return Err(BundleError::Refused(format!(
                    "proposal {id} has digest {}, another text was reviewed",
                    found.digest
                )));
            }
            found.review(review.clone(), standing.current())
        };
        let draft = self.draft_audit(who, AuditAction::Review, id, req.note);
        let result = self.amend(who, id, change).await;
        self.finish(draft, result).await
    }

    /// Signs a proposal off.
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
        let change = |found: &Proposal, standing: &Standing| {
            standing.operator(who, Role::SignOff)?;
            found.sign_off(sign_off.clone(), standing.current(), &standing.ring)
        };
        let detail = format!("key {}", req.key);
        let draft = self.draft_audit(who, AuditAction::SignOff, id, detail);
        let result = self.amend(who, id, change).await;
        self.finish(draft, result).await
    }

    pub(super) fn draft_audit(
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

    fn draft(&self, kind: ProposalKind, base: Version, text: String, who: &OperatorId) -> Proposal {
        let at = (self.clock)();
        Proposal::new(kind, base, text, who.clone(), at, self.records.token())
    }

    async fn submit(
        &self,
        who: &OperatorId,
        standing: Standing,
        next: Proposal,
        action: AuditAction,
    ) -> Result<ProposalView, BundleError> {
        let draft = self.draft_audit(who, action, &next.id, format!("digest {}", next.digest));
        let result = self.store_proposal(who, standing, next).await;
        self.finish(draft, result).await
    }

    async fn store_proposal(
        &self,
        who: &OperatorId,
        standing: Standing,
        next: Proposal,
    ) -> Result<ProposalView, BundleError> {
        let operator = standing.operator(who, Role::Propose)?;
        let current = standing.current();
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
            Written::Done(_) => Ok(view(next, current.version, None)),
            Written::Conflict { .. } => Err(BundleError::Unknown {
                key,
                reason: "another proposal has the same id".to_string(),
            }),
        }
    }

    /// Changes a stored proposal by `change`, anew for every other change that came first.
    async fn amend(
        &self,
        who: &OperatorId,
        id: &ProposalId,
        change: impl Fn(&Proposal, &Standing) -> Result<Proposal, BundleError>,
    ) -> Result<ProposalView, BundleError> {
        let mut held: Held<Proposal> = self.held_proposal(id).await?;
        let key = proposal(held.value.version(), id);
        for _ in 0..WRITE_ATTEMPTS {
            let standing = self.standing().await?;
            let mut next = change(&held.value, &standing)?;
            let operator = standing
                .ring
                .operator(who)
                .ok_or_else(|| BundleError::Forbidden(format!("{who} is no operator")))?;
            let changes = self.changes(standing.current(), &held.value).await?;
            check_scope(operator, &changes)?;
            next.writer = self.records.token();
            let expected = Expected::At(held.revision);
            match self.records.write(&key, expected, &next).await? {
                Written::Done(_) => return Ok(view(next, standing.current().version, None)),
                Written::Conflict {
                    found: Some(found),
                    after_loss,
                } => {
                    if after_loss && contains(&found.value, &next) {
                        return Ok(view(found.value, standing.current().version, None));
                    }
                    held = found;
                }
                Written::Conflict { found: None, .. } => {
                    return Err(BundleError::NotFound(format!("proposal {id}")));
                }
            }
        }
        Err(BundleError::Unavailable(format!(
            "proposal {id} is being changed by too many others"
        )))
    }
}

/// Tells whether a later state of a proposal contains the own change.
fn contains(later: &Proposal, own: &Proposal) -> bool {
    later.reviews.starts_with(&own.reviews)
        && (own.sign_off.is_none() || own.sign_off == later.sign_off)
}
