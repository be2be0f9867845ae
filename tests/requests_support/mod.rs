//! Fixtures of the dispatcher tests.
#![allow(dead_code)]

use sapphirecroft::bundle::BundleInForce;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;
use serde_json::json;

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is an identifier"))
}

pub fn service() -> ServiceId {
    id("booking")
}

/// Returns a bundle with one service, three classes (shares 200, 300 and 100) and two teams
/// (weights 3 and 1).
pub fn bundle(version: u64) -> BundleInForce {
    bundle_with(version, json!({}))
}

/// Returns the bundle of [`bundle`] with some settings of the service replaced.
pub fn bundle_with(version: u64, changes: serde_json::Value) -> BundleInForce {
    let mut service = json!({
        "default_class": "normal",
        "default_deadline_ms": 2000,
        "max_deadline_ms": 30000,
        "hedge": true,
    });
    for (key, value) in changes.as_object().expect("changes are an object") {
        service[key] = value.clone();
    }
    let team = |share: u32| json!({"share": share, "cpu_quota_millicores": 1, "memory_quota_mebibytes": 1});
    let bundle = serde_json::from_value(json!({
        "bundle": {"site": "tulua", "note": "test"},
        "weights": {"batch_throughput": 500, "tail_latency": 500},
        "service": {"booking": service},
        "class": {
            "urgent": {"urgency": 0, "share": 200, "max_wait_ms": 200},
            "normal": {"urgency": 1, "share": 300, "max_wait_ms": 1000},
            "patient": {"urgency": 2, "share": 100, "max_wait_ms": 5000},
        },
        "team": {"crews": team(3), "masters": team(1)},
        "batch": {},
        "batch_class": {},
        "eviction": {},
        "interference": {},
    }))
    .expect("bundle is valid");
    BundleInForce {
        version: Version(version),
        bundle,
    }
}

pub fn share(vm: usize, slots: u32) -> EndpointShare {
    EndpointShare {
        vm: id(&format!("vm-{vm}")),
        zone: id(["tulua", "buga", "sevilla"][vm % 3]),
        address: id(&format!("10.0.0.{}:80", vm + 1)),
        slots,
        leaving: false,
    }
}

pub fn shares(count: usize, slots: u32) -> Vec<EndpointShare> {
    (0..count).map(|vm| share(vm, slots)).collect()
}

/// Creates a dispatcher in zone `tulua` with `count` endpoints of `slots` slots each.
pub fn dispatcher(count: usize, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(id("tulua"), 7);
    dispatcher.configure(&bundle(1), Millis::ZERO);
    dispatcher.set_endpoints(&service(), shares(count, slots), Millis::ZERO);
    dispatcher
}

pub fn request(number: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(number),
        service: service(),
        class: None,
        team: None,
        deadline: None,
        idempotent: true,
        forwarded: false,
    }
}

pub fn request_of_class(number: u64, class: &str) -> IncomingRequest {
    IncomingRequest {
        class: Some(id(class)),
        ..request(number)
    }
}

pub fn expect_send(verdict: Verdict) -> Pick {
    match verdict {
        Verdict::Send(pick) => pick,
        other => panic!("expected a send, got {other:?}"),
    }
}

pub fn success(ms: u64) -> Outcome {
    Outcome::Success {
        latency: Millis(ms),
    }
}
