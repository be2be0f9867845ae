//! The member record and the changes that a compare-and-swap may write to it.

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

    /// Creates the record of a region without members, from which the first member joins.
    pub fn empty(epoch: Epoch, writer: WriterToken) -> Self {
        Self::new(MemberRecord {
            epoch,
            members: Vec::new(),
            changes: Vec::new(),
            writer,
        })
    }

    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    pub fn epoch(&self) -> Epoch {
        self.record.epoch
    }

    /// Returns the members in the order in which they joined.
    pub fn members(&self) -> &[Member] {
        &self.record.members
    }

    /// Returns the member with an id, if it is listed.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.record.members.iter().find(|member| member.id == *id)
    }

    /// Returns the members whose VM and peer address belong to a member that joined later.
    ///
    /// Two processes cannot listen on the same address, so the earlier one has exited.
    pub fn replaced(&self) -> BTreeSet<MemberId> {
        let mut holders: BTreeMap<(&VmId, &str), &MemberId> = BTreeMap::new();
        self.record
            .members
            .iter()
            .filter_map(|member| holders.insert((&member.vm, &member.address), &member.id))
            .cloned()
            .collect()
    }

    /// Returns the views of all epochs that some member may still be in, oldest first.
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

    /// Builds the record of the next epoch.
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

    /// Returns the newest epoch that removed a process, if the record still holds that change.
    ///
    /// While it does, requests of the removed process may still be in flight.
    pub fn removal_epoch(&self, id: &MemberId) -> Option<Epoch> {
        let mut changes = self.record.changes.iter().rev();
        changes
            .find(|change| change.removed.contains(id))
            .map(|change| change.epoch)
    }

    /// Drops the changes of epochs up to `epoch`, which no member needs any more.
    pub fn prune(&mut self, epoch: Epoch) {
        self.record.changes.retain(|change| change.epoch > epoch);
    }
}

fn view(epoch: Epoch, ids: &BTreeSet<MemberId>) -> MemberView {
    MemberView::new(epoch, ids.iter().cloned().collect())
}
