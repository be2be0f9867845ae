//! Reads the settings file of an entry process, which the platform writes.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::config::round_to_u64;
use crate::entry::{EntrySettings, LEASE_HORIZON};
use crate::prelude::*;
use crate::scheduler::{Timing, with_clock_drift};
use crate::web::InboundLimits;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node_name: String,
    ip: String,
    listen: ListenAddresses,
    internal_ports: (u16, u16),
    #[serde(default)]
    bounds: TimeLimits,
    platform: StoreSettings,
    /// Address of the advice service.
    advice: Option<String>,
    #[serde(default)]
    limits: VmLimits,
}

/// Capacity of the VM.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct VmLimits {
    /// Usable share of each core.
    cpu_share: f64,
    cores: f64,
    memory_mb: f64,
    /// Descriptors that a process may open.
    max_fds: f64,
}

impl Default for VmLimits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cores: 1.0,
            memory_mb: 0.0,
            max_fds: 0.0,
        }
    }
}

#[derive(Deserialize)]
struct ListenAddresses {
    frontend: Option<String>,
    readiness: Option<String>,
}

/// Time limits that the platform sets. Their names in the file mix two styles.
#[derive(Deserialize)]
#[serde(default)]
struct TimeLimits {
    #[serde(rename = "graceS")]
    grace_s: f64,
    /// Time after its acknowledgement within which a new configuration has to be in force.
    #[serde(rename = "configApplyMs")]
    config_apply_ms: f64,
    /// Longest lease that a worker accepts for its runs.
    #[serde(rename = "holdMaxMs")]
    hold_max_ms: f64,
    /// Time after the end of a job for which callers may read its state.
    status_s: f64,
    /// Time above its latency target after which the target of a serving task counts as violated.
    #[serde(rename = "impactMs")]
    impact_ms: f64,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            config_apply_ms: 2000.0,
            hold_max_ms: 6000.0,
            status_s: 120.0,
            impact_ms: 4000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreSettings {
    address: String,
    #[serde(default)]
    ttl_min_ms: f64,
}

/// Part of a worker's longest lease that is left unused, for the delay of a call.
const LEASE_MARGIN: Millis = Millis(200);

/// Shortest bound on the age of a configuration; a watch takes about as long.
const SHORTEST_CONFIG_APPLY: Millis = Millis(1000);

/// Time by which job records outlive the period in which callers may read them.
const RETENTION_MARGIN: Millis = Millis(20_000);

fn round_to_usize(value: f64) -> usize {
    usize::try_from(round_to_u64(value)).unwrap_or(usize::MAX)
}

/// Reads and checks the settings file.
pub fn read_settings(path: &Path) -> Result<EntrySettings, String> {
    let text = std::fs::read(path).map_err(|err| format!("{}: {err}", path.display()))?;
    let file: SettingsFile =
        serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", path.display()))?;
    for address in [&file.listen.frontend, &file.listen.readiness]
        .into_iter()
        .flatten()
        .chain([&file.platform.address])
    {
        address
            .parse::<SocketAddr>()
            .map_err(|err| format!("{}: address {address:?}: {err}", path.display()))?;
    }
    let (first, last) = file.internal_ports;
    if last <= first {
        return Err(format!(
            "{}: internalPorts must span at least two ports",
            path.display()
        ));
    }
    let longest_lease = Millis(round_to_u64(file.bounds.hold_max_ms));
    let run_lease = longest_lease - LEASE_MARGIN;
    Ok(EntrySettings {
        name: file.node_name,
        frontend: file.listen.frontend,
        readiness: file.listen.readiness,
        peer: format!("{}:{first}", file.ip),
        metrics: format!("{}:{}", file.ip, first + 1),
        store: file.platform.address,
        advice: file.advice.filter(|address| !address.is_empty()),
        processors: file.limits.cpu_share * file.limits.cores,
        shortest_lease: Millis(round_to_u64(file.platform.ttl_min_ms)),
        config_apply: Millis(round_to_u64(file.bounds.config_apply_ms)).max(SHORTEST_CONFIG_APPLY),
        inbound: InboundLimits::for_vm(
            round_to_usize(file.limits.memory_mb),
            round_to_usize(file.limits.max_fds),
        ),
        grace: Millis(round_to_u64(file.bounds.grace_s * 1000.0)),
        timing: Timing {
            run_lease,
            longest_lease,
            former_leases: with_clock_drift(LEASE_HORIZON),
            ended_retention: Millis(round_to_u64(file.bounds.status_s * 1000.0)) + RETENTION_MARGIN,
            violation_after: Millis(round_to_u64(file.bounds.impact_ms)),
        },
    })
}
