//! The states of a proposal (proposed, reviewed, signed off, rolled out) and the rules for its
//! transitions.

use super::release::{check_sign_off, check_signer_role};
use super::{SignOffSubject, digest_of};
use crate::prelude::*;
use crate::schema::config::{
    CurrentRecord, KeyRing, Proposal, ProposalKind, ProposalState, Release, Review, SignOff,
};

/// Maximum number of reviews of one proposal, because they are part of a stored record of bounded
/// size.
const MAX_REVIEWS: usize = 20;

impl Proposal {
    /// Creates a proposal for the version after `base`.
    pub fn new(
        kind: ProposalKind,
        base: Version,
        text: String,
        proposer: OperatorId,
        proposed_at: Timestamp,
        writer: WriterToken,
    ) -> Self {
        let digest = digest_of(text.as_bytes());
        Self {
            id: proposal_id(base, &writer),
            writer,
            kind,
            base,
            text,
            digest,
            proposer,
            proposed_at,
            reviews: Vec::new(),
            sign_off: None,
        }
    }

    /// Returns the version that the proposal would become.
    pub fn version(&self) -> Version {
        Version(self.base.get().saturating_add(1))
    }

    /// Returns the state of the proposal, given the version in force and the proposal that was
    /// released as this proposal's version, if any.
    ///
    /// A roll-out is one write of `bundle/current`, so the proposal itself does not record it.
    pub fn state(&self, in_force: Version, released: Option<&ProposalId>) -> ProposalState {
        if in_force > self.base {
            return if released == Some(&self.id) {
                ProposalState::RolledOut
            } else {
                ProposalState::Superseded
            };
        }
        if self.sign_off.is_some() {
            return ProposalState::SignedOff;
        }
        match self.reviews.iter().any(|review| !review.approve) {
            true => ProposalState::Rejected,
            false if self.is_reviewed() => ProposalState::Reviewed,
            false => ProposalState::Proposed,
        }
    }

    /// Returns the proposal with another review; a rejection is final.
    pub fn review(&self, review: Review, current: &CurrentRecord) -> Result<Self, BundleError> {
        self.check_open(current)?;
        if review.reviewer == self.proposer {
            return Err(refused(format!(
                "{} proposed {} and cannot review it",
                self.proposer, self.id
            )));
        }
        if self.reviews.len() >= MAX_REVIEWS {
            return Err(refused(format!("{} has {MAX_REVIEWS} reviews", self.id)));
        }
        let mut next = self.clone();
        next.reviews.push(review);
        Ok(next)
    }

    /// Returns the proposal with a sign-off, after checking the signature and that the signer is
    /// not the proposer.
    pub fn sign_off(
        &self,
        sign_off: SignOff,
        current: &CurrentRecord,
        ring: &KeyRing,
    ) -> Result<Self, BundleError> {
        self.check_open(current)?;
        self.check_reviewed()?;
        check_signer_role(&sign_off.signer, ring)?;
        check_sign_off(&self.subject(&ring.site), &sign_off, ring).map_err(refused)?;
        let mut next = self.clone();
        next.sign_off = Some(sign_off);
        Ok(next)
    }

    /// Builds and verifies the release that a roll-out puts in force.
    pub fn release(
        &self,
        by: OperatorId,
        at: Timestamp,
        writer: WriterToken,
        current: &CurrentRecord,
        ring: &KeyRing,
    ) -> Result<Release, BundleError> {
        self.check_base(current)?;
        self.check_reviewed()?;
        let sign_off = self
            .sign_off
            .clone()
            .ok_or_else(|| refused(format!("{} is not signed off", self.id)))?;
        check_signer_role(&sign_off.signer, ring)?;
        let release = Release {
            writer,
            version: self.version(),
            site: ring.site.clone(),
            digest: self.digest,
            text: self.text.clone(),
            proposal: self.id.clone(),
            proposer: self.proposer.clone(),
            proposed_at: self.proposed_at,
            reviews: self.reviews.clone(),
            sign_off,
            rolled_out_by: by,
            rolled_out_at: at,
        };
        release.verify(ring).map_err(|err| match err {
            BundleError::Untrusted(reason) => BundleError::Refused(reason),
            err => err,
        })?;
        Ok(release)
    }

    /// Returns the data that a sign-off of this proposal signs.
    pub fn subject(&self, site: &SiteId) -> SignOffSubject {
        SignOffSubject {
            site: site.clone(),
            version: self.version(),
            digest: self.digest,
            proposer: self.proposer.clone(),
        }
    }

    /// Checks that the proposal's base is still the version in force.
    pub fn check_base(&self, current: &CurrentRecord) -> Result<(), BundleError> {
        if current.version == self.base {
            return Ok(());
        }
        Err(BundleError::Conflict(current.change_since(self.base)))
    }

    fn check_open(&self, current: &CurrentRecord) -> Result<(), BundleError> {
        self.check_base(current)?;
        match self.state(current.version, None) {
            ProposalState::SignedOff => Err(refused(format!("{} is already signed off", self.id))),
            ProposalState::Rejected => Err(refused(format!("{} was rejected", self.id))),
            _ => Ok(()),
        }
    }

    fn check_reviewed(&self) -> Result<(), BundleError> {
        if self.reviews.iter().any(|review| !review.approve) {
            return Err(refused(format!("{} was rejected", self.id)));
        }
        if self.is_reviewed() {
            return Ok(());
        }
        Err(refused(format!("{} is not reviewed", self.id)))
    }

    /// Returns whether someone other than the proposer approved. A roll-back needs no review,
    /// because its text was reviewed before.
    fn is_reviewed(&self) -> bool {
        self.kind == ProposalKind::RollBack
            || self
                .reviews
                .iter()
                .any(|review| review.approve && review.reviewer != self.proposer)
    }
}

/// Builds an id from the version that a proposal would become and the digest of its writer token.
fn proposal_id(base: Version, writer: &WriterToken) -> ProposalId {
    let digits = digest_of(writer.as_str().as_bytes()).to_string();
    let version = base.get().saturating_add(1);
    format!("{version}-{}", digits.get(..8).unwrap_or_default())
        .parse()
        .unwrap_or_default()
}

fn refused(message: impl Into<String>) -> BundleError {
    BundleError::Refused(message.into())
}
