//! Entry processes of the model, each with its own dispatcher.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use sha2::{Digest, Sha256};

use super::super::workload::{CLASSES, ENDPOINTS, SLOTS, ZONES};
use super::{Event, FAR_US, NEAR_US, Simulation, delay};
use crate::bundle::BundleInForce;
use crate::prelude::*;
use crate::routing::{
    Dispatcher, EndpointShare, IncomingRequest, Outcome, PeerLoad, RequestId, ServiceLoad, Verdict,
};
use crate::schema::bundle::{
    BatchPolicy, Bundle, BundleHead, ClassSpec, EvictionPolicy, InterferencePolicy, ServiceSpec,
    Weights,
};

/// Urgency order, guaranteed share in thousandths and longest wait in milliseconds by class.
const RULES: [(u32, u32, u64); CLASSES.len()] = [(0, 400, 200), (1, 300, 1_000), (2, 100, 5_000)];

/// One entry process.
pub struct Entry {
    /// Whether the process runs.
    pub alive: bool,
    dispatcher: Dispatcher,
    tick_at: Option<u64>,
    started: BTreeMap<u64, u64>,
}

impl Entry {
    /// Creates entry process number `at` without slots.
    pub fn new(at: usize, seed: u64) -> Self {
        let mut dispatcher = Dispatcher::new(zone(at), seed.wrapping_add(at as u64));
        dispatcher.configure(&bundle(), Millis::ZERO);
        Self {
            alive: true,
            dispatcher,
            tick_at: None,
            started: BTreeMap::new(),
        }
    }
}

/// Which entry processes hold the slots of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotSharing {
    /// All of them, as evenly as possible.
    Even,
    /// Those in the endpoint's zone, while each holds no more than its part of all slots.
    Local,
}

/// Assigns every slot to a process by rendezvous hashing.
pub fn share_slots(entries: &mut [Entry], sharing: SlotSharing) {
    let members = entries.len();
    let most = (ENDPOINTS * SLOTS as usize).div_ceil(members) as u32;
    let mut held = vec![[0; ENDPOINTS]; members];
    for local_only in [true, false] {
        for endpoint in 0..ENDPOINTS {
            for slot in 0..SLOTS {
                let taken: u32 = held.iter().map(|slots| slots[endpoint]).sum();
                if taken > slot {
                    continue;
                }
                let allowed = |at: usize| match sharing {
                    SlotSharing::Even => true,
                    SlotSharing::Local => {
                        let near = at % ZONES == endpoint % ZONES;
                        (near || !local_only) && held[at].iter().sum::<u32>() < most
                    }
                };
                let member = (0..members)
                    .filter(|&at| allowed(at))
                    .min_by_key(|&at| (held[at][endpoint], weight(endpoint, slot, at)));
                if let Some(member) = member {
                    held[member][endpoint] += 1;
                }
            }
        }
    }
    for (entry, slots) in entries.iter_mut().zip(held) {
        let shares = slots.iter().enumerate();
        let shares = shares.map(|(at, slots)| share(at, *slots)).collect();
        let service = service();
        entry
            .dispatcher
            .set_endpoints(&service, shares, Millis::ZERO);
    }
}

