//! Reads the settings file that the platform writes.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::config::whole;
use crate::entry::{EntrySettings, FORMER_LEADER_RENEWAL_LIMIT};
use crate::prelude::*;
use crate::scheduler::Timing;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Boot {
    node_name: String,
    ip: String,
    listen: Listen,
    internal_ports: (u16, u16),
    #[serde(default)]
    bounds: Bounds,
    platform: Store,
    /// Address of the advice service.
    advice: Option<String>,
    #[serde(default)]
    limits: Limits,
}

/// Size of the VM.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    /// Share of each of the cores.
    cpu_share: f64,
    cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cores: 1.0,
        }
    }
}

#[derive(Deserialize)]
struct Listen {
    frontend: Option<String>,
    readiness: Option<String>,
}

/// Bounds that the product depends on; their names mix two styles.
#[derive(Deserialize)]
#[serde(default)]
struct Bounds {
    #[serde(rename = "graceS")]
    grace_s: f64,
    /// Longest lease of a worker for its runs.
    #[serde(rename = "holdMaxMs")]
    hold_max_ms: f64,
    /// Time that a job's state can be read after its end.
    status_s: f64,
    /// Time over its target after which a serving task counts as harmed.
    #[serde(rename = "impactMs")]
    impact_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            hold_max_ms: 6000.0,
            status_s: 120.0,
            impact_ms: 4000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Store {
    address: String,
    #[serde(default)]
    ttl_min_ms: f64,
}

/// Time kept free of a worker's longest lease for the delay of a call.
const LEASE_MARGIN: Millis = Millis(200);

/// Time by which records outlive the span in which callers may ask for them.
const KEEP_MARGIN: Millis = Millis(20_000);

/// Reads and checks the settings file.
pub fn read_settings(path: &Path) -> Result<EntrySettings, String> {
    let text = std::fs::read(path).map_err(|err| format!("{}: {err}", path.display()))?;
    let boot: Boot =
        serde_json::from_slice(&text).map_err(|err| format!("{}: {err}", path.display()))?;
    for address in [&boot.listen.frontend, &boot.listen.readiness]
        .into_iter()
        .flatten()
        .chain([&boot.platform.address])
    {
        address
            .parse::<SocketAddr>()
            .map_err(|err| format!("{}: address {address:?}: {err}", path.display()))?;
    }
    let (first, last) = boot.internal_ports;
    if last <= first {
        return Err(format!(
            "{}: internalPorts holds no two ports",
            path.display()
        ));
    }
    let run_lease = Millis(whole(boot.bounds.hold_max_ms)) - LEASE_MARGIN;
    Ok(EntrySettings {
        name: boot.node_name,
        frontend: boot.listen.frontend,
        readiness: boot.listen.readiness,
        peer: format!("{}:{first}", boot.ip),
        metrics: format!("{}:{}", boot.ip, first + 1),
        store: boot.platform.address,
        advice: boot.advice.filter(|address| !address.is_empty()),
        processors: boot.limits.cpu_share * boot.limits.cores,
        shortest_lease: Millis(whole(boot.platform.ttl_min_ms)),
        grace: Millis(whole(boot.bounds.grace_s * 1000.0)),
        timing: Timing {
            run_lease,
            takeover_expiry: FORMER_LEADER_RENEWAL_LIMIT
                + run_lease.scale_permille(1025)
                + LEASE_MARGIN,
            ended_retention: Millis(whole(boot.bounds.status_s * 1000.0)) + KEEP_MARGIN,
            violation_after: Millis(whole(boot.bounds.impact_ms)),
        },
    })
}
