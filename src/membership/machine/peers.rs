//! Heartbeats between members.

use super::Membership;
use crate::membership::{MemberView, Output};
use crate::prelude::*;
use crate::schema::peer::Heartbeat;

/// Shortest interval between exchanges of member records with one peer.
const VIEW_INTERVAL: Millis = Millis(300);

/// Interval between attempts to get the member record from an entry VM of the VM list.
const PROBE_INTERVAL: Millis = Millis(500);

impl Membership {
    /// Builds a heartbeat; the caller adds the data of other modules.
    pub(super) fn heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            member: self.me.id.clone(),
            sequence: self.sequence,
            acknowledged: true,
            epoch: self.epoch(),
            drained: self.drained,
            bundle: Version(0),
            loads: Vec::new(),
            silent: self.reported.keys().cloned().collect(),
            lapsed: self.expired.iter().cloned().collect(),
            leaving: self.vms.notices_to_relay(now),
            digests: Default::default(),
        }
    }

    /// Applies a received heartbeat or heartbeat response.
    pub(super) fn apply_heartbeat(&mut self, beat: &Heartbeat, now: Millis) {
        if let Some(peer) = self.peers.get_mut(&beat.member) {
            self.slots_dirty |= peer.update(beat, now);
        }
        if beat.epoch == self.epoch() {
            let others = beat.lapsed.iter().filter(|id| **id != self.me.id);
            self.expired_by_peers.extend(others.cloned());
        }
        for vm in &beat.leaving {
            self.push |= self.vms.note_leaving(vm, now);
        }
    }

    /// Applies the response to a heartbeat that was sent at `sent`.
    pub(super) fn heartbeat_response(
        &mut self,
        sent: Millis,
        response: &Heartbeat,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.apply_heartbeat(response, now);
        let epoch = self.epoch();
        if response.epoch > epoch && now >= self.next_fetch {
            self.next_fetch = now + VIEW_INTERVAL;
            self.exchange_view(&response.member, now, out);
        } else if response.epoch < epoch && self.may_spread_view(now) {
            self.exchange_view(&response.member, now, out);
        } else if response.epoch == epoch && !response.acknowledged && self.is_member() {
            self.ack_withheld_in = Some(epoch);
        }
        let Some(peer) = self.peers.get_mut(&response.member) else {
            return;
        };
        let newer = peer.acknowledged.is_none_or(|(at, _)| at <= sent);
        if response.acknowledged && newer {
            peer.acknowledged = Some((sent, response.epoch));
        }
    }

    /// Returns whether this process sends its record to peers in older epochs.
    ///
    /// Only the writer does so during the first [`VIEW_INTERVAL`] of an epoch, because all members
    /// learn of a new epoch at about the same time and would send it to each other.
    fn may_spread_view(&self, now: Millis) -> bool {
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
            .view_exchanged_at
            .is_some_and(|at| now.since(at) < VIEW_INTERVAL)
        {
            return;
        }
        peer.view_exchanged_at = Some(now);
        out.push(Output::ExchangeView(address));
    }

    /// Returns the peer address of a member of the adopted record.
    pub fn address_of(&self, id: &MemberId) -> Option<String> {
        let member = self.table.as_ref()?.member(id)?;
        Some(member.address.clone())
    }

    /// Returns whether enough members acknowledge this one in its epoch.
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
        acknowledging + 1 >= view.ack_quorum()
    }

    /// Returns whether this process has a valid lease but lacks the acknowledgement of a peer.
    ///
    /// The peer's report applies until the epoch changes, so this process has to raise the epoch.
    pub(super) fn is_ack_withheld(&self, now: Millis) -> bool {
        self.ack_withheld_in == Some(self.epoch()) && self.lease.is_valid(&self.timing, now)
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Output>) {
        let interval = self
            .timing
            .heartbeat_interval(self.view().map_or(0, |view| view.ids().len()));
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
            if !push && peer.next_heartbeat > now {
                continue;
            }
            peer.next_heartbeat = now + interval;
            self.sequence += 1;
            out.push(Output::SendHeartbeat(address, self.heartbeat(now)));
        }
    }

    /// Returns the members that follow this one in the ring of ids, up to the wanted number of
    /// members that are not silent.
    fn targets(&self, now: Millis) -> Vec<MemberId> {
        let ids = self.view().map_or(&[][..], MemberView::ids);
        let wanted = self.timing.heartbeat_targets(ids.len());
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

    /// Requests the record from an entry VM while this process is no member and either knows no
    /// record or gets no response from the store.
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
            .entry_vms(&self.region)
            .into_iter()
            .map(|vm| vm.address.as_str())
            .filter(|address| address != own)
            .collect();
        if seeds.is_empty() {
            return;
        }
        let address = seeds[self.probe_count % seeds.len()].to_string();
        self.probe_count += 1;
        out.push(Output::ExchangeView(address));
    }
}
