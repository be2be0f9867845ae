//! The member record and the edits that a compare-and-swap may make to it.

use std::collections::{BTreeMap, BTreeSet};

use super::MemberView;
use crate::prelude::*;
use crate::schema::peer::{Member, MemberChange, MemberRecord};

/// The member record of a region, as read from the store or from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberTable {
    record: MemberRecord,
}

impl MemberTable {
    /// Wraps a record.
    pub fn new(record: MemberRecord) -> Self {
        Self { record }
    }

    /// Returns the record of a region without members, as a base for the first join.
    pub fn empty(epoch: Epoch, writer: WriterToken) -> Self {
        Self::new(MemberRecord {
            epoch,
            members: Vec::new(),
            changes: Vec::new(),
            writer,
        })
    }

    /// Returns the record.
    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.record.epoch
    }

    /// Returns the members, earliest first.
    pub fn members(&self) -> &[Member] {
        &self.record.members
    }

    /// Returns one member.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.record.members.iter().find(|member| member.id == *id)
    }

    /// Returns the members whose VM and peer address a later member has bound.
    ///
    /// Two processes cannot listen on one address, so the earlier one has ended.
    pub fn replaced(&self) -> BTreeSet<MemberId> {
        let mut holders: BTreeMap<(&VmId, &str), &MemberId> = BTreeMap::new();
        self.record
            .members
            .iter()
            .filter_map(|member| holders.insert((&member.vm, &member.address), &member.id))
            .cloned()
            .collect()
    }

    /// Returns the views of all epochs that a member may still be in, oldest first.
    pub fn views(&self) -> Vec<MemberView> {
        let mut ids: BTreeSet<MemberId> = self
            .record
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        let mut views = vec![view(self.record.epoch, &ids)];
        for change in self.record.changes.iter().rev() {
            for id in &change.joined {
                ids.remove(id);
            }
            ids.extend(change.removed.iter().chain(&change.left).cloned());
            views.push(view(change.epoch.saturating_sub(Epoch(1)), &ids));
        }
        views.reverse();
        views
    }

    /// Returns the record of the next epoch.
    pub fn next(
        &self,
        joining: &[Member],
        removed: &BTreeSet<MemberId>,
        left: Option<&MemberId>,
        writer: WriterToken,
    ) -> Self {
        let mut record = self.record.clone();
        let known: BTreeSet<MemberId> = record.members.iter().map(|m| m.id.clone()).collect();
        let joining: Vec<Member> = joining
            .iter()
            .filter(|member| !known.contains(&member.id))
            .cloned()
            .collect();
        record.epoch = record.epoch.saturating_add(Epoch(1));
        let stays = |id: &MemberId| !removed.contains(id) && left != Some(id);
        record.members.retain(|member| stays(&member.id));
        record.changes.push(MemberChange {
            epoch: record.epoch,
            joined: joining.iter().map(|member| member.id.clone()).collect(),
            removed: known.intersection(removed).cloned().collect(),
            left: left.into_iter().cloned().collect(),
        });
        record.members.extend(joining);
        record.writer = writer;
        Self { record }
    }

    /// Returns the epoch that removed a process last, if its requests may be in progress.
    pub fn removal_of(&self, id: &MemberId) -> Option<Epoch> {
        let mut changes = self.record.changes.iter().rev();
        changes
            .find(|change| change.removed.contains(id))
            .map(|change| change.epoch)
    }

    /// Drops the changes that led to epochs up to `epoch`, which no member needs any more.
    pub fn prune(&mut self, epoch: Epoch) {
        self.record.changes.retain(|change| change.epoch > epoch);
    }
}

fn view(epoch: Epoch, ids: &BTreeSet<MemberId>) -> MemberView {
    MemberView::new(epoch, ids.iter().cloned().collect())
}
