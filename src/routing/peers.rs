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

/// Difference of queues below which requests are not forwarded to a process without free slots.
const MIN_GAIN: Millis = Millis(20);

/// Part of the own queue that the difference must be; in a surge all queues are long, and a small
/// difference does not justify a hop.
const MIN_GAIN_PART: f64 = 0.25;

/// Queue of this process.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Time in which the present queue is served.
    pub drain: Millis,
    /// Requests that end per millisecond while all slots are busy.
    pub capacity: f64,
}

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
    /// A report that is no newer than the one held does not replace it, and requests that were
    /// forwarded since then still count against it.
    pub fn set(&mut self, loads: Vec<PeerLoad>, now: Millis) {
        let old = std::mem::take(&mut self.peers);
        self.peers = loads
            .into_iter()
            .map(|load| {
                let reported = now - load.age;
                let newer =
                    |peer: &&Peer| peer.load.member == load.member && peer.reported >= reported;
                let held = old.iter().find(newer).cloned();
                held.unwrap_or(Peer {
                    load,
                    reported,
                    forwarded: 0,
                })
            })
            .collect();
    }

    /// Takes in the load that a listed peer reported at this moment.
    pub fn hear(&mut self, member: &MemberId, free_slots: u32, queue_delay: Millis, now: Millis) {
        let held = self.peers.iter().find(|peer| peer.load.member == *member);
        let load = held.map(|peer| PeerLoad {
            free_slots,
            queue_delay,
            age: Millis::ZERO,
            ..peer.load.clone()
        });
        if let Some(load) = load {
            self.update(load, now);
        }
    }

    /// Replaces the report of one peer if it is newer than the last one.
    pub fn update(&mut self, load: PeerLoad, now: Millis) {
        let reported = now - load.age;
        let held = self
            .peers
            .iter_mut()
            .find(|peer| peer.load.member == load.member);
        if let Some(peer) = held
            && peer.reported < reported
        {
            *peer = Peer {
                load,
                reported,
                forwarded: 0,
            };
        }
    }

    /// Chooses a peer that is expected to serve a request sooner.
    ///
    /// `wait` is the expected wait here; `None` stands for a process that cannot serve at all and
    /// therefore forwards even to busy peers.
    pub fn choose(
        &mut self,
        wait: Option<Millis>,
        backlog: Backlog,
        rng: &mut ChaCha8Rng,
        now: Millis,
    ) -> Option<MemberId> {
        let candidates: Vec<usize> = (0..self.peers.len())
            .filter(|&at| {
                let peer = &self.peers[at];
                let fresh = now.since(peer.reported) < MAX_REPORT_AGE;
                let sooner = |wait| wait > self.hop(peer) && self.room(at, backlog, now) >= 1.0;
                fresh && wait.is_none_or(sooner)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let count = candidates.len();
        let at = rng.random_range(0..count);
        let other = match count {
            1 => at,
            _ => (at + rng.random_range(1..count)) % count,
        };
        let (first, second) = (candidates[at], candidates[other]);
        let rank = |at: usize| {
            let peer = &self.peers[at];
            let hop = self.hop(peer);
            match wait {
                Some(_) => (hop, -self.room(at, backlog, now)),
                None => (hop + peer.load.queue_delay, f64::from(peer.forwarded)),
            }
        };
        let best = if rank(second) < rank(first) {
            second
        } else {
            first
        };
        self.peers[best].forwarded += 1;
        Some(self.peers[best].load.member.clone())
    }

    /// Returns how many more requests may be forwarded to a peer until its next report.
    ///
    /// A peer with free slots gets this process's part of them. A peer with a shorter queue gets
    /// this process's part of half the difference, since every process may act on the same report.
    fn room(&self, at: usize, backlog: Backlog, now: Millis) -> f64 {
        let peer = &self.peers[at];
        let age = now.since(peer.reported);
        let senders = self.senders(at);
        let fresh = 0.5_f64.powf(age.get() as f64 / REPORT_HALF_LIFE.get() as f64);
        let free = f64::from(peer.load.free_slots) * fresh;
        let delay = self.hop(peer) + peer.load.queue_delay;
        let gain = backlog.drain.since(delay).get() as f64;
        let least = (backlog.drain.get() as f64 * MIN_GAIN_PART).max(MIN_GAIN.get() as f64);
        let shorter = if gain > least {
            gain / 2.0 * backlog.capacity * fresh
        } else {
            0.0
        };
        let part = (free + shorter) / senders;
        part.max(free.min(1.0)) - f64::from(peer.forwarded)
    }

    /// Returns the number of processes that probably forward to a peer: this one and those whose
    /// queue is longer than the peer's.
    fn senders(&self, at: usize) -> f64 {
        let delay = self.peers[at].load.queue_delay;
        let longer = self
            .peers
            .iter()
            .filter(|other| other.load.queue_delay > delay + MIN_GAIN);
        1.0 + longer.count() as f64
    }

    fn hop(&self, peer: &Peer) -> Millis {
        if peer.load.zone == self.zone {
            NEAR_HOP
        } else {
            FAR_HOP
        }
    }
}
