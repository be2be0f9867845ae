//! The store lease and the member record.

use std::collections::BTreeSet;

use super::Membership;
use crate::membership::lease::{Fence, LeaseCall};
use crate::membership::peer_state::PeerState;
use crate::membership::{MemberTable, Output};
use crate::prelude::*;
use crate::schema::peer::{Member, MemberRecord};

/// Wait after a failed call about the record.
const RETRY: Millis = Millis(500);

/// Longest wait of a new process for the VM list to show its VM.
const LISTING_WAIT: Millis = Millis(15_000);

/// Shortest interval between reads of the record.
const READ_INTERVAL: Millis = Millis(200);

/// Largest wait after a conflict; members wait different parts of it.
const CONFLICT_WAIT: u64 = 200;

/// A call about the record that has not been answered.
pub(super) enum RecordCall {
    /// The record and the entries are read.
    Reading,
    /// This record is written.
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

    pub(super) fn lease_lapsed(&mut self, now: Millis, out: &mut Vec<Output>) {
        let quorum = self.has_quorum(now);
        self.lease.lapsed(quorum, now);
        out.push(self.create_lease());
    }

    /// Tells whether this process waits until the VM list shows its VM.
    ///
    /// A member whose VM was never shown could not be removed when the VM is terminated.
    fn awaits_listing(&mut self, now: Millis) -> bool {
        let started = *self.started.get_or_insert(now);
        now.since(started) < LISTING_WAIT && self.vms.may_show(&self.me.vm, &self.region)
    }

    fn create_lease(&mut self) -> Output {
        self.me.listed = self.vms.vms().contains_key(&self.me.vm);
        Output::CreateLease(self.me.clone())
    }

    /// Reads the record if this process has to join it or wants to leave it.
    pub(super) fn keep_record(&mut self, now: Millis, out: &mut Vec<Output>) {
        let joins = self.lease.fence() != Fence::Open && self.lease.is_valid(&self.timing, now);
        let leaves = self.leaving && self.is_member() && self.is_idle();
        let refused = !self.leaving && self.is_refused(now);
        if self.uncertain || (joins && !self.leaving) || leaves || refused {
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
        self.uncertain = false;
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
        if let Some(next) = self.edit(&table, entries, &live, started, now) {
            out.push(Output::WriteRecord(revision, next.record().clone()));
            self.record_call = Some(RecordCall::Writing(next));
        }
    }

    /// Builds the next record, if the one that was read has to change.
    fn edit(
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
        let raises = live.contains(&self.me.id)
            && match self.lease.fence() {
                Fence::Fresh => missing,
                Fence::Above(floor) => missing || table.epoch() <= floor,
                Fence::Open => self.refused == Some(table.epoch()),
                Fence::Closed => false,
            };
        let removable = self.removable(table, live, started, now);
        if !raises && removable.is_empty() {
            return None;
        }
        let joining = self.admissible(table, entries);
        Some(self.next_table(table, &joining, &removable, now))
    }

    /// Returns the processes that this one may add to the record together with itself.
    ///
    /// Two processes with one address can only be told apart by who joined later, so they must
    /// join by their own writes, which fail if the other one was first.
    fn admissible(&self, table: &MemberTable, entries: &[Member]) -> Vec<Member> {
        let shares = |entry: &Member, other: &Member| {
            other.id != entry.id && other.vm == entry.vm && other.address == entry.address
        };
        entries
            .iter()
            .filter(|entry| {
                let mut others = entries.iter().chain(table.members());
                entry.id == self.me.id || !others.any(|other| shares(entry, other))
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
        self.writes += 1;
        let left = self.leaving.then_some(&self.me.id);
        let mut next = table.next(joining, removed, left, self.token());
        next.prune(self.settled(&next, now));
        next
    }

    fn token(&self) -> WriterToken {
        format!("{}:{}", self.me.id, self.writes)
            .parse()
            .unwrap_or_default()
    }

    /// Returns the epoch that every member has drained to and whose removals are long past.
    fn settled(&self, next: &MemberTable, now: Millis) -> Epoch {
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
                    && (change.removed.is_empty() || self.is_long_past(change.epoch, now))
            })
            .map(|change| change.epoch)
            .last()
            .unwrap_or(Epoch(0))
    }

    /// Tells whether requests that a member removed by `epoch` had in progress have ended.
    pub(super) fn is_long_past(&self, epoch: Epoch, now: Millis) -> bool {
        self.removal_ends(epoch).is_some_and(|ends| now >= ends)
    }

    /// Returns when requests of a member that was removed by `epoch` have certainly ended.
    pub(super) fn removal_ends(&self, epoch: Epoch) -> Option<Millis> {
        let (_, at) = self.adopted.range(epoch..).next()?;
        let wait = self
            .timing
            .request_deadline
            .scale_permille(self.timing.clock_permille);
        Some(*at + wait)
    }

    pub(super) fn record_failed(&mut self, now: Millis) {
        self.record_call = None;
        self.next_read = now + RETRY;
    }

    pub(super) fn write_lost(&mut self, now: Millis) {
        self.record_failed(now);
        self.uncertain = true;
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
        self.writes += 1;
        let spread = crate::membership::hash::member_key(self.token().as_str()) % CONFLICT_WAIT;
        self.next_read = now + Millis(spread);
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
        // An epoch at or above the floor stays, because a removal in it may not be long past.
        self.adopted.retain(|at, _| *at >= floor);
        self.promised.clear();
        self.lapsed.clear();
        self.hinted.clear();
        self.suspicions.clear();
        for id in self.other_ids() {
            self.peers.entry(id).or_insert_with(|| PeerState::new(now));
        }
        self.drop_old_peers();
        self.slots_dirty = true;
        self.push = true;
        if self.is_member() {
            self.lease.listed(epoch);
            out.push(Output::Adopted(epoch));
        } else if was_member {
            self.lease.removed();
            out.push(Output::Removed(epoch));
        } else {
            out.push(Output::Adopted(epoch));
        }
        self.refresh_slots(now);
    }

    /// Forgets processes that no view lists any more.
    fn drop_old_peers(&mut self) {
        let views = &self.views;
        self.peers
            .retain(|id, _| views.iter().any(|view| view.contains(id)));
    }
}
