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
    #[serde(default)]
    capacity: Capacity,
    /// Kind of the worker and its rack.
    #[serde(default)]
    labels: Vec<String>,
    /// Start of the worker's incarnation, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Capacity {
    /// CPU in thousandths of a core.
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

pub(super) fn decode(id: WorkerId, value: &[u8]) -> Result<WorkerEntry, String> {
    let entry: WireWorkerEntry = serde_json::from_slice(value).map_err(|err| err.to_string())?;
    let draining = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("unknown state {other:?}")),
    };
    entry
        .address
        .parse::<std::net::SocketAddr>()
        .map_err(|err| format!("address {:?}: {err}", entry.address))?;
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
