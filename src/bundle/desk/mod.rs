//! What operators do with bundles and keys, carried out on the store.

mod decide;
mod keys;
mod propose;
mod views;

use super::{BundleKeeper, Trust};
use crate::audit::{AuditDraft, AuditTrail};
use crate::prelude::*;
use crate::provider::WallClock;
use crate::records::{CURRENT, Held, Records, Stored, history};
use crate::schema::config::{
    AuditOutcome, Change, CurrentRecord, KeyRing, OperatorRecord, Proposal, Release, Role,
};

impl Stored for CurrentRecord {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

impl Stored for Proposal {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

impl Stored for Release {
    /// A release never changes; whoever archives it writes the same content.
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Carries out the operators' verbs.
///
/// Every change reads `bundle/current` from the store and decides by the key ring in it, so a
/// revocation takes effect for changes at once.
pub struct BundleDesk {
    records: Arc<Records>,
    trust: Trust,
    audit: Arc<AuditTrail>,
    keeper: Arc<BundleKeeper>,
    clock: WallClock,
}

/// The record in force with its verified key ring.
struct Standing {
    held: Held<CurrentRecord>,
    ring: KeyRing,
}

impl BundleDesk {
    /// Works on `records` and tells `keeper` of its own changes.
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

    async fn standing(&self) -> Result<Standing, BundleError> {
        let held: Held<CurrentRecord> = self.records.read(CURRENT).await?.ok_or_else(|| {
            BundleError::NotFound(format!("key ring of site {}", self.trust.site))
        })?;
        let ring = self.trust.open(&held.value.ring)?;
        Ok(Standing { held, ring })
    }

    /// Reads the release of a version, in force or in the history.
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
        let held: Option<Held<Release>> = self.records.read(&history(version)).await?;
        held.map(|held| held.value)
            .ok_or_else(|| BundleError::NotFound(format!("bundle version {version}")))
    }

    /// Notes that a change is about to be made; without the note the change is not made.
    async fn begin(&self, draft: &AuditDraft) -> Result<(), BundleError> {
        let noted = self.audit.append(draft).await;
        noted.map_err(|err| BundleError::Unavailable(format!("audit trail: {err}")))
    }

    /// Notes how a change ended.
    async fn finish<T>(
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
            tracing::warn!(%err, subject = draft.subject, "audit trail lacks an outcome");
        }
        result
    }
}

impl Standing {
    fn current(&self) -> &CurrentRecord {
        &self.held.value
    }

    /// Finds an operator who has a role.
    fn operator(&self, who: &OperatorId, role: Role) -> Result<&OperatorRecord, BundleError> {
        let found = self.ring.operator(who);
        found
            .filter(|operator| operator.may(role))
            .ok_or_else(|| BundleError::Forbidden(format!("{who} does not have the role {role}")))
    }
}

/// Checks that an operator may change everything that a proposal changes.
fn check_scope(operator: &OperatorRecord, changes: &[Change]) -> Result<(), BundleError> {
    let beyond = changes.iter().find(|change| {
        !change
            .team()
            .map_or(operator.all_teams, |team| operator.may_change(&team))
    });
    match beyond {
        None => Ok(()),
        Some(change) => Err(BundleError::Forbidden(format!(
            "{} may not change [{}] {}",
            operator.name, change.section, change.key
        ))),
    }
}
