//! What the membership asks of the other modules of its process.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use parking_lot::Mutex;

use super::feeder::Feeder;
use crate::bundle::BundleKeeper;
use crate::drain::DrainManager;
use crate::peer::LocalState;
use crate::prelude::*;
use crate::routing::Dispatcher;
use crate::schema::peer::ServiceLoad;
use crate::web::{decode, encode};

/// Name of the bundle news among the digests of a heartbeat.
const BUNDLE_DIGEST: &str = "bundle";

/// Name of the drain record among the digests of a heartbeat.
const DRAIN_DIGEST: &str = "drain";

/// State of this process that heartbeats carry.
pub(super) struct Local {
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) drains: Arc<DrainManager>,
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

    fn in_flight_by_endpoint(&self) -> BTreeMap<VmId, u32> {
        if let Some(feeder) = self.feeder.get() {
            feeder.apply_endpoints();
        }
        self.dispatcher.lock().in_flight_by_endpoint()
    }

    fn bundle_version(&self) -> Version {
        self.keeper.newest()
    }

    fn export_bundle(&self) -> Option<Vec<u8>> {
        self.keeper.export()
    }

    fn digests(&self) -> BTreeMap<String, Vec<u8>> {
        let bundle = encode(&self.keeper.status()).ok();
        let digests = [
            (BUNDLE_DIGEST, bundle),
            (DRAIN_DIGEST, self.drains.export()),
        ];
        digests
            .into_iter()
            .filter_map(|(name, buf)| Some((name.to_string(), buf?)))
            .collect()
    }

    fn receive_digests(&self, from: &MemberId, digests: &BTreeMap<String, Vec<u8>>) -> bool {
        if let Some(buf) = digests.get(DRAIN_DIGEST) {
            self.drains.offer(buf);
        }
        let Some(buf) = digests.get(BUNDLE_DIGEST) else {
            return false;
        };
        match decode(buf) {
            Ok(news) => self.keeper.receive_status(&news),
            Err(err) => {
                tracing::warn!(%from, err, "bundle news of a peer cannot be read");
                false
            }
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
