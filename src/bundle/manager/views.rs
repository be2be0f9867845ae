//! Calls that show bundles, proposals, differences and the key ring.

use super::{BundleManager, VerifiedCurrent};
use crate::bundle::{check_bundle, diff_bundles, parse_bundle};
use crate::prelude::*;
use crate::records::{CURRENT, StoredRecord, proposal, proposals_of};
use crate::schema::bundle::Bundle;
use crate::schema::config::{
    Change, CurrentRecord, CurrentView, DiffView, HistoryEntry, Proposal, ProposalView, Release,
    RingView,
};

/// Maximum number of versions in one page of the history.
const MAX_HISTORY: usize = 100;

impl BundleManager {
    /// Returns the version in force and its release.
    pub async fn current(&self) -> Result<CurrentView, BundleError> {
        let current = self.read_verified().await?.stored.value;
        Ok(CurrentView {
            version: current.version,
            release: current.release,
        })
    }

    /// Returns the release of a version, which is in force or archived.
    pub async fn version(&self, version: Version) -> Result<Release, BundleError> {
        let verified = self.read_verified().await?;
        self.release_of(verified.current(), version).await
    }

    /// Returns at most `limit` versions up to `from`, newest first.
    pub async fn history(
        &self,
        from: Option<Version>,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BundleError> {
        let verified = self.read_verified().await?;
        let newest = verified.current().version;
        let first = from.map_or(newest, |from| from.min(newest));
        let mut entries = Vec::new();
        let versions = (1..=first.get()).rev().take(limit.clamp(1, MAX_HISTORY));
        for version in versions {
            match self.release_of(verified.current(), Version(version)).await {
                Ok(release) => entries.push(release.into()),
                Err(BundleError::NotFound(_)) => break,
                Err(err) => return Err(err),
            }
        }
        Ok(entries)
    }

    /// Returns all proposals for the next version.
    pub async fn proposals(&self) -> Result<Vec<ProposalView>, BundleError> {
        let verified = self.read_verified().await?;
        let version = Version(verified.current().version.get().saturating_add(1));
        let stored: Vec<StoredRecord<Proposal>> = self.records.list(&proposals_of(version)).await?;
        let views = stored
            .into_iter()
            .map(|stored| view(stored.value, verified.current().version, None));
        Ok(views.collect())
    }

    /// Returns a proposal with its state.
    pub async fn proposal(&self, id: &ProposalId) -> Result<ProposalView, BundleError> {
        let verified = self.read_verified().await?;
        let stored = self.read_proposal(id).await?;
        let released = self.released_proposal(&verified, &stored.value).await?;
        let in_force = verified.current().version;
        Ok(view(stored.value, in_force, released.as_ref()))
    }

    /// Returns the effective changes that a proposal makes to its base version.
    pub async fn diff(&self, id: &ProposalId) -> Result<DiffView, BundleError> {
        let verified = self.read_verified().await?;
        let stored = self.read_proposal(id).await?;
        Ok(DiffView {
            from: stored.value.base,
            to: stored.value.version(),
            changes: self.changes(verified.current(), &stored.value).await?,
        })
    }

    /// Returns the effective changes between two versions.
    pub async fn diff_versions(&self, from: Version, to: Version) -> Result<DiffView, BundleError> {
        let verified = self.read_verified().await?;
        let old = self.bundle_of(verified.current(), from).await?;
        let new = self.release_of(verified.current(), to).await?;
        let new = parse_bundle(&new.text).map_err(BundleError::Invalid)?;
        Ok(DiffView {
            from,
            to,
            changes: diff_bundles(old.as_ref(), &new),
        })
    }

    /// Returns the signed key ring, if there is one.
    pub async fn ring(&self) -> Result<RingView, BundleError> {
        let stored: Option<StoredRecord<CurrentRecord>> = self.records.read(CURRENT).await?;
        let current = stored.map(|stored| stored.value);
        Ok(RingView {
            site: self.trust.site.clone(),
            version: current.as_ref().map_or(Version(0), |found| found.version),
            ring: current.map(|found| found.ring),
        })
    }

    /// Reads the record in force and passes it to the keeper; returns whether there is one.
    pub async fn load(&self) -> Result<bool, BundleError> {
        let stored: Option<StoredRecord<CurrentRecord>> = self.records.read(CURRENT).await?;
        if let Some(stored) = &stored {
            self.apply(&stored.value);
        }
        Ok(stored.is_some())
    }

    /// Reads a proposal, whose id starts with its version.
    pub(super) async fn read_proposal(
        &self,
        id: &ProposalId,
    ) -> Result<StoredRecord<Proposal>, BundleError> {
        let missing = || BundleError::NotFound(format!("proposal {id}"));
        let version = id
            .as_str()
            .split_once('-')
            .and_then(|(version, _)| version.parse().ok())
            .ok_or_else(missing)?;
        let key = proposal(version, id);
        self.records.read(&key).await?.ok_or_else(missing)
    }

    /// Returns the effective changes that a proposal makes to its base version.
    pub(super) async fn changes(
        &self,
        current: &CurrentRecord,
        proposal: &Proposal,
    ) -> Result<Vec<Change>, BundleError> {
        let old = self.bundle_of(current, proposal.base).await?;
        let new = parse_bundle(&proposal.text).map_err(BundleError::Invalid)?;
        Ok(diff_bundles(old.as_ref(), &new))
    }

    /// Returns the id of the proposal that was released as this proposal's version; `None` if no
    /// release is found.
    pub(super) async fn released_proposal(
        &self,
        verified: &VerifiedCurrent,
        proposal: &Proposal,
    ) -> Result<Option<ProposalId>, BundleError> {
        if verified.current().version < proposal.version() {
            return Ok(None);
        }
        match self
            .release_of(verified.current(), proposal.version())
            .await
        {
            Ok(release) => Ok(Some(release.proposal)),
            Err(BundleError::NotFound(_)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Returns the parsed bundle of a version; `None` for version 0.
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

/// Builds the view of a proposal with its state and the warnings about its text.
pub(super) fn view(
    proposal: Proposal,
    in_force: Version,
    released: Option<&ProposalId>,
) -> ProposalView {
    let notes = check_bundle(&proposal.text).map_or_else(|_| Vec::new(), |checked| checked.notes);
    ProposalView {
        state: proposal.state(in_force, released),
        version: proposal.version(),
        notes: notes.into_iter().map(Into::into).collect(),
        proposal,
    }
}
