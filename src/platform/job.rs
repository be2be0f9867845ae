//! Decodes the body of a submitted job.

use serde::Deserialize;

use super::config::round_to_u64;
use super::worker_entry::resources;
use crate::model::bounded_vec;
use crate::prelude::*;
use crate::scheduler::{JobSpec, MAX_STEPS, Repeat, StepSpec};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Body {
    #[serde(default)]
    spec: String,
    #[serde(deserialize_with = "bounded_vec::<_, _, MAX_STEPS>")]
    steps: Vec<Step>,
    #[serde(default)]
    repeat_count: u32,
    #[serde(default)]
    start_at_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Step {
    count: u32,
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
    estimate_ms: f64,
    after: Vec<u32>,
    checkpoint: bool,
    gang: bool,
    rack_local: bool,
    requires: String,
    /// Rack that holds the data of the step; empty if there is none.
    affinity: String,
    /// Maximum number of tasks of the step on one worker; 0 means unlimited.
    anti_affinity: u32,
    speculative: bool,
    long_running: bool,
    image: String,
    target_ms: f64,
    fills: bool,
    allow_miss: u32,
}

/// Maximum number of tasks of a job, so that one body cannot exhaust the memory of a small VM.
const MAX_TASKS: u64 = MAX_STEPS as u64;

pub(super) fn decode(body: &[u8]) -> Result<JobSpec, String> {
    let body: Body = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    let spec = JobSpec {
        queue: String::new(),
        accepted_by: None,
        submitted: Timestamp(0),
        payload: body.spec,
        steps: body.steps.into_iter().map(step).collect(),
        repeat: (body.repeat_count > 0).then(|| Repeat {
            count: body.repeat_count,
            first: Timestamp(round_to_u64(body.start_at_ms)),
            interval: Millis(round_to_u64(body.interval_ms)),
        }),
    };
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    if tasks.saturating_mul(u64::from(spec.occurrences())) > MAX_TASKS {
        return Err(format!("more than {MAX_TASKS} tasks"));
    }
    if !spec.is_valid() {
        return Err("a step has no task or follows a later step".to_string());
    }
    Ok(spec)
}

fn step(step: Step) -> StepSpec {
    StepSpec {
        tasks: step.count,
        need: resources(step.cpu, step.mem_mb, step.gpu),
        estimate: Millis(round_to_u64(step.estimate_ms)),
        after: step.after,
        checkpoints: step.checkpoint,
        gang: step.gang,
        rack_local: step.rack_local,
        requires: (!step.requires.is_empty()).then_some(step.requires),
        rack: (!step.affinity.is_empty()).then_some(step.affinity),
        max_per_worker: (step.anti_affinity > 0).then_some(step.anti_affinity),
        speculative: step.speculative,
        long_running: step.long_running,
        image: step.image,
        tail_target: (step.target_ms > 0.0).then(|| Millis(round_to_u64(step.target_ms))),
        best_effort: step.fills,
        allow_miss: (step.allow_miss > 0).then_some(step.allow_miss),
    }
}
