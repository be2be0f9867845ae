//! Decodes what a worker writes of itself into the store.

use serde::Deserialize;

use super::config::whole;
use crate::prelude::*;
use crate::scheduler::WorkerEntry;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    service: String,
    address: String,
    state: String,
    #[serde(default)]
    capacity: Capacity,
    /// The worker's kind and its rack.
    #[serde(default)]
    labels: Vec<String>,
    /// Unix milliseconds of the start of its life.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Capacity {
    /// Thousandths of a core.
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

pub(super) fn decode(id: WorkerId, value: &[u8]) -> Result<WorkerEntry, String> {
    let entry: Entry = serde_json::from_slice(value).map_err(|err| err.to_string())?;
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
        whole(cpu),
        whole(memory),
        u32::try_from(whole(gpu)).unwrap_or(u32::MAX),
    )
}
