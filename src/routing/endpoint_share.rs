//! The part of an endpoint that this process may use.

use crate::prelude::*;

/// Slots of one endpoint that are assigned to this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointShare {
    /// VM on which the endpoint runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address that accepts requests.
    pub address: Address,
    /// Number of requests that this process may have in flight there.
    pub slots: u32,
    /// Whether the endpoint is leaving and gets no new requests.
    pub leaving: bool,
}
