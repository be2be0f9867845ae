//! Decodes the entry that a worker writes into the store.

use serde::Deserialize;

use super::config::round_to_u64;
use crate::prelude::*;
use crate::scheduler::WorkerEntry;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireWorkerEntry {
    service: String,
    address: String,
    state: String,
    capacity: Capacity,
    /// Kind of the worker and its rack.
    #[serde(default)]
    labels: Vec<String>,
    /// Start of the worker's incarnation, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Capacity {
    /// CPU in thousandths of a core.
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

/// Largest CPU capacity of a worker: a million cores, in thousandths of a core.
const MAX_CPU: f64 = 1e9;

/// Largest memory of a worker, in MiB.
const MAX_MEMORY: f64 = 1e12;

/// Largest number of accelerators of a worker.
const MAX_ACCELERATORS: f64 = 1e6;

impl Capacity {
    /// Returns whether a worker can offer these figures; others would overflow sums over the fleet.
    fn is_plausible(&self) -> bool {
        (0.0..=MAX_CPU).contains(&self.cpu)
            && (0.0..=MAX_MEMORY).contains(&self.mem_mb)
            && (0.0..=MAX_ACCELERATORS).contains(&self.gpu)
    }
}

/// Decodes an entry; an error means that it names no worker to use.
pub(super) fn decode(id: WorkerId, value: &[u8]) -> Result<WorkerEntry, String> {
    let entry: WireWorkerEntry = serde_json::from_slice(value).map_err(|err| err.to_string())?;
    let draining = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("unknown state {other:?}")),
    };
    let address: std::net::SocketAddr = entry
        .address
        .parse()
        .map_err(|err| format!("address {:?}: {err}", entry.address))?;
    if address.port() == 0 {
        return Err(format!("address {:?} has no port", entry.address));
    }
    if !entry.capacity.is_plausible() {
        return Err(format!("capacity {:?} is out of range", entry.capacity));
    }
    Ok(WorkerEntry {
        id,
        incarnation: entry.born,
        service: entry.service,
        address: entry.address,
        capacity: resources(
            entry.capacity.cpu,
            entry.capacity.mem_mb,
            entry.capacity.gpu,
        ),
        labels: entry.labels,
        draining,
    })
}

pub(super) fn resources(cpu: f64, memory: f64, gpu: f64) -> Resources {
    Resources::new(
        round_to_u64(cpu),
        round_to_u64(memory),
        u32::try_from(round_to_u64(gpu)).unwrap_or(u32::MAX),
    )
}
