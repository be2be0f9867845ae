//! Changes of the key ring, which is stored in the same record as the bundle in force.

use super::BundleManager;
use crate::audit::AuditDraft;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{CURRENT, StoredRecord, WriteOutcome};
use crate::schema::config::{
    AuditAction, AuditOutcome, CurrentRecord, KeyRing, RingRequest, RingView, Role,
};

impl BundleManager {
    /// Replaces the key ring with one that is signed by a root key.
    ///
    /// The root signature authenticates the change. `who` is the operator who sent it; `None` if
    /// the call had no token, as before the first key ring.
    pub async fn change_ring(
        &self,
        who: Option<&OperatorId>,
        req: RingRequest,
    ) -> Result<RingView, BundleError> {
        let ring = self.trust.verify_ring(&req.ring).map_err(|err| match err {
            BundleError::Untrusted(reason) => BundleError::Forbidden(reason),
            err => err,
        })?;
        let stored: Option<StoredRecord<CurrentRecord>> = self.records.read(CURRENT).await?;
        let by = match who {
            Some(who) => who.clone(),
            None => format!("root:{}", req.ring.root)
                .parse()
                .unwrap_or_default(),
        };
        let mut draft = AuditDraft {
            who: by.clone(),
            action: AuditAction::ChangeKeys,
            subject: format!("key ring {}", ring.serial),
            version: stored.as_ref().map(|stored| stored.value.version),
            outcome: AuditOutcome::Done,
            detail: req.change.clone(),
        };
        if let Err(err) = self.check_ring(who, stored.as_ref(), &ring) {
            return self.record_outcome(draft, Err(err)).await;
        }
        draft.outcome = AuditOutcome::Attempted;
        self.record_attempt(&draft).await?;
        let result = self.commit_ring(by, stored, req).await;
        self.record_outcome(draft, result).await
    }

    fn check_ring(
        &self,
        who: Option<&OperatorId>,
        stored: Option<&StoredRecord<CurrentRecord>>,
        next: &KeyRing,
    ) -> Result<(), BundleError> {
        let Some(stored) = stored else {
            if next.serial != 1 {
                return Err(BundleError::Refused(
                    "the first key ring must have serial 1".to_string(),
                ));
            }
            return Ok(());
        };
        let ring = self.trust.verify_ring(&stored.value.ring)?;
        if let Some(who) = who
            && !ring.operator(who).is_some_and(|op| op.may(Role::Keys))
        {
            return Err(BundleError::Forbidden(format!(
                "{who} does not have the role {}",
                Role::Keys
            )));
        }
        if next.serial <= ring.serial {
            return Err(BundleError::Conflict(OtherChange {
                who: stored.value.ring_changed_by.clone(),
                what: format!("key ring {}", ring.serial),
                at: stored.value.ring_changed_at,
                version: stored.value.version,
            }));
        }
        ring.check_successor(next, stored.value.version)
    }

    async fn commit_ring(
        &self,
        by: OperatorId,
        stored: Option<StoredRecord<CurrentRecord>>,
        req: RingRequest,
    ) -> Result<RingView, BundleError> {
        let (expected, seen, release) = match stored {
            Some(stored) => (
                Expected::At(stored.revision),
                stored.value.version,
                stored.value.release,
            ),
            None => (Expected::Absent, Version(0), None),
        };
        let next = CurrentRecord {
            writer: self.records.token(),
            version: seen,
            ring: req.ring,
            ring_changed_by: by,
            ring_changed_at: (self.clock)(),
            release,
        };
        match self.records.write(CURRENT, expected, &next).await? {
            WriteOutcome::Done(_) => self.apply(&next),
            WriteOutcome::Conflict { found, after_loss } => {
                let found = found.ok_or_else(|| BundleError::NotFound(CURRENT.to_string()))?;
                if after_loss && found.value.ring != next.ring {
                    return Err(BundleError::Unknown {
                        key: CURRENT.to_string(),
                        reason: "a response was lost and another process changed the record"
                            .to_string(),
                    });
                }
                if !after_loss {
                    return Err(BundleError::Conflict(found.value.change_since(seen)));
                }
            }
        }
        Ok(RingView {
            site: self.trust.site.clone(),
            version: next.version,
            ring: Some(next.ring),
        })
    }
}
