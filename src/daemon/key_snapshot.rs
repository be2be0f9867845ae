//! Holders of idempotency keys in one epoch.

use std::collections::BTreeMap;

use crate::dedup::KeyView;
use crate::membership::{Domain, MemberView};
use crate::peer::ViewNews;
use crate::prelude::*;

/// The key holders of the members of one epoch.
pub(super) struct KeySnapshot {
    view: MemberView,
    zones: BTreeMap<MemberId, ZoneId>,
}

impl KeySnapshot {
    pub(super) fn new(news: &ViewNews) -> Self {
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
        let ranked = self.view.best(Domain::Key, key, self.view.ids().len());
        let Some((home, rest)) = ranked.split_first() else {
            return Vec::new();
        };
        let zone = |id: &MemberId| self.zones.get(id);
        let other_zone = rest.iter().find(|id| zone(id) != zone(home));
        std::iter::once(home)
            .chain(other_zone.or(rest.first()))
            .map(|id| (*id).clone())
            .collect()
    }
}
