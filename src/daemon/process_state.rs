//! State of the other modules that the membership sends to peers, and the reverse direction.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use parking_lot::Mutex;

use super::state_updater::StateUpdater;
use crate::bundle::BundleKeeper;
use crate::drain::DrainManager;
use crate::peer::LocalState;
use crate::prelude::*;
use crate::routing::Dispatcher;
use crate::schema::peer::ServiceLoad;
use crate::web::{decode, encode};

/// Name of the bundle status among the digests of a heartbeat.
const BUNDLE_DIGEST: &str = "bundle";

/// Name of the drain record among the digests of a heartbeat.
const DRAIN_DIGEST: &str = "drain";

/// Reads and updates the state that heartbeats carry.
pub(super) struct ProcessState {
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) drains: Arc<DrainManager>,
    pub(super) state_updater: OnceLock<Arc<StateUpdater>>,
}

impl LocalState for ProcessState {
    fn loads(&self) -> Vec<ServiceLoad> {
        let Some(in_force) = self.keeper.active().current() else {
            return Vec::new();
        };
        let dispatcher = self.dispatcher.lock();
        let services = in_force.bundle.service.keys();
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
        if let Some(state_updater) = self.state_updater.get() {
            state_updater.apply_endpoints();
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
                tracing::warn!(%from, err, "bundle status from a peer could not be decoded; it is ignored");
                false
            }
        }
    }

    fn offer_bundle(&self, bundle: Vec<u8>) {
        match self.keeper.offer(&bundle) {
            Ok(true) => {
                tracing::info!(version = %self.keeper.newest(), "adopted a bundle from a peer")
            }
            Ok(false) => {}
            Err(err) => {
                tracing::warn!(%err, "bundle from a peer was rejected; the current one stays in force")
            }
        }
    }
}
