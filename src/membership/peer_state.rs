//! What this process knows of another one.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::Heartbeat;

/// Knowledge about one peer, from its heartbeats and answers.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Time of the last heartbeat or answer.
    pub heard: Millis,
    /// When the newest acknowledged heartbeat was sent, and the peer's epoch when it answered.
    pub acknowledged: Option<(Millis, Epoch)>,
    /// Newest epoch that the peer has adopted.
    pub epoch: Epoch,
    /// Newest epoch whose slot shares the peer keeps to.
    pub drained: Epoch,
    /// Epoch of the peer's reports of silent members, and when each one arrived.
    pub reports: (Epoch, BTreeMap<MemberId, Millis>),
    /// When the next heartbeat to the peer is due.
    pub due: Millis,
    /// When records were last exchanged with the peer.
    pub view_sent: Option<Millis>,
}

impl PeerState {
    /// Starts with a peer that counts as heard at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            heard: now,
            acknowledged: None,
            epoch: Epoch(0),
            drained: Epoch(0),
            reports: (Epoch(0), BTreeMap::new()),
            due: now,
            view_sent: None,
        }
    }

    /// Takes over what a heartbeat or an answer says; tells whether the epochs changed.
    pub fn note(&mut self, beat: &Heartbeat, now: Millis) -> bool {
        self.heard = self.heard.max(now);
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

    /// Returns when the peer's report that a member is silent arrived, if it holds in `epoch`.
    pub fn report(&self, epoch: Epoch, id: &MemberId) -> Option<Millis> {
        (self.reports.0 == epoch)
            .then(|| self.reports.1.get(id).copied())
            .flatten()
    }
}