impl Simulation<'_> {
    /// Hands a request to a dispatcher.
    pub(super) fn enter(&mut self, job: usize, entry: usize, forwarded: bool, now: u64) {
        if !self.entries[entry].alive || !self.entries[self.first[job]].alive {
            self.result.lost += 1;
            return;
        }
        self.holder[job] = entry;
        let held = &self.work.jobs[job];
        let left = held.deadline().saturating_sub(now);
        let req = IncomingRequest {
            id: RequestId(job as u64),
            service: service(),
            class: name(CLASSES[held.class].0),
            team: None,
            deadline: Some(millis(left)),
            idempotent: true,
            forwarded,
        };
        let verdict = self.entries[entry].dispatcher.dispatch(req, millis(now));
        self.obey(entry, job, verdict, now);
        self.plan_tick(entry, now);
    }

    /// Reports the end of a request to its dispatcher.
    pub(super) fn finish(&mut self, job: usize, _endpoint: usize, now: u64) {
        let holder = self.holder[job];
        let entry = &mut self.entries[holder];
        let started = entry.started.remove(&(job as u64)).unwrap_or(now);
        let latency = millis(now - started).max(Millis(1));
        let id = RequestId(job as u64);
        let out = entry
            .dispatcher
            .finish(id, Outcome::Success { latency }, millis(now));
        self.obey_all(holder, out, now);
        self.plan_tick(holder, now);
    }

    /// Lets a dispatcher decide on what is due.
    pub(super) fn tick(&mut self, entry: usize, now: u64) {
        self.entries[entry].tick_at = None;
        if !self.entries[entry].alive {
            return;
        }
        let out = self.entries[entry].dispatcher.tick(millis(now));
        self.obey_all(entry, out, now);
        self.plan_tick(entry, now);
    }

    /// Adds the load of a process to its answer to a forwarded request.
    pub(super) fn send_report(&mut self, job: usize, now: u64) {
        let (from, to) = (self.holder[job], self.first[job]);
        let load = self.entries[from].dispatcher.load(&service());
        if let Some(peer) = peer_load(from, to, &load) {
            self.reports.insert(job, peer);
            self.at(now + delay(from, to), Event::Report { job });
        }
    }

    /// Takes the load of a peer from its answer to a forwarded request.
    pub(super) fn take_report(&mut self, job: usize, now: u64) {
        let entry = &mut self.entries[self.first[job]];
        if let Some(peer) = self.reports.remove(&job) {
            entry.dispatcher.update_peer(&service(), peer, millis(now));
        }
    }

    /// Exchanges load reports between all processes.
    pub(super) fn heartbeat(&mut self, now: u64) {
        let service = service();
        let loads: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.dispatcher.load(&service))
            .collect();
        for at in 0..self.entries.len() {
            let peers = (0..loads.len())
                .filter(|&peer| peer != at && self.entries[peer].alive)
                .filter_map(|peer| peer_load(peer, at, &loads[peer]))
                .collect();
            let entry = &mut self.entries[at];
            entry.dispatcher.set_peers(&service, peers, millis(now));
            self.plan_tick(at, now);
        }
    }

    fn obey_all(&mut self, entry: usize, out: Vec<(RequestId, Verdict)>, now: u64) {
        for (id, verdict) in out {
            self.obey(entry, id.0 as usize, verdict, now);
        }
    }

    fn obey(&mut self, entry: usize, job: usize, verdict: Verdict, now: u64) {
        match verdict {
            Verdict::Send(pick) => {
                self.entries[entry].started.insert(job as u64, now);
                let endpoint = number(pick.vm.as_str());
                self.send(job, endpoint, now);
            }
            Verdict::Forward(member) => {
                let to = number(member.as_str());
                self.result.forwarded += 1;
                let at = now + delay(entry, to);
                self.at(at, Event::Forwarded { job, entry: to });
            }
            Verdict::Wait => {}
            Verdict::Refuse { .. } | Verdict::Unknown => self.refuse(job),
        }
    }

    fn plan_tick(&mut self, entry: usize, now: u64) {
        let Some(due) = self.entries[entry].dispatcher.next_tick() else {
            return;
        };
        let due = (due.get() * 1000).max(now);
        if self.entries[entry].tick_at.is_none_or(|at| at > due) {
            self.entries[entry].tick_at = Some(due);
            self.at(due, Event::Tick { entry });
        }
    }
}

/// Returns the report of process `from` as process `to` sees it.
fn peer_load(from: usize, to: usize, load: &ServiceLoad) -> Option<PeerLoad> {
    Some(PeerLoad {
        member: name(&format!("entry-{from}"))?,
        zone: zone(from),
        free_slots: load.free_slots,
        queue_delay: load.queue_delay,
        age: millis(delay(from, to)),
    })
}

fn bundle() -> BundleInForce {
    let class = |(name, rule): (&str, (u32, u32, u64))| {
        let (urgency, share, max_wait_ms) = rule;
        let spec = ClassSpec {
            max_wait_ms: Millis(max_wait_ms),
            share: Permille(share),
            urgency,
        };
        Some((self::name(name)?, spec))
    };
    let names = CLASSES.iter().map(|(name, _, _)| *name);
    let spec = ServiceSpec {
        connections_per_endpoint: 64,
        default_class: name(CLASSES[1].0).unwrap_or_default(),
        default_deadline_ms: Millis(2_000),
        hedge: false,
        max_deadline_ms: Millis(30_000),
        max_ejected_permille: Permille(500),
        retry_budget_permille: Permille(100),
        slots_per_endpoint: SLOTS,
    };
    let bundle = Bundle {
        batch: BatchPolicy::default(),
        batch_class: BTreeMap::new(),
        bundle: BundleHead {
            note: String::new(),
            site: name("bench").unwrap_or_default(),
        },
        class: names.zip(RULES).filter_map(class).collect(),
        eviction: EvictionPolicy::default(),
        interference: InterferencePolicy::default(),
        service: BTreeMap::from([(service(), spec)]),
        team: BTreeMap::new(),
        weights: Weights {
            batch_throughput: Permille(500),
            tail_latency: Permille(500),
        },
    };
    BundleInForce {
        version: Version(1),
        bundle,
    }
}

fn share(endpoint: usize, slots: u32) -> EndpointShare {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, endpoint as u8));
    EndpointShare {
        vm: name(&format!("vm-{endpoint}")).unwrap_or_default(),
        zone: zone(endpoint),
        address: Address(SocketAddr::new(ip, 80)),
        slots,
        leaving: false,
    }
}

fn weight(endpoint: usize, slot: u32, member: usize) -> Vec<u8> {
    Sha256::digest(format!("{endpoint}/{slot}/{member}")).to_vec()
}

fn service() -> ServiceId {
    name("bench").unwrap_or_default()
}

fn zone(at: usize) -> ZoneId {
    name(&format!("zone-{}", at % ZONES)).unwrap_or_default()
}

fn name<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Returns the number at the end of a name such as `vm-12`.
fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or_default()
}

const fn millis(us: u64) -> Millis {
    Millis(us / 1000)
}

const _: () = assert!(NEAR_US < FAR_US && ENDPOINTS < 256);
