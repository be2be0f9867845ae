//! The table of the control plane's cost.

use std::fmt;

use super::HeadSizes;
use super::cost::{Costs, Memory};
use super::traffic::Traffic;
use crate::membership::Timing;
use crate::prelude::*;

/// Target of traffic, in bytes a second of one daemon.
const TARGET_BYTES: f64 = 6144.0;

/// Target of processor time, in percent of a core of one daemon.
const TARGET_PERCENT: f64 = 3.4;

/// Timer ticks a second of a node.
const TICKS: f64 = 20.0;

/// Store calls a second of a whole region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct StoreRates {
    /// Mean in calm.
    pub calm: f64,
    /// Largest second after the loss of a zone.
    pub zone_loss: f64,
    /// Largest second after an outage of the store.
    pub after_outage: f64,
}

/// Cost at one size of a region.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct ControlRow {
    /// Members of the region.
    pub members: usize,
    /// Interval between heartbeats to one target.
    pub interval: Millis,
    /// Exchanges a second in which a member takes part.
    pub exchanges: f64,
    /// Bytes a second of a member in calm.
    pub calm_bytes: f64,
    /// Bytes a second of a member while the store is down.
    pub outage_bytes: f64,
    /// Bytes of a member in the busiest second after the loss of a zone.
    pub zone_loss_bytes: f64,
    /// Takeover after the loss of a zone.
    pub takeover: Option<Millis>,
    /// Processor time of a heartbeat and its answer at both ends, without HTTP.
    pub heartbeat_micros: f64,
    /// Processor time of a timer tick.
    pub tick_micros: f64,
    /// Recomputation of all slots of 1,000 endpoints.
    pub settled_millis: f64,
    /// The same while a death is handed over.
    pub handover_millis: f64,
    /// Processor time of the membership with HTTP, in percent of a core.
    pub processor_percent: f64,
    /// Memory of the membership without endpoints.
    pub state_bytes: f64,
    /// Memory of the membership for each endpoint.
    pub endpoint_bytes: f64,
    /// Store calls of the region.
    pub store: StoreRates,
}

impl ControlRow {
    pub(super) fn new(
        members: usize,
        costs: &Costs,
        memory: &Memory,
        traffic: &Traffic,
        http_micros: f64,
    ) -> Self {
        // A member bears one end of each exchange.
        let exchange = (costs.heartbeat_micros + http_micros) / 2.0;
        let micros = traffic.exchanges * exchange + TICKS * costs.tick_micros;
        Self {
            members,
            interval: Timing::default().heartbeat_interval(members),
            exchanges: traffic.exchanges,
            calm_bytes: traffic.calm_bytes,
            outage_bytes: traffic.outage_bytes,
            zone_loss_bytes: traffic.zone_loss_bytes,
            takeover: traffic.takeover,
            heartbeat_micros: costs.heartbeat_micros,
            tick_micros: costs.tick_micros,
            settled_millis: costs.settled_millis,
            handover_millis: costs.handover_millis,
            processor_percent: micros / 1e4,
            state_bytes: memory.state_bytes,
            endpoint_bytes: memory.endpoint_bytes,
            store: traffic.store,
        }
    }

    /// Tells whether traffic in calm and in an outage, and processor time, are within target.
    pub fn is_within_target(&self) -> bool {
        self.calm_bytes <= TARGET_BYTES
            && self.outage_bytes <= TARGET_BYTES
            && self.processor_percent <= TARGET_PERCENT
    }
}

/// Cost of the control plane.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct ControlReport {
    /// Seed of the simulated regions.
    pub seed: u64,
    /// HTTP heads of an exchange.
    pub heads: HeadSizes,
    /// Processor time of an HTTP exchange over loopback at both ends.
    pub exchange_micros: f64,
    /// Size of the VM list with 1,000 workers and 110 entry VMs.
    pub vm_list_bytes: u64,
    /// Cost by size of the region.
    pub rows: Vec<ControlRow>,
}

impl fmt::Display for ControlReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}; heads {} + {} bytes; HTTP exchange {:.1} us; VM list {} bytes a read",
            self.seed,
            self.heads.request,
            self.heads.answer,
            self.exchange_micros,
            self.vm_list_bytes
        )?;
        writeln!(
            f,
            "members interval exch/s  calm B/s  outage B/s  zone-loss B/s  takeover  beat us  \
             tick us  slots ms  handover ms  core %  state B  B/endpoint  \
             store calm/zone/outage  target"
        )?;
        for row in &self.rows {
            let takeover = row.takeover.map_or("-".to_string(), |at| at.to_string());
            writeln!(
                f,
                "{:7} {:8} {:6.1} {:9.0} {:11.0} {:14.0} {:>9} {:8.1} {:8.1} {:9.2} {:12.2} \
                 {:7.2} {:8.0} {:11.0}  {:6.1}/{:4.0}/{:6.0}  {}",
                row.members,
                row.interval.0,
                row.exchanges,
                row.calm_bytes,
                row.outage_bytes,
                row.zone_loss_bytes,
                takeover,
                row.heartbeat_micros,
                row.tick_micros,
                row.settled_millis,
                row.handover_millis,
                row.processor_percent,
                row.state_bytes,
                row.endpoint_bytes,
                row.store.calm,
                row.store.zone_loss,
                row.store.after_outage,
                if row.is_within_target() {
                    "met"
                } else {
                    "missed"
                }
            )?;
        }
        Ok(())
    }
}
