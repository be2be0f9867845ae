//! What operators can look at.

use super::{BundleDesk, Standing};
use crate::bundle::{check_bundle, diff_bundles, parse_bundle};
use crate::prelude::*;
use crate::records::{CURRENT, Held, proposal, proposals_of};
use crate::schema::bundle::Bundle;
use crate::schema::config::{
    Change, CurrentRecord, CurrentView, DiffView, HistoryEntry, Proposal, ProposalView, Release,
    RingView,
};

/// Most versions of one page of the history.
const MAX_HISTORY: usize = 100;

impl BundleDesk {
    /// Returns the bundle in force.
    pub async fn current(&self) -> Result<CurrentView, BundleError> {
        let current = self.standing().await?.held.value;
        Ok(CurrentView {
            version: current.version,
            release: current.release,
        })
    }

    /// Returns a version, in force or older.
    pub async fn version(&self, version: Version) -> Result<Release, BundleError> {
        let standing = self.standing().await?;
        self.release_of(standing.current(), version).await
    }

    /// Returns the versions up to `from`, newest first.
    pub async fn history(
        &self,
        from: Option<Version>,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BundleError> {
        let standing = self.standing().await?;
        let newest = standing.current().version;
        let first = from.map_or(newest, |from| from.min(newest));
        let mut entries = Vec::new();
        let versions = (1..=first.get()).rev().take(limit.clamp(1, MAX_HISTORY));
        for version in versions {
            match self.release_of(standing.current(), Version(version)).await {
                Ok(release) => entries.push(release.into()),
                Err(BundleError::NotFound(_)) => break,
                Err(err) => return Err(err),
            }
        }
        Ok(entries)
    }

    /// Returns the proposals for the next version.
    pub async fn proposals(&self) -> Result<Vec<ProposalView>, BundleError> {
        let standing = self.standing().await?;
        let version = Version(standing.current().version.get().saturating_add(1));
        let held: Vec<Held<Proposal>> = self.records.list(&proposals_of(version)).await?;
        let views = held
            .into_iter()
            .map(|held| view(held.value, standing.current().version, None));
        Ok(views.collect())
    }

    /// Returns one proposal.
    pub async fn proposal(&self, id: &ProposalId) -> Result<ProposalView, BundleError> {
        let standing = self.standing().await?;
        let held = self.held_proposal(id).await?;
        let taken_by = self.taken_by(&standing, &held.value).await?;
        let in_force = standing.current().version;
        Ok(view(held.value, in_force, taken_by.as_ref()))
    }

    /// Returns what a proposal changes in effect.
    pub async fn diff(&self, id: &ProposalId) -> Result<DiffView, BundleError> {
        let standing = self.standing().await?;
        let held = self.held_proposal(id).await?;
        Ok(DiffView {
            from: held.value.base,
            to: held.value.version(),
            changes: self.changes(standing.current(), &held.value).await?,
        })
    }

    /// Returns what differs in effect between two versions.
    pub async fn diff_versions(&self, from: Version, to: Version) -> Result<DiffView, BundleError> {
        let standing = self.standing().await?;
        let old = self.bundle_of(standing.current(), from).await?;
        let new = self.release_of(standing.current(), to).await?;
        let new = parse_bundle(&new.text).map_err(BundleError::Invalid)?;
        Ok(DiffView {
            from,
            to,
            changes: diff_bundles(old.as_ref(), &new),
        })
    }

    /// Returns the key ring, if there is one.
    pub async fn ring(&self) -> Result<RingView, BundleError> {
        let held: Option<Held<CurrentRecord>> = self.records.read(CURRENT).await?;
        let current = held.map(|held| held.value);
        Ok(RingView {
            site: self.trust.site.clone(),
            version: current.as_ref().map_or(Version(0), |found| found.version),
            ring: current.map(|found| found.ring),
        })
    }

    /// Reads the record in force and hands it to the keeper; tells whether there is one.
    pub async fn load(&self) -> Result<bool, BundleError> {
        let held: Option<Held<CurrentRecord>> = self.records.read(CURRENT).await?;
        if let Some(held) = &held {
            self.apply(&held.value);
        }
        Ok(held.is_some())
    }

    pub(super) async fn held_proposal(
        &self,
        id: &ProposalId,
    ) -> Result<Held<Proposal>, BundleError> {
        let missing = || BundleError::NotFound(format!("proposal {id}"));
        let version = id
            .as_str()
            .split_once('-')
            .and_then(|(version, _)| version.parse().ok())
            .ok_or_else(missing)?;
        let key = proposal(version, id);
        self.records.read(&key).await?.ok_or_else(missing)
    }

    /// Lists what a proposal changes against the version that it starts from.
    pub(super) async fn changes(
        &self,
        current: &CurrentRecord,
        proposal: &Proposal,
    ) -> Result<Vec<Change>, BundleError> {
        let old = self.bundle_of(current, proposal.base).await?;
        let new = parse_bundle(&proposal.text).map_err(BundleError::Invalid)?;
        Ok(diff_bundles(old.as_ref(), &new))
    }

    /// Returns the release that took the proposal's version, if there is one.
    pub(super) async fn taken_by(
        &self,
        standing: &Standing,
        proposal: &Proposal,
    ) -> Result<Option<ProposalId>, BundleError> {
        if standing.current().version < proposal.version() {
            return Ok(None);
        }
        match self
            .release_of(standing.current(), proposal.version())
            .await
        {
            Ok(release) => Ok(Some(release.proposal)),
            Err(BundleError::NotFound(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    async fn bundle_of(
        &self,
        current: &CurrentRecord,
        version: Version,
    ) -> Result<Option<Bundle>, BundleError> {
        if version == Version(0) {
            return Ok(None);
        }
        let release = self.release_of(current, version).await?;
        parse_bundle(&release.text)
            .map(Some)
            .map_err(BundleError::Invalid)
    }
}

impl From<Release> for HistoryEntry {
    fn from(release: Release) -> Self {
        Self {
            version: release.version,
            digest: release.digest,
            proposer: release.proposer,
            signer: release.sign_off.signer,
            rolled_out_by: release.rolled_out_by,
            rolled_out_at: release.rolled_out_at,
        }
    }
}

/// Builds the view of a proposal.
pub(super) fn view(
    proposal: Proposal,
    in_force: Version,
    taken_by: Option<&ProposalId>,
) -> ProposalView {
    let notes = check_bundle(&proposal.text).map_or_else(|_| Vec::new(), |checked| checked.notes);
    ProposalView {
        state: proposal.state(in_force, taken_by),
        version: proposal.version(),
        notes: notes.into_iter().map(Into::into).collect(),
        proposal,
    }
}
