//! State of a peer as seen by this process.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::Heartbeat;

/// State of one peer, from its heartbeats and responses.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Time at which the last heartbeat or response arrived.
    pub received_at: Millis,
    /// When the newest acknowledged heartbeat was sent, and the peer's epoch in its response.
    pub acknowledged: Option<(Millis, Epoch)>,
    /// Newest epoch that the peer has adopted.
    pub epoch: Epoch,
    /// Newest epoch whose slot shares the peer does not exceed.
    pub drained: Epoch,
    /// Epoch of the peer's reports of silent members, and when each report arrived.
    pub reports: (Epoch, BTreeMap<MemberId, Millis>),
    /// When the next heartbeat to the peer is due.
    pub next_heartbeat: Millis,
    /// When this process last started an exchange of member records with the peer.
    pub view_exchanged_at: Option<Millis>,
}

impl PeerState {
    /// Creates the state of a peer that counts as alive at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            received_at: now,
            acknowledged: None,
            epoch: Epoch(0),
            drained: Epoch(0),
            reports: (Epoch(0), BTreeMap::new()),
            next_heartbeat: now,
            view_exchanged_at: None,
        }
    }

    /// Applies a heartbeat or response. Returns whether the adopted or drained epoch changed.
    pub fn update(&mut self, beat: &Heartbeat, now: Millis) -> bool {
        self.received_at = self.received_at.max(now);
        let before = (self.epoch, self.drained);
        self.epoch = self.epoch.max(beat.epoch);
        self.drained = self.drained.max(beat.drained);
        if beat.epoch > self.reports.0 {
            self.reports = (beat.epoch, BTreeMap::new());
        }
        if beat.epoch == self.reports.0 {
            for id in &beat.silent {
                self.reports.1.entry(id.clone()).or_insert(now);
            }
        }
        before != (self.epoch, self.drained)
    }

    /// Returns when the peer's report that a member is silent arrived, if it applies to `epoch`.
    pub fn report(&self, epoch: Epoch, id: &MemberId) -> Option<Millis> {
        (self.reports.0 == epoch)
            .then(|| self.reports.1.get(id).copied())
            .flatten()
    }
}
