//! The operators' calls for bundles and keys: reads and changes of the records in the store.

mod keys;
mod propose;
mod roll_out;
mod views;

use super::{BundleKeeper, Trust};
use crate::audit::{AuditDraft, AuditTrail};
use crate::prelude::*;
use crate::provider::WallClock;
use crate::records::{CURRENT, Records, StoredRecord, TypedRecord, history};
use crate::schema::config::{
    AuditOutcome, Change, CurrentRecord, KeyRing, OperatorRecord, Proposal, Release, Role,
};

impl TypedRecord for CurrentRecord {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

impl TypedRecord for Proposal {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

impl TypedRecord for Release {
    /// Returns the token of the roll-out. A release is immutable, so every process that archives it
    /// writes the same content.
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Executes the operators' calls on the store.
///
/// Every change reads `bundle/current` from the store and is authorised by the key ring in it, so a
/// revocation takes effect for the next change.
pub struct BundleManager {
    records: Arc<Records>,
    trust: Trust,
    audit: Arc<AuditTrail>,
    keeper: Arc<BundleKeeper>,
    clock: WallClock,
}

/// The record in force as read from the store, with its verified key ring.
struct VerifiedCurrent {
    stored: StoredRecord<CurrentRecord>,
    ring: KeyRing,
}

impl BundleManager {
    /// Creates a manager that works on `records` and passes its own changes to `keeper`.
    pub fn new(
        records: Arc<Records>,
        trust: Trust,
        audit: Arc<AuditTrail>,
        keeper: Arc<BundleKeeper>,
        clock: WallClock,
    ) -> Self {
        Self {
            records,
            trust,
            audit,
            keeper,
            clock,
        }
    }

    /// Returns the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Reads the record in force and verifies its key ring.
    async fn read_verified(&self) -> Result<VerifiedCurrent, BundleError> {
        let stored: StoredRecord<CurrentRecord> =
            self.records.read(CURRENT).await?.ok_or_else(|| {
                BundleError::NotFound(format!("key ring of site {}", self.trust.site))
            })?;
        let ring = self.trust.verify_ring(&stored.value.ring)?;
        Ok(VerifiedCurrent { stored, ring })
    }

    /// Returns the release of a version, which is in force or in the history.
    async fn release_of(
        &self,
        current: &CurrentRecord,
        version: Version,
    ) -> Result<Release, BundleError> {
        if let Some(release) = &current.release
            && release.version == version
        {
            return Ok(release.clone());
        }
        let stored: Option<StoredRecord<Release>> = self.records.read(&history(version)).await?;
        stored
            .map(|stored| stored.value)
            .ok_or_else(|| BundleError::NotFound(format!("bundle version {version}")))
    }

    /// Appends an attempted change to the audit trail. If this fails, the change must not be made.
    async fn record_attempt(&self, draft: &AuditDraft) -> Result<(), BundleError> {
        let noted = self.audit.append(draft).await;
        noted.map_err(|err| BundleError::Unavailable(format!("audit trail: {err}")))
    }

    /// Appends the outcome of a change to the audit trail and returns `result`. A failed append is
    /// only logged.
    async fn record_outcome<T>(
        &self,
        mut draft: AuditDraft,
        result: Result<T, BundleError>,
    ) -> Result<T, BundleError> {
        let outcome = match &result {
            Ok(_) => Some(AuditOutcome::Done),
            Err(BundleError::Conflict(_)) => Some(AuditOutcome::Conflict),
            Err(BundleError::Unknown { .. }) => Some(AuditOutcome::Unknown),
            Err(BundleError::Refused(_) | BundleError::Forbidden(_)) => Some(AuditOutcome::Refused),
            Err(_) if draft.outcome == AuditOutcome::Attempted => Some(AuditOutcome::Refused),
            Err(_) => None,
        };
        let Some(outcome) = outcome else {
            return result;
        };
        draft.outcome = outcome;
        if let Err(err) = &result {
            draft.detail = err.to_string();
        }
        if let Err(err) = self.audit.append(&draft).await {
            tracing::warn!(
                %err,
                subject = draft.subject,
                "audit trail lacks the outcome of a change"
            );
        }
        result
    }
}

impl VerifiedCurrent {
    fn current(&self) -> &CurrentRecord {
        &self.stored.value
    }

    /// Returns an operator, or an error if the operator does not have the role.
    fn operator(&self, who: &OperatorId, role: Role) -> Result<&OperatorRecord, BundleError> {
        let found = self.ring.operator(who);
        found
            .filter(|operator| operator.may(role))
            .ok_or_else(|| BundleError::Forbidden(format!("{who} does not have the role {role}")))
    }
}

/// Checks that an operator may make all of the changes; shared settings require `all_teams`.
fn check_scope(operator: &OperatorRecord, changes: &[Change]) -> Result<(), BundleError> {
    let out_of_scope = changes.iter().find(|change| {
        !change
            .team()
            .map_or(operator.all_teams, |team| operator.may_change(&team))
    });
    match out_of_scope {
        None => Ok(()),
        Some(change) => Err(BundleError::Forbidden(format!(
            "{} may not change [{}] {}",
            operator.name, change.section, change.key
        ))),
    }
}
