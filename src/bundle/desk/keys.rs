//! Changes of the key ring, in the same record as the bundle in force.

use super::BundleDesk;
use crate::audit::AuditDraft;
use crate::prelude::*;
use crate::provider::Expected;
use crate::records::{CURRENT, Held, Written};
use crate::schema::config::{
    AuditAction, AuditOutcome, CurrentRecord, KeyRing, RingRequest, RingView, Role,
};

impl BundleDesk {
    /// Replaces the key ring by one that a root key signed.
    ///
    /// The root signature authenticates the change; `who` names the operator if one is known.
    pub async fn change_ring(
        &self,
        who: Option<&OperatorId>,
        req: RingRequest,
    ) -> Result<RingView, BundleError> {
        let ring = self.trust.open(&req.ring).map_err(|err| match err {
            BundleError::Untrusted(reason) => BundleError::Forbidden(reason),
            err => err,
        })?;
        let held: Option<Held<CurrentRecord>> = self.records.read(CURRENT).await?;
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
            version: held.as_ref().map(|held| held.value.version),
            outcome: AuditOutcome::Done,
            detail: req.change.clone(),
        };
        if let Err(err) = self.check_ring(who, held.as_ref(), &ring) {
            return self.finish(draft, Err(err)).await;
        }
        draft.outcome = AuditOutcome::Attempted;
        self.begin(&draft).await?;
        let result = self.commit_ring(by, held, req).await;
        self.finish(draft, result).await
    }

    fn check_ring(
        &self,
        who: Option<&OperatorId>,
        held: Option<&Held<CurrentRecord>>,
        next: &KeyRing,
    ) -> Result<(), BundleError> {
        let Some(held) = held else {
            if next.serial != 1 {
                return Err(BundleError::Refused(
                    "the first key ring must have serial 1".to_string(),
                ));
            }
            return Ok(());
        };
        let ring = self.trust.open(&held.value.ring)?;
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
                who: held.value.ring_changed_by.clone(),
                what: format!("key ring {}", ring.serial),
                at: held.value.ring_changed_at,
                version: held.value.version,
            }));
        }
        ring.check_successor(next, held.value.version)
    }

    async fn commit_ring(
        &self,
        by: OperatorId,
        held: Option<Held<CurrentRecord>>,
        req: RingRequest,
    ) -> Result<RingView, BundleError> {
        let (expected, seen, release) = match held {
            Some(held) => (
                Expected::At(held.revision),
                held.value.version,
                held.value.release,
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
            Written::Done(_) => self.apply(&next),
            Written::Conflict { found, after_loss } => {
                let found = found.ok_or_else(|| BundleError::NotFound(CURRENT.to_string()))?;
                if after_loss && found.value.ring != next.ring {
                    return Err(BundleError::Unknown {
                        key: CURRENT.to_string(),
                        reason: "an answer was lost and others changed the record".to_string(),
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
