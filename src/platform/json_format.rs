//! Key names and JSON bodies of the platform.

use serde_json::json;

use super::{config, job, worker_entry};
use crate::entry::PlatformFormat;
use crate::prelude::*;
use crate::scheduler::{JobSpec, JobView, QueueTable, WorkerEntry};

/// Key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";

/// Prefix under which workers register themselves.
const WORKERS_PREFIX: &str = "servers/";

/// Data formats of the platform, which are JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonFormat;

impl PlatformFormat for JsonFormat {
    fn config_key(&self) -> &str {
        CONFIG_KEY
    }

    fn workers_prefix(&self) -> &str {
        WORKERS_PREFIX
    }

    fn config(&self, value: &[u8]) -> Result<QueueTable, String> {
        config::decode(value)
    }

    fn worker(&self, key: &str, value: &[u8]) -> Result<WorkerEntry, String> {
        let id = key.strip_prefix(WORKERS_PREFIX).unwrap_or(key);
        let id: WorkerId = id.parse().map_err(|err: ModelError| err.to_string())?;
        worker_entry::decode(id, value)
    }

    fn job(&self, body: &[u8]) -> Result<JobSpec, String> {
        job::decode(body)
    }

    fn state(&self, view: JobView) -> Vec<u8> {
        let state = match view {
            JobView::Queued => "queued",
            JobView::Running => "running",
            JobView::Completed => "completed",
            JobView::Failed => "failed",
            JobView::Cancelled => "cancelled",
        };
        json!({ "state": state }).to_string().into_bytes()
    }

    fn pending(&self, count: usize) -> Vec<u8> {
        json!({ "pending": count }).to_string().into_bytes()
    }
}
