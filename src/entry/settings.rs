//! Settings of an entry process.

use crate::prelude::*;
use crate::scheduler::Timing;
use crate::web::InboundLimits;

/// Settings of one entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the VM.
    pub name: String,
    /// Listen address for callers, if the process serves them.
    pub frontend: Option<String>,
    /// Listen address of the load balancer's readiness check.
    pub readiness: Option<String>,
    /// Listen address for other entry processes; it also identifies this process to them.
    pub peer: String,
    /// Listen address of the metrics.
    pub metrics: String,
    /// Address of the key-value service.
    pub store: String,
    /// Address of the advice service, if there is one.
    pub advice: Option<String>,
    /// CPU capacity of this VM, in cores.
    pub processors: f64,
    /// Shortest lease that the key-value service grants.
    pub shortest_lease: Millis,
    /// Time after its acknowledgement within which a new configuration has to be in force.
    pub config_apply: Millis,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Limits on connections of clients and on the memory for them.
    pub inbound: InboundLimits,
    /// Time limits of the scheduler.
    pub timing: Timing,
}
