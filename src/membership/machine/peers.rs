//! Heartbeats between members.

use super::Membership;
use crate::membership::{MemberView, Output};
use crate::prelude::*;
use crate::schema::peer::Heartbeat;

/// Shortest interval between exchanges of records with one peer.
const VIEW_INTERVAL: Millis = Millis(300);

/// Interval between attempts to learn the record from an entry VM of the VM list.
const PROBE_INTERVAL: Millis = Millis(500);

impl Membership {
    /// Builds the heartbeat of this moment; the shell adds what other modules know.
    pub(super) fn heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            member: self.me.id.clone(),
            sequence: self.sequence,
            acknowledged: true,
            epoch: self.epoch(),
            drained: self.drained,
            bundle: Version(0),
            loads: Vec::new(),
            silent: self.promised.keys().cloned().collect(),
            lapsed: self.lapsed.iter().cloned().collect(),
            leaving: self.vms.relayed(now),
            digests: Default::default(),
        }
    }

    pub(super) fn hear(&mut self, beat: &Heartbeat, now: Millis) {
        if let Some(peer) = self.peers.get_mut(&beat.member) {
            self.slots_dirty |= peer.note(beat, now);
        }
        if beat.epoch == self.epoch() {
            let others = beat.lapsed.iter().filter(|id| **id != self.me.id);
            self.hinted.extend(others.cloned());
        }
        for vm in &beat.leaving {
            self.push |= self.vms.notice(vm, now);
        }
    }

    pub(super) fn answered(
        &mut self,
        sent: Millis,
        answer: &Heartbeat,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.hear(answer, now);
        let epoch = self.epoch();
        if answer.epoch > epoch && now >= self.next_fetch {
            self.next_fetch = now + VIEW_INTERVAL;
            self.exchange_view(&answer.member, now, out);
        } else if answer.epoch < epoch && self.spreads_view(now) {
            self.exchange_view(&answer.member, now, out);
        } else if answer.epoch == epoch && !answer.acknowledged && self.is_member() {
            self.refused = Some(epoch);
        }
        let Some(peer) = self.peers.get_mut(&answer.member) else {
            return;
        };
        let newer = peer.acknowledged.is_none_or(|(at, _)| at <= sent);
        if answer.acknowledged && newer {
            peer.acknowledged = Some((sent, answer.epoch));
        }
    }

    /// Tells whether this process sends its record to peers that are behind.
    ///
    /// At first only the writer does, because all members learn of a new epoch at about the same
    /// time and would send it to each other.
    fn spreads_view(&self, now: Millis) -> bool {
        let writer = self.table.as_ref().map(|table| &table.record().writer);
        let wrote = writer.is_some_and(|writer| {
            let (member, _) = writer.as_str().rsplit_once(':').unwrap_or_default();
            member == self.me.id.as_str()
        });
        wrote || now.since(self.adopted_at()) >= VIEW_INTERVAL
    }

    fn exchange_view(&mut self, id: &MemberId, now: Millis, out: &mut Vec<Output>) {
        let Some(address) = self.address_of(id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer
            .view_sent
            .is_some_and(|at| now.since(at) < VIEW_INTERVAL)
        {
            return;
        }
        peer.view_sent = Some(now);
        out.push(Output::ExchangeView(address));
    }

    /// Returns the peer address of a member.
    pub fn address_of(&self, id: &MemberId) -> Option<String> {
        let member = self.table.as_ref()?.member(id)?;
        Some(member.address.clone())
    }

    /// Tells whether enough members acknowledge this one in its epoch.
    pub(super) fn has_quorum(&self, now: Millis) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        if view.ids().len() < 2 || !view.contains(&self.me.id) {
            return false;
        }
        let acknowledging = view
            .ids()
            .iter()
            .filter_map(|id| self.peers.get(id)?.acknowledged)
            .filter(|(sent, epoch)| {
                *epoch == view.epoch() && now.since(*sent) < self.timing.ack_window
            })
            .count();
        acknowledging + 1 >= view.acknowledgers_needed()
    }

    /// Tells whether a peer has withheld its acknowledgement in this epoch.
    ///
    /// Its report holds until the epoch changes, so a member that is alive raises the epoch.
    pub(super) fn is_refused(&self, now: Millis) -> bool {
        self.refused == Some(self.epoch()) && self.lease.is_valid(&self.timing, now)
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Output>) {
        let interval = self
            .timing
            .interval(self.view().map_or(0, |view| view.ids().len()));
        let push = std::mem::take(&mut self.push);
        let targets = if push {
            self.other_ids()
        } else {
            self.targets(now)
        };
        for id in targets {
            let Some(address) = self.address_of(&id) else {
                continue;
            };
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            if !push && peer.due > now {
                continue;
            }
            peer.due = now + interval;
            self.sequence += 1;
            out.push(Output::SendHeartbeat(address, self.heartbeat(now)));
        }
    }

    /// Returns the members that follow this one in the ring of ids, enough of them not silent.
    fn targets(&self, now: Millis) -> Vec<MemberId> {
        let ids = self.view().map_or(&[][..], MemberView::ids);
        let wanted = self.timing.targets(ids.len());
        let start = ids.partition_point(|id| *id <= self.me.id);
        let ring = ids[start..].iter().chain(&ids[..start]);
        let mut reachable = 0;
        ring.filter(|id| **id != self.me.id)
            .take_while(|id| {
                let more = reachable < wanted;
                reachable += usize::from(!self.is_silent(id, now));
                more
            })
            .cloned()
            .collect()
    }

    /// Asks entry VMs for the record while this process is no member and cannot read it.
    pub(super) fn probe(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.is_member() || now < self.next_probe {
            return;
        }
        if self.table.is_some() && !self.lease.is_store_silent() {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let own = &self.me.address;
        let seeds: Vec<&str> = self
            .vms
            .entries(&self.region)
            .into_iter()
            .map(|vm| vm.address.as_str())
            .filter(|address| address != own)
            .collect();
        if seeds.is_empty() {
            return;
        }
        let address = seeds[self.probes % seeds.len()].to_string();
        self.probes += 1;
        out.push(Output::ExchangeView(address));
    }
}
