//! Decodes the operator's configuration into the table of queues.

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
    services: Vec<Service>,
    #[serde(default)]
    limits: Limits,
}

#[derive(Deserialize)]
struct Service {
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    max_body_bytes: usize,
}

/// A queue of jobs, which the platform calls a route.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    #[serde(default)]
    priority: u32,
    /// Number of failed runs of a task after which its job fails.
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    stretch_factor: f64,
    #[serde(default)]
    target_latency_ms: f64,
    advice: Option<Advice>,
}

/// Latency and ticket validity of the advice service for a queue, in milliseconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Advice {
    decide_ms: f64,
    /// Latency of a call for each worker that it names.
    period_ms: f64,
    /// Time for which a ticket is valid.
    valid_ms: f64,
}

/// Maximum attempts of a task if its queue sets none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Stretch factor in thousandths if the queue sets none.
const DEFAULT_STRETCH_PERMILLE: u64 = 2000;

/// Limit of the size of a job's body in bytes if the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;

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
                    DEFAULT_MAX_ATTEMPTS
                } else {
                    route.max_attempts
                },
                stretch_permille: if route.stretch_factor > 0.0 {
                    round_to_u64(route.stretch_factor * 1000.0)
                } else {
                    DEFAULT_STRETCH_PERMILLE
                },
                target_latency: Millis(round_to_u64(route.target_latency_ms)),
                // A queue whose advice section has no ticket validity needs no advice.
                advice: route
                    .advice
                    .filter(|advice| advice.valid_ms > 0.0)
                    .map(|advice| AdviceSettings {
                        fixed_latency: Millis(round_to_u64(advice.decide_ms)),
                        latency_per_worker: Millis(round_to_u64(advice.period_ms)),
                        ticket_validity: Millis(round_to_u64(advice.valid_ms)),
                    }),
            };
            (route.name, queue)
        })
        .collect();
    Ok(QueueTable {
        version: cfg.version,
        queues,
        services: cfg
            .services
            .into_iter()
            .map(|service| service.name)
            .collect(),
        max_body: if cfg.limits.max_body_bytes == 0 {
            DEFAULT_MAX_BODY_BYTES
        } else {
            cfg.limits.max_body_bytes
        },
    })
}

/// Rounds a JSON number to an integer. Returns 0 if it is negative or not finite.
pub(super) fn round_to_u64(value: f64) -> u64 {
    if value.is_finite() && value > 0.0 {
        value.round() as u64
    } else {
        0
    }
}
