//! Bodies of requests to the store, the workers and the advice service, and of their responses.

use std::borrow::Cow;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use super::config::round_to_u64;
use crate::prelude::*;
use crate::scheduler::{RunCompletion, RunOutcome, RunStatus, TaskKey, WorkerReport};

/// An item of the store, or its removal in the events of a watch.
#[derive(Deserialize)]
pub(super) struct WireItem {
    #[serde(default)]
    pub key: String,
    #[serde(default)]
    pub value: String,
    #[serde(default)]
    pub rev: u64,
    #[serde(default)]
    pub deleted: bool,
    #[serde(default)]
    pub at: u64,
}

#[derive(Deserialize)]
pub(super) struct WirePage {
    #[serde(default)]
    pub items: Vec<WireItem>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(default)]
    pub at: u64,
}

#[derive(Deserialize)]
pub(super) struct WireEvents {
    #[serde(default)]
    pub events: Vec<WireItem>,
    #[serde(default)]
    pub at: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireTxn<'a> {
    pub expected_rev: Vec<WireExpected<'a>>,
    pub writes: Vec<WireWrite<'a>>,
    pub remove: &'a [String],
}

#[derive(Serialize)]
pub(super) struct WireExpected<'a> {
    pub key: &'a str,
    pub rev: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireWrite<'a> {
    pub key: &'a str,
    pub value: String,
    #[serde(skip_serializing_if = "is_zero")]
    pub lease_id: u64,
}

#[derive(Deserialize)]
pub(super) struct WireRev {
    pub rev: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireLease {
    pub lease_id: u64,
}

/// Request for the lists of a worker, which renews its lease.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WirePoll {
    pub fence: u64,
    pub last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_zero")]
    pub wait_ms: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireStart<'a> {
    pub task: String,
    pub run_id: u32,
    pub spec: &'a str,
    pub deadline_ms: u64,
    pub fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub checkpoint_id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub ticket: &'a str,
}

/// A stop, or with a percentage, a change of the pace.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireCommand {
    pub task: String,
    pub run_id: u32,
    pub fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub percent: Option<u32>,
}

/// Lists of the runs of a worker, as it responds to a poll.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireLists<'a> {
    clock_ms: f64,
    #[serde(default)]
    born: u64,
    /// One row for each run that is present; the name on the wire suggests a count.
    #[serde(borrow, default)]
    running_count: Vec<RunningRow<'a>>,
    #[serde(borrow, default)]
    ended: Vec<EndedRow<'a>>,
}

/// Task, run number, checkpoint, progress in percent, and a gauge: tail latency in milliseconds or
/// millicores in use.
#[derive(Deserialize)]
struct RunningRow<'a>(
    #[serde(borrow)] Cow<'a, str>,
    u32,
    #[serde(borrow, default)] Option<Cow<'a, str>>,
    #[serde(default)] f64,
    #[serde(default)] f64,
);

/// Sequence number of the end, task, run number, outcome, checkpoint.
#[derive(Deserialize)]
struct EndedRow<'a>(
    u64,
    #[serde(borrow)] Cow<'a, str>,
    u32,
    #[serde(borrow)] Cow<'a, str>,
    #[serde(borrow, default)] Option<Cow<'a, str>>,
);

/// Workers that may run a step, each with a ticket.
#[derive(Deserialize)]
pub(super) struct WireAdvice {
    pub allowed: Vec<(WorkerId, String)>,
}

/// Response to a start; `reason` is empty unless the start is rejected.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(super) struct WireStartAnswer {
    pub clock_ms: Option<f64>,
    pub reason: String,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

pub(super) fn encode_value(value: &[u8]) -> String {
    STANDARD.encode(value)
}

pub(super) fn decode_value(text: &str) -> Result<Vec<u8>, String> {
    STANDARD.decode(text).map_err(|err| err.to_string())
}

impl WireLists<'_> {
    pub fn into_report(self) -> Result<WorkerReport, String> {
        let running = self.running_count.into_iter().map(decode_running);
        let ended = self.ended.into_iter().map(decode_ended);
        Ok(WorkerReport {
            incarnation: self.born,
            clock: Millis(round_to_u64(self.clock_ms)),
            running: running
                .collect::<Option<_>>()
                .ok_or("invalid row in runningCount")?,
            ended: ended.collect::<Option<_>>().ok_or("invalid row in ended")?,
        })
    }
}

/// Parses a task name of the form `JOB.OCCURRENCE.STEP.INDEX`.
fn parse_task(name: &str) -> Option<TaskKey> {
    let mut parts = name.split('.');
    let key = TaskKey {
        job: parts.next()?.parse().ok()?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(key)
}

fn decode_running(row: RunningRow) -> Option<RunStatus> {
    Some(RunStatus {
        task: parse_task(&row.0)?,
        run: row.1,
        checkpoint: row.2.unwrap_or_default().into_owned(),
        percent: u32::try_from(round_to_u64(row.3)).ok()?,
        gauge: round_to_u64(row.4),
    })
}

fn decode_ended(row: EndedRow) -> Option<RunCompletion> {
    Some(RunCompletion {
        sequence: row.0,
        task: parse_task(&row.1)?,
        run: row.2,
        outcome: match row.3.as_ref() {
            "done" => RunOutcome::Done,
            "failed" => RunOutcome::Failed,
            _ => RunOutcome::Interrupted,
        },
        checkpoint: row.4.unwrap_or_default().into_owned(),
    })
}
