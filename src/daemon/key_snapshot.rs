//! Holders of idempotency keys in one epoch.

use std::collections::BTreeMap;

use crate::dedup::KeyView;
use crate::membership::MemberView;
use crate::peer::ViewSnapshot;
use crate::prelude::*;

/// The key holders of the members of one epoch.
pub(super) struct KeySnapshot {
    view: MemberView,
    zones: BTreeMap<MemberId, ZoneId>,
}

impl KeySnapshot {
    pub(super) fn new(news: &ViewSnapshot) -> Self {
        let ids = news
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        let zones = news
            .members
            .iter()
            .map(|member| (member.id.clone(), member.zone.clone()))
            .collect();
        Self {
            view: MemberView::new(news.epoch, ids),
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
