//! The state machine of one process's membership.

mod owners;
mod peers;
mod removal;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use super::lease::StoreLease;
use super::peer_state::PeerState;
use super::vm_tracker::VmTracker;
use super::{Input, MemberTable, MemberView, Output, SlotChange, Timing};
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, Member};
use removal::Suspicion;
use store::RecordCall;

/// Membership of one process in its region, without clock or I/O.
///
/// A member is active while its store lease holds or, if the store does not answer it, while a
/// majority acknowledges its heartbeats. Everything it owns follows from the record's epoch.
pub struct Membership {
    me: Member,
    region: RegionId,
    timing: Timing,
    table: Option<MemberTable>,
    views: Vec<MemberView>,
    replaced: BTreeSet<MemberId>,
    adopted: BTreeMap<Epoch, Millis>,
    started: Option<Millis>,
    lease: StoreLease,
    record_call: Option<RecordCall>,
    next_read: Millis,
    writes: u64,
    uncertain: bool,
    leaving: bool,
    refused: Option<Epoch>,
    peers: BTreeMap<MemberId, PeerState>,
    promised: BTreeMap<MemberId, Millis>,
    lapsed: BTreeSet<MemberId>,
    hinted: BTreeSet<MemberId>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    next_collect: Millis,
    push: bool,
    sequence: u64,
    next_fetch: Millis,
    next_probe: Millis,
    probes: usize,
    vms: VmTracker,
    in_use: BTreeMap<VmId, u32>,
    drained: Epoch,
    slots: BTreeMap<VmId, u32>,
    slots_dirty: bool,
    slots_due: Option<Millis>,
    slot_changes: Vec<SlotChange>,
}

impl Membership {
    /// Starts a process that is not a member yet.
    pub fn new(me: Member, region: RegionId, timing: Timing) -> Self {
        Self {
            me,
            region,
            timing,
            table: None,
            views: Vec::new(),
            replaced: BTreeSet::new(),
            adopted: BTreeMap::new(),
            started: None,
            lease: StoreLease::default(),
            record_call: None,
            next_read: Millis::ZERO,
            writes: 0,
            uncertain: false,
            leaving: false,
            refused: None,
            peers: BTreeMap::new(),
            promised: BTreeMap::new(),
            lapsed: BTreeSet::new(),
            hinted: BTreeSet::new(),
            suspicions: BTreeMap::new(),
            next_collect: Millis::ZERO,
            push: false,
            sequence: 0,
            next_fetch: Millis::ZERO,
            next_probe: Millis::ZERO,
            probes: 0,
            vms: VmTracker::default(),
            in_use: BTreeMap::new(),
            drained: Epoch(0),
            slots: BTreeMap::new(),
            slots_dirty: false,
            slots_due: None,
            slot_changes: Vec::new(),
        }
    }

    /// Takes in what happened and returns what to do.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::LeaseGranted(sent) => {
                let quorum = self.has_quorum(now);
                self.lease.kept(sent, quorum, now);
            }
            Input::LeaseExpired => self.lease_lapsed(now, &mut out),
            Input::LeaseCallFailed => self.lease.failed(),
            Input::RecordRead {
                started,
                record,
                entries,
            } => self.record_read(started, record, &entries, now, &mut out),
            Input::RecordFailed => self.record_failed(now),
            Input::RecordWritten => self.record_written(now, &mut out),
            Input::RecordConflict(found) => self.record_conflict(found, now, &mut out),
            Input::WriteInDoubt => self.write_lost(now),
            Input::ViewReceived(record) => self.adopt(MemberTable::new(record), now, &mut out),
            Input::HeartbeatResponse(sent, answer) => self.answered(sent, &answer, now, &mut out),
            Input::VmListRead(vms) => self.vms_read(vms, now),
            Input::InFlight(epoch, in_use) => self.sample(epoch, in_use),
            Input::Leaving(vm) => self.push |= self.vms.notice(&vm, now),
            Input::Leave => self.leaving = true,
        }
        out
    }

    /// Takes in a peer's heartbeat and returns the answer to it.
    pub fn receive(&mut self, beat: &Heartbeat, now: Millis) -> Heartbeat {
        self.hear(beat, now);
        self.renew_reports(now);
        let epoch = self.epoch();
        let listed = self.view().is_some_and(|view| view.contains(&beat.member));
        let acknowledged = listed && !self.promised.contains_key(&beat.member);
        let mut answer = self.heartbeat(now);
        answer.sequence = beat.sequence;
        answer.acknowledged = acknowledged && epoch > Epoch(0);
        answer
    }

    /// Returns this process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the adopted member record.
    pub fn table(&self) -> Option<&MemberTable> {
        self.table.as_ref()
    }

    /// Returns the view of the adopted epoch.
    pub fn view(&self) -> Option<&MemberView> {
        self.views.last()
    }

    /// Returns the adopted epoch, or zero.
    pub fn epoch(&self) -> Epoch {
        self.table.as_ref().map_or(Epoch(0), MemberTable::epoch)
    }

    /// Returns when the current epoch was adopted.
    pub fn adopted_at(&self) -> Millis {
        self.adopted
            .get(&self.epoch())
            .copied()
            .unwrap_or(Millis::ZERO)
    }

    /// Returns the newest epoch whose slot shares this process keeps to.
    pub fn drained(&self) -> Epoch {
        self.drained
    }

    /// Returns the VM list and the notices about it.
    pub fn vms(&self) -> &VmTracker {
        &self.vms
    }

    /// Tells whether the adopted record lists this process.
    pub fn is_member(&self) -> bool {
        self.view().is_some_and(|view| view.contains(&self.me.id))
    }

    /// Tells whether the last call to the store was not answered.
    pub fn is_store_silent(&self) -> bool {
        self.lease.is_store_silent()
    }

    /// Returns the members that have been silent for too long.
    pub fn silent(&self, now: Millis) -> Vec<MemberId> {
        let others = self.other_ids();
        let silent = others.into_iter().filter(|id| self.is_silent(id, now));
        silent.collect()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.renew_lease(now, out);
        self.renew_reports(now);
        self.suspect(now, out);
        self.keep_record(now, out);
        self.probe(now, out);
        self.send_heartbeats(now, out);
        self.refresh_slots(now);
    }

    fn other_ids(&self) -> Vec<MemberId> {
        let ids = self.view().map_or(&[][..], MemberView::ids);
        ids.iter()
            .filter(|id| **id != self.me.id)
            .cloned()
            .collect()
    }

    fn vms_read(&mut self, vms: Vec<crate::schema::vm::VmRecord>, now: Millis) {
        let before = self.vms.leaving();
        let members = self.table.as_ref().map_or(&[][..], MemberTable::members);
        let members: Vec<VmId> = members.iter().map(|member| member.vm.clone()).collect();
        if self.vms.read(vms, &members, now) {
            self.slots_dirty = true;
        }
        if self.vms.leaving().difference(&before).next().is_some() {
            self.push = true;
        }
    }
}
