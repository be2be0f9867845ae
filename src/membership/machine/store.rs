//! Calls to the store about the lease and the member record.

use std::collections::BTreeSet;

use super::Membership;
use crate::membership::lease::{Fence, LeaseCall};
use crate::membership::peer_state::PeerState;
use crate::membership::{MemberTable, Output};
use crate::prelude::*;
use crate::schema::peer::{Member, MemberRecord};

/// Delay after a failed call about the record.
const RETRY_DELAY: Millis = Millis(500);

/// Longest wait of a new process until the VM list shows its VM.
const MAX_LISTING_WAIT: Millis = Millis(15_000);

/// Shortest interval between reads of the record.
const READ_INTERVAL: Millis = Millis(200);

/// Largest delay after a write conflict, in milliseconds. Each member waits a different part of it.
const MAX_CONFLICT_DELAY_MS: u64 = 200;

/// A call about the record that has no response yet.
pub(super) enum RecordCall {
    /// Reads the record and the entries.
    Reading,
    /// Writes this record.
    Writing(MemberTable),
}

impl Membership {
    pub(super) fn renew_lease(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.leaving && self.is_idle() {
            return;
        }
        if self.lease.is_new() && self.awaits_listing(now) {
            return;
        }
        let quorum = self.has_quorum(now);
        match self.lease.next_call(&self.timing, quorum, now) {
            Some(LeaseCall::Create { .. }) => out.push(self.create_lease()),
            Some(LeaseCall::Renew) => out.push(Output::RenewLease),
            None => {}
        }
    }

    pub(super) fn lease_expired(&mut self, now: Millis, out: &mut Vec<Output>) {
        let quorum = self.has_quorum(now);
        self.lease.expired(quorum, now);
        out.push(self.create_lease());
    }

    /// Returns whether this process waits until the VM list shows its VM.
    ///
    /// The termination of a VM that was never listed cannot be detected, so its member could not be
    /// removed on that ground.
    fn awaits_listing(&mut self, now: Millis) -> bool {
        let started = *self.started.get_or_insert(now);
        now.since(started) < MAX_LISTING_WAIT && self.vms.may_list_later(&self.me.vm, &self.region)
    }

    fn create_lease(&mut self) -> Output {
        self.me.listed = self.vms.vms().contains_key(&self.me.vm);
        Output::CreateLease(self.me.clone())
    }

    /// Reads the record if this process has to join it, leave it or raise the epoch, or if the
    /// outcome of a write is unknown.
    pub(super) fn maintain_record(&mut self, now: Millis, out: &mut Vec<Output>) {
        let joins = self.lease.fence() != Fence::Open && self.lease.is_valid(&self.timing, now);
        let leaves = self.leaving && self.is_member() && self.is_idle();
        let ack_withheld = !self.leaving && self.is_ack_withheld(now);
        if self.write_in_doubt || (joins && !self.leaving) || leaves || ack_withheld {
            self.read_record(now, out);
        }
        if self.leaving && !self.is_member() {
            out.push(Output::Left);
        }
    }

    pub(super) fn read_record(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.record_call.is_some() || now < self.next_read {
            return;
        }
        self.record_call = Some(RecordCall::Reading);
        let leave = self.leaving && self.is_idle();
        out.push(Output::ReadRecord { leave });
    }

    pub(super) fn record_read(
        &mut self,
        started: Millis,
        found: Option<(MemberRecord, Revision)>,
        entries: &[Member],
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.record_call = None;
        self.next_read = now + READ_INTERVAL;
        self.write_in_doubt = false;
        let revision = found.as_ref().map(|(_, revision)| *revision);
        let table = match found {
            Some((record, _)) => MemberTable::new(record),
            None => MemberTable::empty(self.epoch(), self.token()),
        };
        self.lease.record_read(started, table.epoch());
        if table.epoch() > self.epoch() {
            self.adopt(table.clone(), now, out);
        }
        let live: BTreeSet<MemberId> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.check_suspects(&live, now);
        if let Some(next) = self.build_change(&table, entries, &live, started, now) {
            out.push(Output::WriteRecord(revision, next.record().clone()));
            self.record_call = Some(RecordCall::Writing(next));
        }
    }

    /// Builds the next record if the one that was read has to change.
    fn build_change(
        &mut self,
        table: &MemberTable,
        entries: &[Member],
        live: &BTreeSet<MemberId>,
        started: Millis,
        now: Millis,
    ) -> Option<MemberTable> {
        if self.leaving {
            table.member(&self.me.id)?;
            let idle = self.is_idle();
            return idle.then(|| self.next_table(table, &[], &BTreeSet::new(), now));
        }
        let missing = table.member(&self.me.id).is_none();
        let raises_epoch = live.contains(&self.me.id)
            && match self.lease.fence() {
                Fence::Fresh => missing,
                Fence::Above(floor) => missing || table.epoch() <= floor,
                Fence::Open => self.ack_withheld_in == Some(table.epoch()),
                Fence::Closed => false,
            };
        let removable = self.removable(table, live, started, now);
        if !raises_epoch && removable.is_empty() {
            return None;
        }
        let joining = self.admissible(table, entries);
        Some(self.next_table(table, &joining, &removable, now))
    }

