//! What an entry process learns from its settings.

use crate::prelude::*;
use crate::scheduler::Timing;

/// Settings of one process on a site.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the VM.
    pub name: String,
    /// Address for callers.
    pub frontend: Option<String>,
    /// Address of the balancer's check.
    pub readiness: Option<String>,
    /// Address for other entry processes.
    pub peer: String,
    /// Address of the metrics.
    pub metrics: String,
    /// Address of the key-value service.
    pub store: String,
    /// Address of the advice service, if there is one.
    pub advice: Option<String>,
    /// Processors of this VM, in cores.
    pub processors: f64,
    /// Shortest lease of the key-value service.
    pub shortest_lease: Millis,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Times of the scheduler.
    pub timing: Timing,
}
