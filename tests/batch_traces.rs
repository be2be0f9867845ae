//! Replay of traces of the two sites on a batch node, with expected outcomes in each trace.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use batch_support::site::Site;
use batch_support::{id, worker};
use sapphirecroft::bundle::BundleInForce;
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{JobFilter, JobPhase, JobSpec};
use sapphirecroft::schema::bundle::Bundle;
use sapphirecroft::schema::vm::VmRecord;
use sapphirecroft::schema::worker::TaskPhase;
use serde::Deserialize;
use tokio::time::{Instant, sleep_until};

#[derive(Deserialize)]
struct Trace {
    fleet: FleetShape,
    bundle: Bundle,
    events: Vec<Event>,
    until: u64,
    expect: Expected,
}

#[derive(Deserialize)]
struct FleetShape {
    workers: usize,
    cpu: u64,
    memory: u64,
    per_rack: usize,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct Event {
    at: u64,
    submit: Option<JobSpec>,
    cancel: Option<BTreeMap<String, String>>,
    fail_all: Option<usize>,
    lose_rack: Option<String>,
    lose_zone: Option<String>,
    store_down: Option<u64>,
    lose_answers: Option<u64>,
}

#[derive(Deserialize)]
struct Expected {
    done: Vec<String>,
    cancelled: Vec<String>,
    refused: BTreeMap<String, String>,
    #[serde(default)]
    start_within: BTreeMap<String, u64>,
    #[serde(default)]
    spread: BTreeMap<String, usize>,
}

#[derive(Default)]
struct Outcome {
    jobs: BTreeMap<String, (JobId, u64)>,
    refused: BTreeMap<String, String>,
}

fn vms(shape: &FleetShape) -> Vec<VmRecord> {
    (0..shape.workers)
        .map(|n| {
            let rack = n / shape.per_rack;
            let mut vm = worker(n);
            vm.rack = id(&format!("rack{rack}"));
            vm.zone = id(&shape.zones[rack % shape.zones.len()]);
            vm.capacity = Resources::new(shape.cpu, shape.memory, 0);
            vm
        })
        .collect()
}

async fn apply(site: &Site, vms: &mut Vec<VmRecord>, event: Event, outcome: &mut Outcome) {
    if let Some(spec) = event.submit {
        let key = spec.key.clone();
        match site.node.submit(spec).await {
            Ok(job) => drop(outcome.jobs.insert(key, (job, event.at))),
            Err(refusal) => drop(outcome.refused.insert(key, refusal.to_string())),
        }
    }
    if let Some(labels) = event.cancel {
        let filter = JobFilter {
            job: None,
            team: None,
            labels,
        };
        site.node.cancel(&filter).await.expect("cancelled");
    }
    if let Some(n) = event.fail_all {
        site.agents.0[&format!("w{n}")].inspect(|worker| worker.faults.set_fail_all(true));
    }
    let lost = |vm: &VmRecord| {
        event
            .lose_rack
            .as_ref()
            .is_some_and(|rack| *rack == vm.rack.as_str())
            || event
                .lose_zone
                .as_ref()
                .is_some_and(|zone| *zone == vm.zone.as_str())
    };
    for vm in vms.iter().filter(|vm| lost(vm)) {
        site.agents.0[&vm.agent].inspect(|worker| worker.faults.set_silent(true));
    }
    vms.retain(|vm| !lost(vm));
    site.node.set_vms(vms);
    if let Some(ms) = event.store_down {
        site.store.faults.set_down(true);
        let store = site.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            store.faults.set_down(false);
        });
    }
    if let Some(count) = event.lose_answers {
        site.store.faults.lose_answers(count);
    }
}

async fn replay(text: &str) {
    let trace: Trace = serde_json::from_str(text).expect("trace is valid");
    let mut vms = vms(&trace.fleet);
    let bundle = BundleInForce {
        version: Version(1),
        bundle: trace.bundle,
    };
    let site = Site::start(vms.clone(), bundle).await;
    let begun = Instant::now();
    let mut outcome = Outcome::default();
    for event in trace.events {
        sleep_until(begun + Duration::from_millis(event.at)).await;
        apply(&site, &mut vms, event, &mut outcome).await;
    }
    sleep_until(begun + Duration::from_millis(trace.until)).await;

    let expect = trace.expect;
    for (key, reason) in &expect.refused {
        let given = outcome.refused.get(key).expect("job was refused");
        assert!(given.contains(reason), "{key}: {given}");
    }
    let cancelled = expect
        .cancelled
        .iter()
        .map(|key| (key, JobPhase::Cancelled));
    for (key, phase) in expect
        .done
        .iter()
        .map(|key| (key, JobPhase::Done))
        .chain(cancelled)
    {
        let (job, _) = &outcome.jobs[key];
        let view = site
            .node
            .show(job)
            .await
            .expect("shard is ready")
            .expect("job is kept");
        assert_eq!(view.phase, phase, "{key}: {view:?}");
        assert!(phase != JobPhase::Done || view.done == view.spec.tasks);
    }
    check_starts(&site, &outcome, &expect, begun, &trace.fleet);
}

/// Checks that jobs start within their limit, that jobs with `zone_spread` are spread, and that no
/// attempt starts twice.
fn check_starts(
    site: &Site,
    outcome: &Outcome,
    expect: &Expected,
    begun: Instant,
    shape: &FleetShape,
) {
    let offset = u64::try_from((begun - site.started).as_millis()).expect("small");
    let mut seen = BTreeSet::new();
    let mut starts: BTreeMap<String, Vec<(u64, ZoneId)>> = BTreeMap::new();
    let zones: BTreeMap<VmId, ZoneId> = vms(shape).into_iter().map(|vm| (vm.vm, vm.zone)).collect();
    for server in site.agents.0.values() {
        server.inspect(|worker| {
            let zone = &zones[&worker.state().vm];
            for event in worker
                .events()
                .iter()
                .filter(|e| e.phase == TaskPhase::Running)
            {
                assert!(
                    seen.insert((event.task.clone(), event.attempt)),
                    "{event:?}"
                );
                let job = event
                    .task
                    .as_str()
                    .split('/')
                    .next()
                    .expect("task of a job");
                let at = event.at.0 - offset;
                // Only first attempts count: a later one waits until the earlier one has certainly
                // ended.
                if event.attempt == Attempt(1) {
                    starts
                        .entry(job.to_string())
                        .or_default()
                        .push((at, zone.clone()));
                }
            }
        });
    }
    for (key, limit) in &expect.start_within {
        let (job, at) = &outcome.jobs[key];
        let first = &starts[job.as_str()];
        let last = first.iter().map(|(at, _)| *at).max().expect("started");
        assert!(last - at <= *limit, "{key} started after {} ms", last - at);
    }
    for (key, spread) in &expect.spread {
        let zones: BTreeSet<_> = starts[outcome.jobs[key].0.as_str()]
            .iter()
            .map(|s| &s.1)
            .collect();
        assert!(zones.len() >= *spread, "{key} ran in {zones:?}");
    }
}

/// Guards against lost, repeated or late jobs under the load and faults of the Tulua trace.
#[tokio::test(start_paused = true)]
async fn tulua_trace_has_the_expected_outcome() {
    replay(include_str!("traces/tulua.json")).await;
}

/// Guards against lost, repeated or late jobs under the load and faults of the Tran Hai trace.
#[tokio::test(start_paused = true)]
async fn tran_hai_trace_has_the_expected_outcome() {
    replay(include_str!("traces/tran_hai.json")).await;
}
