//! Choice of the peer to which a request is forwarded.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::PeerLoad;
use crate::prelude::*;

/// Time that forwarding to a peer in the same zone and the answer's way back cost.
const NEAR_HOP: Millis = Millis(2);

/// Time that forwarding to a peer in another zone and the answer's way back cost.
const FAR_HOP: Millis = Millis(10);

/// Age at which the free slots of a report count half.
const REPORT_HALF_LIFE: Millis = Millis::from_secs(1);

/// Age from which a report is ignored.
const MAX_REPORT_AGE: Millis = Millis::from_secs(5);

/// Peers that serve the same service.
#[derive(Clone, Debug)]
pub struct Peers {
    zone: ZoneId,
    peers: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    load: PeerLoad,
    reported: Millis,
    forwarded: u32,
}

impl Peers {
    /// Creates an empty list for a process in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            peers: Vec::new(),
        }
    }

    /// Replaces the list.
    ///
    /// Requests that were forwarded since an unchanged report still count against it.
    pub fn set(&mut self, loads: Vec<PeerLoad>, now: Millis) {
        let old = std::mem::take(&mut self.peers);
        self.peers = loads
            .into_iter()
            .map(|load| {
                let reported = now - load.age;
                let same =
                    |peer: &&Peer| peer.load.member == load.member && peer.reported >= reported;
                let forwarded = old.iter().find(same).map_or(0, |peer| peer.forwarded);
                Peer {
                    load,
                    reported,
                    forwarded,
                }
            })
            .collect();
    }

    /// Chooses a peer with free slots if the hop is shorter than `wait`.
    ///
    /// `None` as the wait stands for a request that cannot be served here at all.
    pub fn choose(
        &mut self,
        wait: Option<Millis>,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<MemberId> {
        let senders = self.peers.len().max(1) as f64;
        let candidates: Vec<usize> = (0..self.peers.len())
            .filter(|&at| {
                let peer = &self.peers[at];
                let saves = wait.is_none_or(|wait| wait > self.hop(peer) + peer.load.queue_delay);
                saves && peer.left(senders, now) >= 1.0
            })
            .collect();
        let first = *candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        let second = candidates[rng.random_range(0..candidates.len())];
        let rank = |at: usize| {
            let peer = &self.peers[at];
            (self.hop(peer), -peer.left(senders, now))
        };
        let best = if rank(second) < rank(first) {
            second
        } else {
            first
        };
        self.peers[best].forwarded += 1;
        Some(self.peers[best].load.member.clone())
    }

    fn hop(&self, peer: &Peer) -> Millis {
        if peer.load.zone == self.zone {
            NEAR_HOP
        } else {
            FAR_HOP
        }
    }
}

impl Peer {
    /// Returns the free slots that this process may count on: its part of those reported, less
    /// what it forwarded since.
    fn left(&self, senders: f64, now: Millis) -> f64 {
        let age = now.since(self.reported);
        if age >= MAX_REPORT_AGE {
            return 0.0;
        }
        let fresh = 0.5_f64.powf(age.get() as f64 / REPORT_HALF_LIFE.get() as f64);
        let free = f64::from(self.load.free_slots) * fresh;
        (free / senders).max(free.min(1.0)) - f64::from(self.forwarded)
    }
}
