//! The state machine of the membership of one process.

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

/// Membership of one process in its region, as a state machine without clock or I/O.
///
/// A member is active while its store lease is valid. If the store does not respond, it is active
/// while a majority of the members acknowledges its heartbeats. What it owns follows from the
/// epoch of the member record.
pub struct Membership {
    me: Member,
    region: RegionId,
    timing: Timing,
    table: Option<MemberTable>,
    views: Vec<MemberView>,
    replaced: BTreeSet<MemberId>,
    /// Local time at which each recent epoch was adopted.
    adopted: BTreeMap<Epoch, Millis>,
    started: Option<Millis>,
    lease: StoreLease,
    record_call: Option<RecordCall>,
    next_read: Millis,
    write_count: u64,
    /// Whether the outcome of the last write of the record is unknown.
    write_in_doubt: bool,
    leaving: bool,
    /// Epoch in which a peer withheld its acknowledgement from this process.
    ack_withheld_in: Option<Epoch>,
    peers: BTreeMap<MemberId, PeerState>,
    /// Members that this process reports as silent and does not acknowledge in this epoch.
    reported: BTreeMap<MemberId, Millis>,
    /// Silent members whose lease this process found expired.
    expired: BTreeSet<MemberId>,
    /// Members whose lease a peer found expired.
    expired_by_peers: BTreeSet<MemberId>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    next_collect: Millis,
    /// Whether the next tick sends heartbeats to all members at once.
    push: bool,
    sequence: u64,
    next_fetch: Millis,
    next_probe: Millis,
    probe_count: usize,
    vms: VmTracker,
    in_flight: BTreeMap<VmId, u32>,
    drained: Epoch,
    slots: BTreeMap<VmId, u32>,
    slots_dirty: bool,
    next_slot_refresh: Option<Millis>,
    slot_changes: Vec<SlotChange>,
}

impl Membership {
    /// Creates the state of a process that is not a member yet.
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
            write_count: 0,
            write_in_doubt: false,
            leaving: false,
            ack_withheld_in: None,
            peers: BTreeMap::new(),
            reported: BTreeMap::new(),
            expired: BTreeSet::new(),
            expired_by_peers: BTreeSet::new(),
            suspicions: BTreeMap::new(),
            next_collect: Millis::ZERO,
            push: false,
            sequence: 0,
            next_fetch: Millis::ZERO,
            next_probe: Millis::ZERO,
            probe_count: 0,
            vms: VmTracker::default(),
            in_flight: BTreeMap::new(),
            drained: Epoch(0),
            slots: BTreeMap::new(),
            slots_dirty: false,
            next_slot_refresh: None,
            slot_changes: Vec::new(),
        }
    }

    /// Processes an input and returns the actions to carry out.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::LeaseGranted(sent) => {
                let quorum = self.has_quorum(now);
                self.lease.call_succeeded(sent, quorum, now);
            }
            Input::LeaseExpired => self.lease_expired(now, &mut out),
            Input::LeaseCallFailed => self.lease.call_failed(),
            Input::RecordRead {
                started,
                record,
                entries,
            } => self.record_read(started, record, &entries, now, &mut out),
            Input::RecordFailed => self.record_failed(now),
            Input::RecordWritten => self.record_written(now, &mut out),
            Input::RecordConflict(found) => self.record_conflict(found, now, &mut out),
            Input::WriteInDoubt => self.write_left_in_doubt(now),
            Input::ViewReceived(record) => self.adopt(MemberTable::new(record), now, &mut out),
            Input::HeartbeatResponse(sent, response) => {
                self.heartbeat_response(sent, &response, now, &mut out)
            }
            Input::VmListRead(vms) => self.vm_list_read(vms, now),
            Input::InFlight(epoch, in_flight) => self.record_in_flight(epoch, in_flight),
            Input::Leaving(vm) => self.push |= self.vms.note_leaving(&vm, now),
            Input::Leave => self.leaving = true,
        }
        out
    }

    /// Processes a heartbeat of a peer and returns the response to it.
    pub fn receive(&mut self, beat: &Heartbeat, now: Millis) -> Heartbeat {
        self.apply_heartbeat(beat, now);
        self.renew_reports(now);
        let epoch = self.epoch();
        let listed = self.view().is_some_and(|view| view.contains(&beat.member));
        let acknowledged = listed && !self.reported.contains_key(&beat.member);
        let mut response = self.heartbeat(now);
        response.sequence = beat.sequence;
        response.acknowledged = acknowledged && epoch > Epoch(0);
        response
    }

    /// Returns the description of this process.
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

    /// Returns the adopted epoch, or zero before the first one.
    pub fn epoch(&self) -> Epoch {
        self.table.as_ref().map_or(Epoch(0), MemberTable::epoch)
    }

    /// Returns the local time at which the current epoch was adopted.
    pub fn adopted_at(&self) -> Millis {
        self.adopted
            .get(&self.epoch())
            .copied()
            .unwrap_or(Millis::ZERO)
    }

    /// Returns the newest epoch whose slot shares this process does not exceed.
    pub fn drained(&self) -> Epoch {
        self.drained
    }

    /// Returns the newest VM list with the leave notices.
    pub fn vms(&self) -> &VmTracker {
        &self.vms
    }

    /// Returns whether the adopted record lists this process.
    pub fn is_member(&self) -> bool {
        self.view().is_some_and(|view| view.contains(&self.me.id))
    }

    /// Returns whether the last lease call to the store got no response.
    pub fn is_store_silent(&self) -> bool {
        self.lease.is_store_silent()
    }

    /// Returns the other members that count as silent.
    pub fn silent(&self, now: Millis) -> Vec<MemberId> {
        let others = self.other_ids();
        let silent = others.into_iter().filter(|id| self.is_silent(id, now));
        silent.collect()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.renew_lease(now, out);
        self.renew_reports(now);
        self.pursue_removals(now, out);
        self.maintain_record(now, out);
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

    fn vm_list_read(&mut self, vms: Vec<crate::schema::vm::VmRecord>, now: Millis) {
        let before = self.vms.leaving();
        let members = self.table.as_ref().map_or(&[][..], MemberTable::members);
        let members: Vec<VmId> = members.iter().map(|member| member.vm.clone()).collect();
        if self.vms.apply_list(vms, &members, now) {
            self.slots_dirty = true;
        }
        if self.vms.leaving().difference(&before).next().is_some() {
            self.push = true;
        }
    }
}
