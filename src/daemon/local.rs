//! What the membership asks of the other modules of its process.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use parking_lot::Mutex;

use super::feeder::Feeder;
use crate::bundle::BundleKeeper;
use crate::drain::DrainDesk;
use crate::peer::LocalState;
use crate::prelude::*;
use crate::routing::Dispatcher;
use crate::schema::peer::ServiceLoad;

/// Name of the drain record among the digests of a heartbeat.
const DRAIN_DIGEST: &str = "drain";

/// State of this process that heartbeats carry.
pub(super) struct Local {
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) drains: Arc<DrainDesk>,
    pub(super) feeder: OnceLock<Arc<Feeder>>,
}

impl LocalState for Local {
    fn loads(&self) -> Vec<ServiceLoad> {
        let Some(held) = self.keeper.active().current() else {
            return Vec::new();
        };
        let dispatcher = self.dispatcher.lock();
        let services = held.bundle.service.keys();
        services
            .map(|service| {
                let load = dispatcher.load(service);
                ServiceLoad {
                    service: service.clone(),
                    free: load.free_slots,
                    delay: load.queue_delay,
                }
            })
            .collect()
    }

    fn in_use(&self) -> BTreeMap<VmId, u32> {
        if let Some(feeder) = self.feeder.get() {
            feeder.apply_endpoints();
        }
        self.dispatcher.lock().in_use()
    }

    fn bundle_version(&self) -> Version {
        self.keeper.newest()
    }

    fn export_bundle(&self) -> Option<Vec<u8>> {
        self.keeper.export()
    }

    fn digests(&self) -> BTreeMap<String, Vec<u8>> {
        let drains = self.drains.export();
        drains
            .map(|buf| (DRAIN_DIGEST.to_string(), buf))
            .into_iter()
            .collect()
    }

    fn take_digests(&self, _from: &MemberId, digests: &BTreeMap<String, Vec<u8>>) {
        if let Some(buf) = digests.get(DRAIN_DIGEST) {
            self.drains.offer(buf);
        }
    }

    fn offer_bundle(&self, bundle: Vec<u8>) {
        match self.keeper.offer(&bundle) {
            Ok(true) => {
                tracing::info!(version = %self.keeper.newest(), "took a bundle from a peer")
            }
            Ok(false) => {}
            Err(err) => tracing::warn!(%err, "bundle of a peer was rejected"),
        }
    }
}
