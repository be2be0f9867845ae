//! Job queues of the current configuration.

use std::collections::{BTreeMap, BTreeSet};

use super::{AdviceSettings, JobSpec};
use crate::prelude::*;

/// A queue that accepts jobs under a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Path prefix that callers address.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority of the tasks; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs after which a task fails its job.
    pub max_attempts: u32,
    /// Factor of the critical path in a job's completion objective, in thousandths.
    pub stretch_permille: u64,
    /// Fixed part of a job's completion objective.
    pub target_latency: Millis,
    /// Advice service that names the allowed workers; `None` if the queue's policy allows all
    /// workers.
    pub advice: Option<AdviceSettings>,
}

impl Queue {
    /// Returns the time within which a job with this critical path should complete.
    pub fn objective(&self, chain: Millis) -> Millis {
        chain.scale_permille(self.stretch_permille) + self.target_latency
    }
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueTable {
    /// Version of the configuration.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Services that the configuration names; empty if it lists none, and any service counts.
    pub services: BTreeSet<String>,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
}

impl QueueTable {
    /// Returns whether the configuration names a service.
    pub fn names_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }

    /// Returns the queue of a job: as it is configured now or, if it was removed since, as it accepted
    /// the job.
    pub fn of<'a>(&'a self, spec: &'a JobSpec) -> Option<&'a Queue> {
        let present = self.queues.get(&spec.queue);
        present.or(spec.accepted_by.as_ref())
    }

    /// Returns the queue under `host` with the longest matching prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
