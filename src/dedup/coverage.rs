//! Decides whether earlier copies of a keyed request can be excluded after membership changes.

use std::collections::BTreeSet;

use super::KeyView;
use crate::prelude::*;

/// Epoch of the first member record of a region; no key was recorded before it.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Removed members from which on both holders of some key may be gone.
const HOLDERS_PER_KEY: u32 = 2;

/// Whether a holder knows every earlier use of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageStatus {
    /// All records of the key are here.
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

struct Change {
    view: Arc<dyn KeyView>,
    at: Millis,
    received: BTreeSet<MemberId>,
    /// Most members lost at one epoch according to a hand-over.
    reported_lost: u32,
}

/// Membership changes within the retention and the hand-overs received for them.
pub struct Coverage {
    me: MemberId,
    retention: Millis,
    changes: Vec<Change>,
}

impl Coverage {
    /// Creates the coverage of a process that has just seen its first view.
    pub fn new(me: MemberId, retention: Millis, view: Arc<dyn KeyView>, now: Millis) -> Self {
        let mut coverage = Self {
            me,
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

    /// Takes a newer view into use; tells whether it is newer.
    pub fn adopt(&mut self, view: Arc<dyn KeyView>, now: Millis) -> bool {
        if self
            .view()
            .is_some_and(|current| current.epoch() >= view.epoch())
        {
            return false;
        }
        // The newest change that is older than the retention stays as the base of the next one.
        while self.changes.len() > 1 && now.since(self.changes[1].at) >= self.retention {
            self.changes.remove(0);
        }
        self.push(view, now);
        true
    }

    /// Notes that a member has handed over everything for an epoch.
    pub fn record_handover(&mut self, from: &MemberId, epoch: Epoch, settled: bool, lost: u32) {
        for change in &mut self.changes {
            if change.view.epoch() == epoch && settled {
                change.received.insert(from.clone());
                change.reported_lost = change.reported_lost.max(lost);
            }
        }
    }

    /// Tells whether this process knows every earlier use of the key.
    pub fn status(&self, key: &str, now: Millis) -> CoverageStatus {
        for (i, change) in self.changes.iter().enumerate().rev() {
            if now.since(change.at) >= self.retention {
                return CoverageStatus::Complete;
            }
            if i == 0 {
                return self.cover_first(change);
            }
            let old = self.changes[i - 1].view.holders(key);
            if old.iter().any(|member| change.received.contains(member)) {
                return CoverageStatus::Complete;
            }
            if old.contains(&self.me) {
                continue;
            }
            let until = change.at + self.retention;
            let members = change.view.members();
            return if old.iter().any(|member| members.contains(member)) {
                CoverageStatus::Waiting { until }
            } else {
                CoverageStatus::Lost { until }
            };
        }
        CoverageStatus::Complete
    }

    /// Tells whether this process missed no hand-over before the current view.
    pub fn is_settled(&self, now: Millis) -> bool {
        let current = self.changes.len() - 1;
        let mut earlier = self.recent(now).filter(|(i, _)| *i < current);
        earlier.all(|(i, change)| {
            let base = if i == 0 {
                change.view.epoch() <= FIRST_EPOCH
            } else {
                let old = self.changes[i - 1].view.members();
                self.all_received(change, &old)
            };
            base || self.all_received(change, &change.view.members())
        })
    }

    /// Returns the most members that were removed at one epoch within the retention.
    pub fn max_lost(&self, now: Millis) -> u32 {
        self.recent(now)
            .map(|(i, change)| {
                let lost = if i == 0 {
                    change.reported_lost
                } else {
                    let members = change.view.members();
                    let old = self.changes[i - 1].view.members();
                    let gone = old.iter().filter(|member| !members.contains(member));
                    u32::try_from(gone.count()).unwrap_or(u32::MAX)
                };
                lost.max(change.reported_lost)
            })
            .max()
            .unwrap_or(0)
    }

    fn push(&mut self, view: Arc<dyn KeyView>, now: Millis) {
        self.changes.push(Change {
            view,
            at: now,
            received: BTreeSet::new(),
            reported_lost: 0,
        });
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = (usize, &Change)> {
        self.changes
            .iter()
            .enumerate()
            .filter(move |(_, change)| now.since(change.at) < self.retention)
    }

    /// Judges the first view, before which this process does not know the members.
    fn cover_first(&self, change: &Change) -> CoverageStatus {
        if change.view.epoch() <= FIRST_EPOCH {
            return CoverageStatus::Complete;
        }
        let until = change.at + self.retention;
        let members = change.view.members();
        if members.len() <= 1 || change.reported_lost >= HOLDERS_PER_KEY {
            return CoverageStatus::Lost { until };
        }
        if self.all_received(change, &members) {
            return CoverageStatus::Complete;
        }
        CoverageStatus::Waiting { until }
    }

    fn all_received(&self, change: &Change, members: &[MemberId]) -> bool {
        let current = change.view.members();
        members
            .iter()
            .filter(|member| **member != self.me && current.contains(member))
            .all(|member| change.received.contains(member))
    }
}