    /// Returns the processes that this one may add to the record, itself included.
    ///
    /// Of two processes with the same address, the one that joined later is the running one. Each of
    /// them must therefore join by its own write, which fails if the other one was first.
    fn admissible(&self, table: &MemberTable, entries: &[Member]) -> Vec<Member> {
        let shares_address = |entry: &Member, other: &Member| {
            other.id != entry.id && other.vm == entry.vm && other.address == entry.address
        };
        entries
            .iter()
            .filter(|entry| {
                let mut others = entries.iter().chain(table.members());
                entry.id == self.me.id || !others.any(|other| shares_address(entry, other))
            })
            .cloned()
            .collect()
    }

    fn next_table(
        &mut self,
        table: &MemberTable,
        joining: &[Member],
        removed: &BTreeSet<MemberId>,
        now: Millis,
    ) -> MemberTable {
        self.write_count += 1;
        let left = self.leaving.then_some(&self.me.id);
        let mut next = table.next(joining, removed, left, self.token());
        next.prune(self.prunable_epoch(&next, now));
        next
    }

    fn token(&self) -> WriterToken {
        format!("{}:{}", self.me.id, self.write_count)
            .parse()
            .unwrap_or_default()
    }

    /// Returns the newest epoch up to which changes can be pruned from the record.
    ///
    /// Every member has drained this epoch, and all requests of members that were removed up to it
    /// have ended.
    fn prunable_epoch(&self, next: &MemberTable, now: Millis) -> Epoch {
        let drained = next
            .members()
            .iter()
            .map(|member| self.drained_of(&member.id))
            .min()
            .unwrap_or(Epoch(0));
        next.record()
            .changes
            .iter()
            .take_while(|change| {
                change.epoch <= drained
                    && (change.removed.is_empty() || self.has_removal_ended(change.epoch, now))
            })
            .map(|change| change.epoch)
            .last()
            .unwrap_or(Epoch(0))
    }

    /// Returns whether the requests in flight of members removed by `epoch` have certainly ended.
    pub(super) fn has_removal_ended(&self, epoch: Epoch, now: Millis) -> bool {
        self.removal_ends(epoch).is_some_and(|ends| now >= ends)
    }

    /// Returns the time at which the requests of members removed by `epoch` have certainly ended.
    pub(super) fn removal_ends(&self, epoch: Epoch) -> Option<Millis> {
        let (_, at) = self.adopted.range(epoch..).next()?;
        let longest_request = self
            .timing
            .request_deadline
            .scale_permille(self.timing.clock_rate_permille);
        Some(*at + longest_request)
    }

    pub(super) fn record_failed(&mut self, now: Millis) {
        self.record_call = None;
        self.next_read = now + RETRY_DELAY;
    }

    pub(super) fn write_left_in_doubt(&mut self, now: Millis) {
        self.record_failed(now);
        self.write_in_doubt = true;
    }

    pub(super) fn record_written(&mut self, now: Millis, out: &mut Vec<Output>) {
        if let Some(RecordCall::Writing(next)) = self.record_call.take() {
            self.adopt(next, now, out);
        }
    }

    pub(super) fn record_conflict(
        &mut self,
        found: Option<MemberRecord>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.record_call = None;
        self.write_count += 1;
        let delay =
            crate::membership::hash::member_hash(self.token().as_str()) % MAX_CONFLICT_DELAY_MS;
        self.next_read = now + Millis(delay);
        if let Some(record) = found {
            self.adopt(MemberTable::new(record), now, out);
        }
    }

    /// Adopts a record if its epoch is higher than the current one.
    pub(super) fn adopt(&mut self, table: MemberTable, now: Millis, out: &mut Vec<Output>) {
        if table.epoch() <= self.epoch() {
            return;
        }
        let was_member = self.is_member();
        let epoch = table.epoch();
        self.views = table.views();
        self.replaced = table.replaced();
        self.table = Some(table);
        let floor = self.views.first().map_or(epoch, |view| view.epoch());
        self.adopted.insert(epoch, now);
        // Epochs from the floor on stay, because requests of members removed in them may not have
        // ended.
        self.adopted.retain(|at, _| *at >= floor);
        self.reported.clear();
        self.expired.clear();
        self.expired_by_peers.clear();
        self.suspicions.clear();
        for id in self.other_ids() {
            self.peers.entry(id).or_insert_with(|| PeerState::new(now));
        }
        self.drop_unlisted_peers();
        self.slots_dirty = true;
        self.push = true;
        if self.is_member() {
            self.lease.record_adopted(epoch);
            out.push(Output::Adopted(epoch));
        } else if was_member {
            self.lease.member_removed();
            out.push(Output::Removed(epoch));
        } else {
            out.push(Output::Adopted(epoch));
        }
        self.refresh_slots(now);
    }

    /// Drops the state of processes that no view lists.
    fn drop_unlisted_peers(&mut self) {
        let views = &self.views;
        self.peers
            .retain(|id, _| views.iter().any(|view| view.contains(id)));
    }
}
