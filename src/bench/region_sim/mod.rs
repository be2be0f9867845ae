//! The entry processes of one region in virtual time, with a model of the store and faults.

mod events;
mod faults;
mod network;
mod process;
mod requests;
mod store;
mod verdict;

use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::membership::Timing;
use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};
use crate::standin::Kv;
pub use events::Counters;
use events::{Event, Scheduled};
pub use faults::StoreAccess;
use process::Process;
use requests::Request;

/// Interval of the timers of a process.
const TICK: Millis = Millis(50);

/// Interval at which the invariants are checked.
const CHECK: Millis = Millis(20);

/// What a simulated region consists of.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Seed of delays, losses, clock rates and requests.
    pub seed: u64,
    /// Entry VMs.
    pub members: usize,
    /// Availability zones that the entry VMs are spread over.
    pub zones: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Racks and job shards whose owners are checked.
    pub items: usize,
    /// Whether clock rates differ by up to 10%.
    pub skewed: bool,
    /// Whether processes send requests.
    pub requests: bool,
    /// Whether invariants are checked.
    pub checked: bool,
    /// Whether heartbeats carry the load of one service and a bundle version.
    pub loads: bool,
    /// Interval between reads of the VM list.
    pub vms_poll: Millis,
    /// Spans of the rules.
    pub timing: Timing,
}

impl Default for SimConfig {
    fn default() -> Self {
        let timing = Timing {
            request_deadline: Millis(2000),
            ..Timing::default()
        };
        Self {
            seed: 1,
            members: 6,
            zones: 3,
            endpoints: 4,
            items: 4,
            skewed: true,
            requests: true,
            checked: true,
            loads: false,
            vms_poll: Millis(1000),
            timing,
        }
    }
}

/// One entry VM and the process that runs on it.
struct Host {
    vm: VmId,
    zone: ZoneId,
    address: String,
    process: Option<usize>,
}

/// A simulated region.
pub struct RegionSim {
    config: SimConfig,
    now: Millis,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Scheduled>,
    scheduled: u64,
    hosts: Vec<Host>,
    processes: Vec<Process>,
    kv: Kv,
    store: StoreAccess,
    cut: Vec<bool>,
    loss_permille: u32,
    vm_lag: Millis,
    vm_history: Vec<(Millis, Vec<VmRecord>)>,
    requests: Vec<Request>,
    next_check: Millis,
    counters: Counters,
    violations: Vec<String>,
}

impl RegionSim {
    /// Starts one process on each entry VM at the same time.
    pub fn new(config: SimConfig) -> Self {
        let mut sim = Self {
            now: Millis(1000),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            queue: BinaryHeap::new(),
            scheduled: 0,
            hosts: Vec::new(),
            processes: Vec::new(),
            kv: Kv::default(),
            store: StoreAccess::default(),
            cut: Vec::new(),
            loss_permille: 0,
            vm_lag: Millis(500),
            vm_history: Vec::new(),
            requests: Vec::new(),
            next_check: Millis::ZERO,
            counters: Counters::default(),
            violations: Vec::new(),
            config,
        };
        for _ in 0..sim.config.members {
            sim.add_host();
        }
        sim.list_vms(Millis::ZERO);
        for host in 0..sim.config.members {
            sim.start(host);
        }
        sim
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Millis) {
        self.run_until(span, |_| false);
    }

    /// Lets time pass until a condition holds at a check; returns how long that took.
    pub fn run_until(&mut self, span: Millis, done: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        let end = start + span;
        loop {
            let next = self.queue.peek().map_or(end, |event| event.at);
            let at = next.min(self.next_check.max(self.now)).min(end);
            self.now = at;
            if self.now >= self.next_check {
                self.next_check = self.now + CHECK;
                self.check();
                if done(self) {
                    return Some(self.now.since(start));
                }
            }
            if self.now >= end {
                return None;
            }
            while self.queue.peek().is_some_and(|event| event.at <= self.now) {
                if let Some(event) = self.queue.pop() {
                    self.handle(event.event);
                }
            }
        }
    }

    /// Returns the time that has passed everywhere.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns what was counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the broken invariants.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    fn add_host(&mut self) -> usize {
        let at = self.hosts.len();
        let host = Host {
            vm: name(&format!("entry-{at}")),
            zone: name(&format!("zone-{}", at % self.config.zones.max(1))),
            address: format!("10.0.{}.{}:7101", at / 250, at % 250),
            process: None,
        };
        self.hosts.push(host);
        self.cut.push(false);
        at
    }

    fn start(&mut self, host: usize) {
        let rate = match self.config.skewed {
            true => self.rng.random_range(1000..=1100),
            false => 1000,
        };
        let at = self.processes.len();
        let process = Process::new(at, host, &self.hosts[host], rate, &self.config);
        self.processes.push(process);
        self.hosts[host].process = Some(at);
        let first = Millis(self.rng.random_range(0..TICK.0));
        self.schedule(first, Event::Tick(at));
        self.schedule(first, Event::ReadVms(at));
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.scheduled += 1;
        self.queue.push(Scheduled {
            at: self.now + after,
            order: self.scheduled,
            event,
        });
    }

    /// Puts the current hosts into the VM list, as of `at`.
    fn list_vms(&mut self, at: Millis) {
        let entries = self.hosts.iter().filter(|host| !host.address.is_empty());
        let mut vms: Vec<VmRecord> = entries
            .map(|host| record(&host.vm, VmRole::Entry, &host.address))
            .collect();
        vms.extend(
            (0..self.config.endpoints)
                .map(|at| record(&endpoint(at), VmRole::Worker, "10.9.0.1:80")),
        );
        self.vm_history.push((at, vms));
    }

    fn visible_vms(&self) -> Vec<VmRecord> {
        let lag = self.vm_lag;
        let shown = self
            .vm_history
            .iter()
            .rev()
            .find(|(at, _)| self.now.since(*at) >= lag);
        shown
            .or(self.vm_history.first())
            .map_or(Vec::new(), |(_, vms)| vms.clone())
    }
}

/// Returns the id of an endpoint.
fn endpoint(at: usize) -> VmId {
    name(&format!("worker-{at}"))
}

fn name<T: std::str::FromStr + Default>(text: &str) -> T {
    text.parse().unwrap_or_default()
}

fn region() -> RegionId {
    name("region")
}

fn record(vm: &VmId, role: VmRole, address: &str) -> VmRecord {
    VmRecord {
        vm: vm.clone(),
        role,
        state: VmState::Live,
        zone: name("zone-0"),
        region: region(),
        rack: name("rack-0"),
        address: address.to_string(),
        agent: String::new(),
        service: (role == VmRole::Worker).then(|| name("booking")),
        capacity: Resources::default(),
    }
}
