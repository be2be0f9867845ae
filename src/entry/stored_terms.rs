//! What the store keeps of the terms of leaders for their successors.

use super::config_watch::GET_TIMEOUT;
use super::keys::TERMS;
use super::shared::{LeaderInfo, Shared};
use crate::prelude::*;
use crate::scheduler::{SilentWorker, Timing};

/// A claim of the leader key that may have become a term whose leases have not ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct StoredTerm {
    /// Who claimed, and by which claim.
    pub leader: LeaderInfo,
    /// The leader has handed over: it granted no lease after the write that says so.
    pub is_handed_over: bool,
}

/// Terms as they are stored.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Terms {
    /// Claims in their order; the last one is the present leader's, or the last leader's.
    pub claims: Vec<StoredTerm>,
    /// Workers that do not answer.
    pub silent: Vec<SilentWorker>,
    /// Time from the write by which the leases of leaders that are not named have ended.
    pub unnamed_expire_in: Millis,
}

impl Terms {
    /// Returns what is known if no terms can be read: any leader may have been there.
    fn unknown(timing: &Timing) -> Self {
        Self {
            unnamed_expire_in: timing.former_leases,
            ..Self::default()
        }
    }
}

/// Stored terms with the revision of their last write.
#[derive(Clone, Debug)]
pub(super) struct StoredTerms {
    pub terms: Terms,
    /// Revision of the item; 0 if there is none.
    pub revision: u64,
}

impl StoredTerms {
    /// Reads the terms. Nobody writes them while there is no leader.
    pub async fn read(shared: &Shared) -> Result<Self, StoreError> {
        let read = shared.store.get(TERMS, GET_TIMEOUT).await;
        shared.record_store_call("get", &read);
        let (Some(item), _) = read? else {
            return Ok(Self {
                terms: Terms::unknown(&shared.cfg.timing),
                revision: 0,
            });
        };
        let terms = rmp_serde::from_slice(&item.value).unwrap_or_else(|err| {
            tracing::error!(revision = item.revision, %err, "stored terms are invalid; all leases count as long as a former leader can renew them");
            Terms::unknown(&shared.cfg.timing)
        });
        Ok(Self {
            terms,
            revision: item.revision,
        })
    }

    /// Returns the terms with one more claim.
    pub fn followed_by(&self, leader: LeaderInfo) -> Terms {
        let mut terms = self.terms.clone();
        terms.claims.push(StoredTerm {
            leader,
            is_handed_over: false,
        });
        terms
    }
}
