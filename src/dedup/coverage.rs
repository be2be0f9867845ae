//! Tracks whether a holder knows all earlier uses of a key after membership changes.

use std::collections::BTreeSet;

use super::KeyView;
use crate::prelude::*;

/// Epoch of the first member record of a region. No key was recorded before it.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Holders of each key. If this many members are removed at once, all holders of a key may be
/// lost.
const HOLDERS_PER_KEY: u32 = 2;

/// Whether a holder knows every earlier use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageStatus {
    /// This process has all records of the key.
    Complete,
    /// A surviving holder has not handed its records over yet.
    Waiting {
        /// Time at which all earlier records will have expired.
        until: Millis,
    },
    /// All earlier holders were lost at once.
    Lost {
        /// Time at which all earlier records will have expired.
        until: Millis,
    },
}

struct ViewChange {
    view: Arc<dyn KeyView>,
    adopted_at: Millis,
    /// Members whose handover for this view is complete.
    received: BTreeSet<MemberId>,
    /// Largest number of members lost at one epoch that a handover reported.
    reported_lost: u32,
}

/// Membership changes within the retention and the handovers received for them.
pub struct Coverage {
    local_member: MemberId,
    retention: Millis,
    changes: Vec<ViewChange>,
}

impl Coverage {
    /// Creates the coverage of a process that adopts its first view at `now`.
    pub fn new(
        local_member: MemberId,
        retention: Millis,
        view: Arc<dyn KeyView>,
        now: Millis,
    ) -> Self {
        let mut coverage = Self {
            local_member,
            retention,
            changes: Vec::new(),
        };
        coverage.push(view, now);
        coverage
    }

    /// Returns the view in use.
    pub fn view(&self) -> Option<&Arc<dyn KeyView>> {
        self.changes.last().map(|change| &change.view)
    }

    /// Adopts a view and returns `true` if it is newer than the current one.
    pub fn adopt(&mut self, view: Arc<dyn KeyView>, now: Millis) -> bool {
        if self
            .view()
            .is_some_and(|current| current.epoch() >= view.epoch())
        {
            return false;
        }
        // The newest change that is older than the retention is kept, since it names the earlier
        // holders for the next one.
        while self.changes.len() > 1 && now.since(self.changes[1].adopted_at) >= self.retention {
            self.changes.remove(0);
        }
        self.push(view, now);
        true
    }

    /// Records that a member has handed over all its records for an epoch.
    ///
    /// The handover counts only if the member itself is settled.
    pub fn record_handover(&mut self, from: &MemberId, epoch: Epoch, settled: bool, lost: u32) {
        for change in &mut self.changes {
            if change.view.epoch() == epoch && settled {
                change.received.insert(from.clone());
                change.reported_lost = change.reported_lost.max(lost);
            }
        }
    }

    /// Returns whether this process knows every earlier use of a key that it holds.
    pub fn status_of(&self, key: &str, now: Millis) -> CoverageStatus {
        for (i, change) in self.changes.iter().enumerate().rev() {
            if now.since(change.adopted_at) >= self.retention {
                return CoverageStatus::Complete;
            }
            if i == 0 {
                return self.first_view_status(change);
            }
            let old = self.changes[i - 1].view.holders(key);
            if old.iter().any(|member| change.received.contains(member)) {
                return CoverageStatus::Complete;
            }
            if old.contains(&self.local_member) {
                continue;
            }
            let until = change.adopted_at + self.retention;
            let members = change.view.members();
            return if old.iter().any(|member| members.contains(member)) {
                CoverageStatus::Waiting { until }
            } else {
                CoverageStatus::Lost { until }
            };
        }
        CoverageStatus::Complete
    }

    /// Returns whether all handovers for the views before the current one have arrived.
    pub fn is_settled(&self, now: Millis) -> bool {
        let current = self.changes.len() - 1;
        let mut earlier = self.recent(now).filter(|(i, _)| *i < current);
        earlier.all(|(i, change)| {
            let all_known = if i == 0 {
                change.view.epoch() <= FIRST_EPOCH
            } else {
                let old = self.changes[i - 1].view.members();
                self.all_received(change, &old)
            };
            all_known || self.all_received(change, &change.view.members())
        })
    }

    /// Returns the largest number of members that were removed at one epoch within the retention.
    pub fn max_lost(&self, now: Millis) -> u32 {
        self.recent(now)
            .map(|(i, change)| {
                let lost = if i == 0 {
                    change.reported_lost
                } else {
                    let members = change.view.members();
                    let old = self.changes[i - 1].view.members();
                    let removed = old.iter().filter(|member| !members.contains(member));
                    u32::try_from(removed.count()).unwrap_or(u32::MAX)
                };
                lost.max(change.reported_lost)
            })
            .max()
            .unwrap_or(0)
    }

    fn push(&mut self, view: Arc<dyn KeyView>, now: Millis) {
        self.changes.push(ViewChange {
            view,
            adopted_at: now,
            received: BTreeSet::new(),
            reported_lost: 0,
        });
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = (usize, &ViewChange)> {
        self.changes
            .iter()
            .enumerate()
            .filter(move |(_, change)| now.since(change.adopted_at) < self.retention)
    }

    /// Returns the status under the first view. The members before it are unknown here.
    fn first_view_status(&self, change: &ViewChange) -> CoverageStatus {
        if change.view.epoch() <= FIRST_EPOCH {
            return CoverageStatus::Complete;
        }
        let until = change.adopted_at + self.retention;
        let members = change.view.members();
        if members.len() <= 1 || change.reported_lost >= HOLDERS_PER_KEY {
            return CoverageStatus::Lost { until };
        }
        if self.all_received(change, &members) {
            return CoverageStatus::Complete;
        }
        CoverageStatus::Waiting { until }
    }

    fn all_received(&self, change: &ViewChange, members: &[MemberId]) -> bool {
        let current = change.view.members();
        members
            .iter()
            .filter(|member| **member != self.local_member && current.contains(member))
            .all(|member| change.received.contains(member))
    }
}
