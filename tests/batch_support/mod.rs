//! Fixtures of the batch tests: a bundle, workers and jobs.

#![allow(dead_code)]

pub mod network;
pub mod oracle;
pub mod sim;
pub mod site;
pub mod view;

use std::collections::BTreeMap;

use sapphirecroft::bundle::BundleInForce;
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::JobSpec;
use sapphirecroft::schema::bundle::Bundle;
use sapphirecroft::schema::vm::{VmRecord, VmRole, VmState};

/// Parses an identifier. Panics if it is invalid.
pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid identifier")
}

/// Returns a bundle with two teams and two batch classes.
pub fn bundle() -> BundleInForce {
    let bundle: Bundle = serde_json::from_value(serde_json::json!({
        "bundle": {"site": "test", "note": ""},
        "weights": {"batch_throughput": 500, "tail_latency": 500},
        "service": {},
        "class": {},
        "team": {
            "red": {"share": 1, "cpu_quota_millicores": 64000, "memory_quota_mebibytes": 64000},
            "blue": {"share": 3, "cpu_quota_millicores": 64000, "memory_quota_mebibytes": 64000}
        },
        "batch": {},
        "batch_class": {
            "plan": {"priority": 0, "max_wait_ms": 60000},
            "monitor": {"priority": 1, "max_wait_ms": 120000}
        },
        "eviction": {"per_hour": 36000, "burst": 100},
        "interference": {}
    }))
    .expect("bundle is valid");
    BundleInForce {
        version: Version(1),
        bundle,
    }
}

/// Returns a worker of 8 cores. A rack has two workers and an availability zone two racks.
pub fn worker(number: usize) -> VmRecord {
    VmRecord {
        vm: id(&format!("w{number}")),
        role: VmRole::Worker,
        state: VmState::Live,
        region: id("r1"),
        zone: id(&format!("zone{}", number / 4)),
        rack: id(&format!("rack{}", number / 2)),
        address: String::new(),
        agent: format!("w{number}"),
        capacity: Resources::new(8000, 16000, 0),
        service: None,
    }
}

/// Returns a job of the red team.
pub fn job(key: &str, tasks: u32, resources: Resources, run_time: u64) -> JobSpec {
    JobSpec {
        key: key.to_string(),
        team: id("red"),
        labels: BTreeMap::new(),
        class: id("plan"),
        kind: "plan".to_string(),
        tasks,
        resources,
        run_time: Millis(run_time),
        can_checkpoint: true,
        zone_spread: None,
    }
}
