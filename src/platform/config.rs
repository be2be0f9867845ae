//! Decodes the operator's configuration.

use serde::Deserialize;

use crate::prelude::*;
use crate::scheduler::{AdviceSettings, Queue, QueueTable};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    limits: Limits,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    max_body_bytes: usize,
}

/// A route is a queue of jobs.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    #[serde(default)]
    priority: u32,
    /// Failed runs after which a task fails its job.
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    stretch_factor: f64,
    #[serde(default)]
    target_latency_ms: f64,
    advice: Option<Advice>,
}

/// Times of the advice service for a queue, in milliseconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Advice {
    decide_ms: f64,
    /// Time for each worker that a call names.
    period_ms: f64,
    /// Validity of a ticket.
    valid_ms: f64,
}

/// Attempts of a queue that names none.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Stretch of a queue that names none, in thousandths.
const DEFAULT_STRETCH_PERMILLE: u64 = 2000;

/// Body limit of a configuration that names none, in bytes.
const DEFAULT_MAX_BODY: usize = 262_144;

pub(super) fn decode(value: &[u8]) -> Result<QueueTable, String> {
    let cfg: Config = serde_json::from_slice(value).map_err(|err| err.to_string())?;
    let queues = cfg
        .routes
        .into_iter()
        .map(|route| {
            let queue = Queue {
                name: route.name.clone(),
                host: route.host,
                prefix: route.prefix,
                service: route.service,
                priority: route.priority,
                max_attempts: if route.max_attempts == 0 {
                    DEFAULT_ATTEMPTS
                } else {
                    route.max_attempts
                },
                stretch_permille: if route.stretch_factor > 0.0 {
                    whole(route.stretch_factor * 1000.0)
                } else {
                    DEFAULT_STRETCH_PERMILLE
                },
                target_latency: Millis(whole(route.target_latency_ms)),
                // A queue may name the service without any times: it needs no advice.
                advice: route
                    .advice
                    .filter(|advice| advice.valid_ms > 0.0)
                    .map(|advice| AdviceSettings {
                        fixed_latency: Millis(whole(advice.decide_ms)),
                        latency_per_worker: Millis(whole(advice.period_ms)),
                        ticket_validity: Millis(whole(advice.valid_ms)),
                    }),
            };
            (route.name, queue)
        })
        .collect();
    Ok(QueueTable {
        version: cfg.version,
        queues,
        max_body: if cfg.limits.max_body_bytes == 0 {
            DEFAULT_MAX_BODY
        } else {
            cfg.limits.max_body_bytes
        },
    })
}

/// Rounds a number of the wire to a whole one that is not negative.
pub(super) fn whole(value: f64) -> u64 {
    if value.is_finite() && value > 0.0 {
        value.round() as u64
    } else {
        0
    }
}
