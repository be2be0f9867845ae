//! Index of workers by free capacity. It bounds the number of candidates of a decision.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Best-fit candidates per availability zone: those with the least free processors that suffice.
const BEST_FIT_CANDIDATES: usize = 6;

/// Random candidates per availability zone among the workers with enough free processors.
const RANDOM_CANDIDATES: usize = 6;

/// Workers per availability zone that are scanned when no candidate fits in every resource.
const FALLBACK_SCAN_LEN: usize = 128;

/// Number under which a rack owner keeps a worker.
pub type WorkerSlot = u32;

#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    by_cpu: BTreeSet<(u64, WorkerSlot)>,
    by_accelerators: BTreeSet<(u32, WorkerSlot)>,
}

/// Workers that take new tasks, by availability zone and free capacity.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    zones: BTreeMap<ZoneId, ZoneIndex>,
    free: BTreeMap<WorkerSlot, (ZoneId, Resources)>,
}

impl FreeIndex {
    /// Sets the free capacity of a worker; `None` removes the worker.
    pub fn set(&mut self, slot: WorkerSlot, zone: &ZoneId, free: Option<Resources>) {
        if let Some((zone, old)) = self.free.remove(&slot)
            && let Some(index) = self.zones.get_mut(&zone)
        {
            index.by_cpu.remove(&(old.cpu.0, slot));
            index.by_accelerators.remove(&(old.accelerators.0, slot));
        }
        let Some(free) = free else {
            return;
        };
        self.free.insert(slot, (zone.clone(), free));
        let index = self.zones.entry(zone.clone()).or_default();
        index.by_cpu.insert((free.cpu.0, slot));
        if free.accelerators.0 > 0 {
            index.by_accelerators.insert((free.accelerators.0, slot));
        }
    }

    /// Returns the number of indexed workers.
    pub fn len(&self) -> usize {
        self.free.len()
    }

    /// Returns whether no worker takes new tasks.
    pub fn is_empty(&self) -> bool {
        self.free.is_empty()
    }

    /// Returns the total of the free capacity, and the largest free amount of each resource.
    pub fn summary(&self) -> (Resources, Resources) {
        let mut sum = Resources::default();
        let mut largest = Resources::default();
        for (_, free) in self.free.values() {
            sum = sum.checked_add(free).unwrap_or(sum);
            largest.cpu = largest.cpu.max(free.cpu);
            largest.memory = largest.memory.max(free.memory);
            largest.accelerators = largest.accelerators.max(free.accelerators);
        }
        (sum, largest)
    }

    /// Returns a bounded number of workers with room for `size`, outside the zones to avoid.
    ///
    /// `random` seeds the sampling.
    pub fn candidates(&self, size: &Resources, avoid: &[ZoneId], random: u64) -> Vec<WorkerSlot> {
        let mut out =
            Vec::with_capacity((BEST_FIT_CANDIDATES + RANDOM_CANDIDATES) * self.zones.len());
        for (zone, index) in &self.zones {
            if avoid.contains(zone) {
                continue;
            }
            let before = out.len();
            if size.accelerators.0 > 0 {
                let fitting = index.by_accelerators.range((size.accelerators.0, 0)..);
                out.extend(
                    fitting
                        .map(|(_, slot)| *slot)
                        .take(BEST_FIT_CANDIDATES + RANDOM_CANDIDATES),
                );
            } else {
                sample(&index.by_cpu, size.cpu.0, random, &mut out);
            }
            out.retain(|slot| self.has_room(*slot, size));
            if out.len() == before {
                let fitting = index.by_cpu.range((size.cpu.0, 0)..);
                let fitting = fitting
                    .map(|(_, slot)| *slot)
                    .take(FALLBACK_SCAN_LEN)
                    .filter(|slot| self.has_room(*slot, size))
                    .take(BEST_FIT_CANDIDATES);
                out.extend(fitting);
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    fn has_room(&self, slot: WorkerSlot, size: &Resources) -> bool {
        self.free
            .get(&slot)
            .is_some_and(|(_, free)| size.fits(free))
    }
}

fn sample(by_cpu: &BTreeSet<(u64, WorkerSlot)>, cpu: u64, random: u64, out: &mut Vec<WorkerSlot>) {
    let fitting = by_cpu.range((cpu, 0)..);
    out.extend(fitting.map(|(_, slot)| *slot).take(BEST_FIT_CANDIDATES));
    let Some((most, _)) = by_cpu.last().filter(|(most, _)| *most >= cpu) else {
        return;
    };
    let mut state = random;
    for _ in 0..RANDOM_CANDIDATES {
        state = splitmix64(state);
        let from = cpu + state % (most - cpu + 1);
        let slot = WorkerSlot::try_from((state >> 32) % (1 << 20)).unwrap_or_default();
        let found = by_cpu.range((from, slot)..).next();
        out.extend(found.map(|(_, slot)| *slot));
    }
}

/// Returns the output of one splitmix64 step.
///
/// Callers pass the output back in as the next state.
pub fn splitmix64(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
