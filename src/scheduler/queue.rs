//! Queues of the configuration in force.

use std::collections::BTreeMap;

use super::AdviceSettings;
use crate::prelude::*;

/// A queue that accepts jobs under a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host of its callers.
    pub host: String,
    /// Path prefix of its callers.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task fails its job.
    pub max_attempts: u32,
    /// Factor of the chain of work in a job's objective, in thousandths.
    pub stretch_permille: u64,
    /// Fixed part of a job's objective.
    pub target_latency: Millis,
    /// The queue's policy allows only some workers, which an advice service names.
    pub advice: Option<AdviceSettings>,
}

impl Queue {
    /// Time within which a job with this chain of work is to be completed.
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
    /// Largest body of a request, in bytes.
    pub max_body: usize,
}

impl QueueTable {
    /// Finds the queue with the longest prefix of `path` under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
