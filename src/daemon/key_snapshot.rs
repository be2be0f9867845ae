//! Assignment of idempotency keys to members in one epoch.

use std::collections::BTreeMap;

use crate::dedup::KeyView;
use crate::membership::MemberView;
use crate::peer::ViewSnapshot;
use crate::prelude::*;

/// Members of one epoch with their zones, from which the holders of a key are chosen.
pub(super) struct KeySnapshot {
    view: MemberView,
    zones: BTreeMap<MemberId, ZoneId>,
}

impl KeySnapshot {
    pub(super) fn new(snapshot: &ViewSnapshot) -> Self {
        let ids = snapshot
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        let zones = snapshot
            .members
            .iter()
            .map(|member| (member.id.clone(), member.zone.clone()))
            .collect();
        Self {
            view: MemberView::new(snapshot.epoch, ids),
            zones,
        }
    }
}

impl KeyView for KeySnapshot {
    fn epoch(&self) -> Epoch {
        self.view.epoch()
    }

    fn members(&self) -> Vec<MemberId> {
        self.view.ids().to_vec()
    }

    fn holders(&self, key: &str) -> Vec<MemberId> {
        self.view.key_holders(key, |id| self.zones.get(id))
    }
}
