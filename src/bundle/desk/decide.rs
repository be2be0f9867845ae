//! Roll-out: one compare-and-swap of `bundle/current`.

use super::{BundleDesk, Standing, check_scope};
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{CURRENT, Held, Written, history, proposals_of};
use crate::schema::config::{AuditAction, AuditOutcome, CurrentRecord, Proposal, Release, Role};
use crate::web::encode;

/// Versions that stay readable and that a roll-back can return to.
const KEPT_VERSIONS: u64 = 500;

/// Versions whose proposals stay readable.
const KEPT_PROPOSALS: u64 = 50;

impl BundleDesk {
    /// Puts a signed proposal in force; doing it again gives the same answer.
    pub async fn roll_out(
        &self,
        who: &OperatorId,
        id: &ProposalId,
    ) -> Result<Release, BundleError> {
        let standing = self.standing().await?;
        let held = self.held_proposal(id).await?;
        if self.taken_by(&standing, &held.value).await?.as_ref() == Some(id) {
            let version = held.value.version();
            return self.release_of(standing.current(), version).await;
        }
        let mut draft = self.draft_audit(who, AuditAction::RollOut, id, String::new());
        let release = match self.prepare(who, &standing, &held.value).await {
            Ok(release) => release,
            Err(err) => return self.finish(draft, Err(err)).await,
        };
        draft.outcome = AuditOutcome::Attempted;
        draft.detail = format!("digest {}", release.digest);
        self.begin(&draft).await?;
        let result = self.commit(standing, release).await;
        let result = self.finish(draft, result).await;
        if let Ok(release) = &result {
            self.expire(release.version).await;
        }
        result
    }

    async fn prepare(
        &self,
        who: &OperatorId,
        standing: &Standing,
        proposal: &Proposal,
    ) -> Result<Release, BundleError> {
        let operator = standing.operator(who, Role::RollOut)?;
        let at = (self.clock)();
        let release = proposal.release(
            who.clone(),
            at,
            self.records.token(),
            standing.current(),
            &standing.ring,
        )?;
        let changes = self.changes(standing.current(), proposal).await?;
        check_scope(operator, &changes)?;
        Ok(release)
    }

    async fn commit(&self, standing: Standing, release: Release) -> Result<Release, BundleError> {
        // The version in force enters the history before it is replaced, so the history has no gap
        // even if this process dies between the two writes.
        if let Some(before) = &standing.current().release {
            self.archive(before).await?;
        }
        let next = CurrentRecord {
            writer: release.writer.clone(),
            version: release.version,
            release: Some(release.clone()),
            ..standing.current().clone()
        };
        let expected = Expected::At(standing.held.revision);
        match self.records.write(CURRENT, expected, &next).await? {
            Written::Done(_) => self.apply(&next),
            Written::Conflict { found, after_loss } => {
                let found = found.ok_or_else(|| BundleError::NotFound(CURRENT.to_string()))?;
                if !(after_loss && self.took_effect(&found, &release).await?) {
                    let other = found.value.change_since(standing.current().version);
                    return Err(BundleError::Conflict(other));
                }
            }
        }
        Ok(release)
    }

    /// Keeps a release readable; a write that was made before has the same content.
    async fn archive(&self, release: &Release) -> Result<(), BundleError> {
        let key = history(release.version);
        let written = self.records.write(&key, Expected::Absent, release).await;
        // An unresolved write of the history leaves the version in force as it is.
        let written = written.map_err(|err| match err {
            BundleError::Unknown { .. } => BundleError::Unavailable(err.to_string()),
            err => err,
        })?;
        match written {
            Written::Conflict {
                found: Some(found), ..
            } if found.value != *release => Err(BundleError::BadRecord {
                key,
                reason: "another bundle has the same version".to_string(),
            }),
            _ => Ok(()),
        }
    }

    /// Tells whether a roll-out whose answer was lost took effect before others changed the record.
    async fn took_effect(
        &self,
        found: &Held<CurrentRecord>,
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

    /// Puts a record that was read or written in force here without waiting for the watch.
    pub(super) fn apply(&self, record: &CurrentRecord) {
        let offered = encode(record)
            .map_err(BundleError::Untrusted)
            .and_then(|buf| self.keeper.offer(&buf));
        if let Err(err) = offered {
            tracing::warn!(%err, "record of the store cannot be put in force here");
        }
    }

    /// Deletes a version and proposals whose retention has ended; failures leave them behind.
    async fn expire(&self, version: Version) {
        if let Some(old) = version.get().checked_sub(KEPT_VERSIONS)
            && let Ok(Some(held)) = self.read_release(Version(old)).await
        {
            self.records
                .discard(&history(Version(old)), held.revision)
                .await;
        }
        let Some(old) = version.get().checked_sub(KEPT_PROPOSALS) else {
            return;
        };
        let found = self.records.list(&proposals_of(Version(old))).await;
        let expired: Vec<Held<Proposal>> = found.unwrap_or_default();
        for held in expired {
            let key = crate::records::proposal(Version(old), &held.value.id);
            self.records.discard(&key, held.revision).await;
        }
    }

    async fn read_release(&self, version: Version) -> Result<Option<Held<Release>>, BundleError> {
        self.records.read(&history(version)).await
    }
}
