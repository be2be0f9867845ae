//! Choice of a peer to which a request is forwarded.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::PeerLoad;
use crate::prelude::*;

/// Round-trip cost of forwarding to a peer in the same zone.
const SAME_ZONE_HOP: Millis = Millis(2);

/// Round-trip cost of forwarding to a peer in another zone.
const CROSS_ZONE_HOP: Millis = Millis(10);

/// Age at which a report counts half.
const REPORT_HALF_LIFE: Millis = Millis::from_secs(1);

/// Age from which a report is ignored.
const MAX_REPORT_AGE: Millis = Millis::from_secs(5);

/// Shortest gain in queueing time for which requests are forwarded to a peer without free slots.
const MIN_GAIN: Millis = Millis(20);

/// Smallest gain relative to this process's queueing time. In a load surge all queues are long, and
/// a relatively small gain does not justify a hop.
const MIN_GAIN_RATIO: f64 = 0.25;

/// Queueing state of this process.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Expected time to serve the current queue.
    pub drain_time: Millis,
    /// Completions per millisecond while all slots are busy.
    pub capacity: f64,
}

/// Peers that accept requests of the service, with their latest load reports.
#[derive(Clone, Debug)]
pub struct Peers {
    zone: ZoneId,
    peers: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    load: PeerLoad,
    reported_at: Millis,
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

    /// Replaces the list of peers.
    ///
    /// A report that is not newer than the known one does not replace it. The requests that were
    /// forwarded since the known report still count against it.
    pub fn set(&mut self, loads: Vec<PeerLoad>, now: Millis) {
        let old = std::mem::take(&mut self.peers);
        self.peers = loads
            .into_iter()
            .map(|load| {
                let reported_at = now - load.age;
                let newer = |peer: &&Peer| {
                    peer.load.member == load.member && peer.reported_at >= reported_at
                };
                let held = old.iter().find(newer).cloned();
                held.unwrap_or(Peer {
                    load,
                    reported_at,
                    forwarded: 0,
                })
            })
            .collect();
    }

    /// Records the load that a listed peer reported at `now`.
    pub fn record_load(
        &mut self,
        member: &MemberId,
        free_slots: u32,
        queue_delay: Millis,
        now: Millis,
    ) {
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

    /// Replaces the report of a listed peer if the new report is newer.
    pub fn update(&mut self, load: PeerLoad, now: Millis) {
        let reported_at = now - load.age;
        let held = self
            .peers
            .iter_mut()
            .find(|peer| peer.load.member == load.member);
        if let Some(peer) = held
            && peer.reported_at < reported_at
        {
            *peer = Peer {
                load,
                reported_at,
                forwarded: 0,
            };
        }
    }

    /// Chooses a peer that is expected to serve a request sooner than this process.
    ///
    /// `wait` is the expected wait at this process. `None` means that this process cannot serve the
    /// request at all and therefore forwards even to busy peers.
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
                let fresh = now.since(peer.reported_at) < MAX_REPORT_AGE;
                let sooner = |wait| {
                    wait > self.hop_time(peer) && self.forward_allowance(at, backlog, now) >= 1.0
                };
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
            let hop = self.hop_time(peer);
            match wait {
                Some(_) => (hop, -self.forward_allowance(at, backlog, now)),
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

    /// Returns how many more requests may be forwarded to a peer before its next report.
    ///
    /// Every process may act on the same report, so the allowance is divided by the expected number
    /// of forwarding processes. It covers the peer's free slots and, if the peer's queue is shorter,
    /// the requests that this process completes in half the difference of queueing times.
    fn forward_allowance(&self, at: usize, backlog: Backlog, now: Millis) -> f64 {
        let peer = &self.peers[at];
        let age = now.since(peer.reported_at);
        let expected_senders = self.expected_senders(at);
        let fresh = 0.5_f64.powf(age.get() as f64 / REPORT_HALF_LIFE.get() as f64);
        let free = f64::from(peer.load.free_slots) * fresh;
        let delay = self.hop_time(peer) + peer.load.queue_delay;
        let gain = backlog.drain_time.since(delay).get() as f64;
        let least = (backlog.drain_time.get() as f64 * MIN_GAIN_RATIO).max(MIN_GAIN.get() as f64);
        let shorter = if gain > least {
            gain / 2.0 * backlog.capacity * fresh
        } else {
            0.0
        };
        let part = (free + shorter) / expected_senders;
        part.max(free.min(1.0)) - f64::from(peer.forwarded)
    }

    /// Returns the expected number of processes that forward to a peer: this process and the peers
    /// with a longer queue.
    fn expected_senders(&self, at: usize) -> f64 {
        let delay = self.peers[at].load.queue_delay;
        let longer = self
            .peers
            .iter()
            .filter(|other| other.load.queue_delay > delay + MIN_GAIN);
        1.0 + longer.count() as f64
    }

    fn hop_time(&self, peer: &Peer) -> Millis {
        if peer.load.zone == self.zone {
            SAME_ZONE_HOP
        } else {
            CROSS_ZONE_HOP
        }
    }
}
