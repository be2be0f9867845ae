//! Roll-out of a proposal by one compare-and-swap of `bundle/current`.

use super::{BundleManager, VerifiedCurrent, check_scope};
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{CURRENT, StoredRecord, WriteOutcome, history, proposals_of};
use crate::schema::config::{AuditAction, AuditOutcome, CurrentRecord, Proposal, Release, Role};
use crate::web::encode;

/// Number of versions that stay in the history, readable and available for a roll-back.
const KEPT_VERSIONS: u64 = 500;

/// Number of versions whose proposals are retained.
const KEPT_PROPOSALS: u64 = 50;

impl BundleManager {
    /// Puts a signed-off proposal in force. Idempotent: a repeated call returns the same release.
    pub async fn roll_out(
        &self,
        who: &OperatorId,
        id: &ProposalId,
    ) -> Result<Release, BundleError> {
        let verified = self.read_verified().await?;
        let stored = self.read_proposal(id).await?;
        if self
            .released_proposal(&verified, &stored.value)
            .await?
            .as_ref()
            == Some(id)
        {
            let version = stored.value.version();
            return self.release_of(verified.current(), version).await;
        }
        let mut draft = self.audit_draft(who, AuditAction::RollOut, id, String::new());
        let release = match self.prepare(who, &verified, &stored.value).await {
            Ok(release) => release,
            Err(err) => return self.record_outcome(draft, Err(err)).await,
        };
        draft.outcome = AuditOutcome::Attempted;
        draft.detail = format!("digest {}", release.digest);
        self.record_attempt(&draft).await?;
        let result = self.commit(verified, release).await;
        let result = self.record_outcome(draft, result).await;
        if let Ok(release) = &result {
            self.delete_expired(release.version).await;
        }
        result
    }

    /// Builds the release of a proposal after checking the operator's role and scope.
    async fn prepare(
        &self,
        who: &OperatorId,
        verified: &VerifiedCurrent,
        proposal: &Proposal,
    ) -> Result<Release, BundleError> {
        let operator = verified.operator(who, Role::RollOut)?;
        let at = (self.clock)();
        let release = proposal.release(
            who.clone(),
            at,
            self.records.token(),
            verified.current(),
            &verified.ring,
        )?;
        let changes = self.changes(verified.current(), proposal).await?;
        check_scope(operator, &changes)?;
        Ok(release)
    }

    /// Archives the version in force and replaces it with `release`.
    async fn commit(
        &self,
        verified: VerifiedCurrent,
        release: Release,
    ) -> Result<Release, BundleError> {
        // The version in force is archived before it is replaced, so that the history has no gap if
        // this process dies between the two writes.
        if let Some(before) = &verified.current().release {
            self.archive(before).await?;
        }
        let next = CurrentRecord {
            writer: release.writer.clone(),
            version: release.version,
            release: Some(release.clone()),
            ..verified.current().clone()
        };
        let expected = Expected::At(verified.stored.revision);
        match self.records.write(CURRENT, expected, &next).await? {
            WriteOutcome::Done(_) => self.apply(&next),
            WriteOutcome::Conflict { found, after_loss } => {
                let found = found.ok_or_else(|| BundleError::NotFound(CURRENT.to_string()))?;
                if !(after_loss && self.took_effect(&found, &release).await?) {
                    let other = found.value.change_since(verified.current().version);
                    return Err(BundleError::Conflict(other));
                }
            }
        }
        Ok(release)
    }

    /// Writes a release to the history. An existing record must have the same content.
    async fn archive(&self, release: &Release) -> Result<(), BundleError> {
        let key = history(release.version);
        let written = self.records.write(&key, Expected::Absent, release).await;
        // An unknown outcome of this write does not affect the version in force, so nothing has
        // changed for the caller.
        let written = written.map_err(|err| match err {
            BundleError::Unknown { .. } => BundleError::Unavailable(err.to_string()),
            err => err,
        })?;
        match written {
            WriteOutcome::Conflict {
                found: Some(found), ..
            } if found.value != *release => Err(BundleError::BadRecord {
                key,
                reason: "another bundle has the same version".to_string(),
            }),
            _ => Ok(()),
        }
    }

    /// Returns whether a roll-out whose response was lost took effect before another process
    /// changed the record.
    async fn took_effect(
        &self,
        found: &StoredRecord<CurrentRecord>,
        release: &Release,
    ) -> Result<bool, BundleError> {
        match self.release_of(&found.value, release.version).await {
            Ok(taken) => Ok(taken == *release),
            Err(BundleError::NotFound(_)) => Ok(false),
            Err(err) => Err(BundleError::Unknown {
                key: CURRENT.to_string(),
                reason: err.to_string(),
            }),
        }
    }

    /// Passes a record that was read or written to the keeper, without waiting for the watch.
    pub(super) fn apply(&self, record: &CurrentRecord) {
        let offered = encode(record)
            .map_err(BundleError::Untrusted)
            .and_then(|buf| self.keeper.offer(&buf));
        if let Err(err) = offered {
            tracing::warn!(%err, "record from the store was rejected; the bundle in force stays");
        }
    }

    /// Deletes the version and the proposals whose retention ended with `version`. Records that
    /// cannot be read or deleted stay.
    async fn delete_expired(&self, version: Version) {
        if let Some(old) = version.get().checked_sub(KEPT_VERSIONS)
            && let Ok(Some(stored)) = self.read_release(Version(old)).await
        {
            self.records
                .discard(&history(Version(old)), stored.revision)
                .await;
        }
        let Some(old) = version.get().checked_sub(KEPT_PROPOSALS) else {
            return;
        };
        let found = self.records.list(&proposals_of(Version(old))).await;
        let expired: Vec<StoredRecord<Proposal>> = found.unwrap_or_default();
        for stored in expired {
            let key = crate::records::proposal(Version(old), &stored.value.id);
            self.records.discard(&key, stored.revision).await;
        }
    }

    async fn read_release(
        &self,
        version: Version,
    ) -> Result<Option<StoredRecord<Release>>, BundleError> {
        self.records.read(&history(version)).await
    }
}
