//! Bodies of calls to the store and to workers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::config::whole;
use crate::prelude::*;
use crate::scheduler::{EndKind, Ended, Report, Running, TaskKey};

/// An item of the store, or a removal in a watch.
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

/// Lists of a worker.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireLists {
    clock_ms: f64,
    #[serde(default)]
    born: u64,
    /// Rows of everything that runs, despite its name.
    #[serde(default)]
    running_count: Vec<Vec<Value>>,
    #[serde(default)]
    ended: Vec<Vec<Value>>,
}

#[derive(Deserialize)]
pub(super) struct WireReason {
    #[serde(default)]
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

impl WireLists {
    pub fn into_report(self) -> Result<Report, String> {
        let running = self.running_count.iter().map(|row| running(row));
        let ended = self.ended.iter().map(|row| ended(row));
        Ok(Report {
            born: self.born,
            clock: Millis(whole(self.clock_ms)),
            running: running.collect::<Option<_>>().ok_or("row of a run")?,
            ended: ended.collect::<Option<_>>().ok_or("row of an end")?,
        })
    }
}

/// Reads a task's name, ID.K.STEP.INDEX.
fn task(name: &str) -> Option<TaskKey> {
    let mut parts = name.split('.');
    let key = TaskKey {
        job: parts.next()?.parse().ok()?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(key)
}

fn running(row: &[Value]) -> Option<Running> {
    Some(Running {
        task: task(row.first()?.as_str()?)?,
        run: u32::try_from(row.get(1)?.as_u64()?).ok()?,
        checkpoint: text(row.get(2)),
        percent: u32::try_from(number(row.get(3))).ok()?,
        gauge: number(row.get(4)),
    })
}

fn ended(row: &[Value]) -> Option<Ended> {
    Some(Ended {
        number: row.first()?.as_u64()?,
        task: task(row.get(1)?.as_str()?)?,
        run: u32::try_from(row.get(2)?.as_u64()?).ok()?,
        how: match row.get(3)?.as_str()? {
            "done" => EndKind::Done,
            "failed" => EndKind::Failed,
            _ => EndKind::Interrupted,
        },
        checkpoint: text(row.get(4)),
    })
}

fn text(value: Option<&Value>) -> String {
    value
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_string()
}

fn number(value: Option<&Value>) -> u64 {
    value.and_then(Value::as_f64).map_or(0, whole)
}
