//! Processor time and memory of the membership machine.

use std::hint::black_box;
use std::time::Instant;

use crate::membership::{Input, MemberView, Membership, Output, SlotBound, SlotHandover, Timing};
use crate::peer::{pack, unpack};
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, Member, MemberRecord, ServiceLoad};
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// Heartbeats for the measurement of processor time.
const HEARTBEATS: u32 = 2000;

/// Repetitions of a recomputation.
const RECOMPUTATIONS: u32 = 20;

/// Machines that are kept at once to measure their memory.
const MACHINES: usize = 40;

/// Bytes of a page of memory.
const PAGE: f64 = 4096.0;

/// Costs of one member.
pub(super) struct Costs {
    /// Building, packing, unpacking and taking in a heartbeat and its answer, at both ends.
    pub heartbeat_micros: f64,
    /// One timer tick.
    pub tick_micros: f64,
    /// All slots of one settled view.
    pub settled_millis: f64,
    /// All slots while a death is handed over.
    pub handover_millis: f64,
}

/// Memory of one machine.
pub(super) struct Memory {
    /// Without endpoints.
    pub state_bytes: f64,
    /// For each endpoint.
    pub endpoint_bytes: f64,
}

/// Measures the memory at each size; must run before anything else frees memory.
pub(super) fn measure_memory(sizes: &[usize], endpoints: usize) -> Vec<Memory> {
    let mut kept = Vec::new();
    let memory = sizes.iter().map(|members| {
        let bare = memory_of(*members, 0, &mut kept);
        let full = memory_of(*members, endpoints, &mut kept);
        Memory {
            state_bytes: bare,
            endpoint_bytes: (full - bare) / endpoints as f64,
        }
    });
    memory.collect()
}

pub(super) fn measure(members: usize, endpoints: usize) -> Costs {
    Costs {
        heartbeat_micros: heartbeat_micros(members),
        tick_micros: tick_micros(members, endpoints),
        settled_millis: recompute_millis(members, endpoints, false),
        handover_millis: recompute_millis(members, endpoints, true),
    }
}

/// Returns one service's load, which a heartbeat carries at both sites.
pub(super) fn load() -> Vec<ServiceLoad> {
    vec![ServiceLoad {
        service: name("ballast-booking"),
        free: 120,
        delay: Millis(14),
    }]
}

fn heartbeat_micros(members: usize) -> f64 {
    let now = Millis(60_000);
    let mut sender = machine(members, 0, 0);
    let mut receiver = machine(members, 1, 0);
    sender.step(Input::ViewReceived(record(members)), now);
    receiver.step(Input::ViewReceived(record(members)), now);
    let beat = sender
        .step(Input::Tick, now)
        .into_iter()
        .find_map(|output| match output {
            Output::SendHeartbeat(_, beat) => Some(beat),
            _ => None,
        });
    let Some(mut beat) = beat else {
        return 0.0;
    };
    beat.loads = load();
    let start = Instant::now();
    for _ in 0..HEARTBEATS {
        let sent: Option<Heartbeat> = pack(&beat).ok().and_then(|buf| unpack(&buf).ok());
        let Some(sent) = sent else {
            return 0.0;
        };
        let mut answer = receiver.receive(&sent, now);
        answer.loads = load();
        let answer: Option<Heartbeat> = pack(&answer).ok().and_then(|buf| unpack(&buf).ok());
        if let Some(answer) = answer {
            black_box(sender.step(Input::HeartbeatResponse(now, answer), now));
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(HEARTBEATS)
}

fn tick_micros(members: usize, endpoints: usize) -> f64 {
    let mut machine = machine(members, 0, endpoints);
    machine.step(Input::ViewReceived(record(members)), Millis(60_000));
    machine.step(Input::Tick, Millis(60_000));
    let start = Instant::now();
    for at in 0..HEARTBEATS {
        black_box(machine.step(Input::Tick, Millis(60_000 + u64::from(at))));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(HEARTBEATS)
}

fn recompute_millis(members: usize, endpoints: usize, handover: bool) -> f64 {
    let ids = |from: usize| (from..members).map(|at| member(at).id).collect();
    let views = [
        MemberView::new(Epoch(1), ids(0)),
        MemberView::new(Epoch(2), ids(1)),
    ];
    let drained_epoch = if handover { Epoch(1) } else { Epoch(2) };
    let bounds: Vec<SlotBound> = (0..members)
        .filter(|at| *at != 1)
        .map(|at| SlotBound {
            id: member(at).id,
            drained_epoch,
        })
        .collect();
    let vms: Vec<VmId> = (0..endpoints).map(|at| endpoint(at).vm).collect();
    let start = Instant::now();
    for _ in 0..RECOMPUTATIONS {
        let sums = SlotHandover::new(&views, &member(1).id, &bounds);
        let total: u32 = vms.iter().map(|vm| sums.usable_at(vm)).sum();
        black_box(total);
    }
    start.elapsed().as_secs_f64() * 1e3 / f64::from(RECOMPUTATIONS)
}

/// Returns the bytes of one machine, from the growth of this process's memory.
///
/// The machines are kept, because memory that was freed would hide later growth.
fn memory_of(members: usize, endpoints: usize, kept: &mut Vec<Membership>) -> f64 {
    let record = record(members);
    let Some(before) = resident_bytes() else {
        return 0.0;
    };
    for _ in 0..MACHINES {
        let mut machine = machine(members, 0, endpoints);
        machine.step(Input::ViewReceived(record.clone()), Millis(60_000));
        machine.step(Input::Tick, Millis(60_000));
        kept.push(machine);
    }
    let after = resident_bytes().unwrap_or(before);
    (after - before).max(0.0) / MACHINES as f64
}

fn resident_bytes() -> Option<f64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

fn machine(members: usize, at: usize, endpoints: usize) -> Membership {
    let mut machine = Membership::new(member(at), name("region"), Timing::default());
    let entries = (0..members).map(|at| VmRecord {
        vm: member(at).vm,
        role: VmRole::Entry,
        ..endpoint(at)
    });
    let vms = entries.chain((0..endpoints).map(endpoint)).collect();
    machine.step(Input::VmListRead(vms), Millis(59_000));
    machine
}

fn record(members: usize) -> MemberRecord {
    MemberRecord {
        epoch: Epoch(4000),
        members: (0..members).map(member).collect(),
        changes: Vec::new(),
        writer: name("entry-0:1"),
    }
}

fn member(at: usize) -> Member {
    Member {
        id: name(&format!("entry-{at}-5f3a91c2")),
        vm: name(&format!("entry-{at}")),
        zone: name(&format!("zone-{}", at % 3)),
        address: format!("10.20.{}.{}:7101", at / 250, at % 250),
        listed: true,
    }
}

/// Returns a worker as the VM list shows it.
pub(super) fn endpoint(at: usize) -> VmRecord {
    VmRecord {
        vm: name(&format!("worker-{at}")),
        role: VmRole::Worker,
        state: VmState::Live,
        zone: name(&format!("zone-{}", at % 3)),
        region: name("region"),
        rack: name(&format!("rack-{}", at / 8)),
        address: format!("10.30.{}.{}:8080", at / 250, at % 250),
        agent: format!("10.30.{}.{}:8081", at / 250, at % 250),
        service: Some(name("ballast-booking")),
        capacity: Resources::new(64_000, 256_000, 0),
    }
}

fn name<T: std::str::FromStr + Default>(text: &str) -> T {
    text.parse().unwrap_or_default()
}
