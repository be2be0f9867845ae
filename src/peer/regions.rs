//! Exchange of bundle versions and loads with other regions.

use std::collections::BTreeMap;

use super::codec::{pack, unpack};
use super::published::publish;
use super::{MemberNode, RegionStatus, RegionsSnapshot};
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, RegionSummary, ServiceLoad};
use crate::schema::vm::VmRole;

/// Timeout of an exchange of summaries with another region.
const EXCHANGE_TIMEOUT: Millis = Millis(2000);

/// Key of the heartbeat digest with which the gateway relays the status of other regions.
const REGION_DIGEST_KEY: &str = "regions";

/// A region in that digest: its id, bundle version, number of members, and the age of the status.
type RegionDigest = (RegionId, Version, u32, Millis);

impl MemberNode {
    pub(super) async fn run_regions(self: &Arc<Self>) {
        let mut round = 0;
        loop {
            tokio::time::sleep(self.config.timing.region_interval.into()).await;
            let gateway = self.state.lock().is_gateway();
            if gateway {
                for (_, addresses) in self.other_regions() {
                    let address = addresses[round % addresses.len()].clone();
                    self.exchange_summaries(address);
                }
                round += 1;
            }
            self.publish_regions();
        }
    }

    /// Sends the summary of this region to a member of another region, and records its response.
    fn exchange_summaries(self: &Arc<Self>, address: String) {
        let node = self.clone();
        self.spawn(async move {
            let Ok(body) = pack(&node.summary()) else {
                return;
            };
            let response = node
                .caller
                .post(&address, "/peer/region", body, EXCHANGE_TIMEOUT)
                .await;
            match response.map(|buf| unpack::<RegionSummary>(&buf)) {
                Ok(Ok(summary)) => {
                    node.record_region_status(&summary, node.now());
                    if summary.bundle > node.local.bundle_version() {
                        node.fetch_bundle(address);
                    }
                }
                Ok(Err(err)) => {
                    tracing::warn!(address, err, "invalid summary from another region")
                }
                Err(err) => tracing::debug!(address, %err, "no summary from another region"),
            }
        });
    }

    /// Returns the peer addresses of other regions. No list of addresses is empty.
    fn other_regions(&self) -> BTreeMap<RegionId, Vec<String>> {
        let mut regions: BTreeMap<RegionId, Vec<String>> = BTreeMap::new();
        let state = self.state.lock();
        let entries = state.vms().vms().values();
        for vm in entries.filter(|vm| vm.role == VmRole::Entry) {
            if vm.region != self.config.region {
                let addresses = regions.entry(vm.region.clone()).or_default();
                addresses.push(vm.address.clone());
            }
        }
        regions
    }

    /// Returns the summary of this region.
    pub(super) fn summary(&self) -> RegionSummary {
        let members = self.published.view.borrow().members.len();
        let mut loads: BTreeMap<ServiceId, ServiceLoad> = BTreeMap::new();
        let peers = self.peers.lock();
        let all = peers.values().flat_map(|peer| peer.loads.iter().cloned());
        for load in all.chain(self.local.loads()) {
            match loads.get_mut(&load.service) {
                Some(sum) => {
                    sum.free = sum.free.saturating_add(load.free);
                    sum.delay = sum.delay.max(load.delay);
                }
                None => {
                    loads.insert(load.service.clone(), load);
                }
            }
        }
        RegionSummary {
            region: self.config.region.clone(),
            bundle: self.local.bundle_version(),
            members: u32::try_from(members).unwrap_or(u32::MAX),
            loads: loads.into_values().collect(),
        }
    }

    pub(super) fn record_region_status(&self, summary: &RegionSummary, received_at: Millis) {
        let status = RegionStatus {
            received_at,
            bundle: summary.bundle,
            members: summary.members,
            loads: summary.loads.clone(),
        };
        self.regions.lock().insert(summary.region.clone(), status);
        self.publish_regions();
    }

    /// Adds the status of other regions to a heartbeat, unless it is older than one interval.
    pub(super) fn add_region_digest(&self, beat: &mut Heartbeat) {
        let now = self.now();
        let known: Vec<RegionDigest> = self
            .regions
            .lock()
            .iter()
            // Only recent status is relayed. A digest carries no loads, which are known only to the
            // processes that received the summary.
            .filter(|(_, status)| {
                now.since(status.received_at) < self.config.timing.region_interval
            })
            .map(|(id, status)| {
                (
                    id.clone(),
                    status.bundle,
                    status.members,
                    now.since(status.received_at),
                )
            })
            .collect();
        if let Some(digest) = (!known.is_empty()).then(|| pack(&known).ok()).flatten() {
            beat.digests.insert(REGION_DIGEST_KEY.to_string(), digest);
        }
    }

    pub(super) fn apply_region_digest(&self, beat: &Heartbeat) {
        let Some(Ok(known)) = beat
            .digests
            .get(REGION_DIGEST_KEY)
            .map(|digest| unpack::<Vec<RegionDigest>>(digest))
        else {
            return;
        };
        let now = self.now();
        let mut regions = self.regions.lock();
        for (id, bundle, members, age) in known {
            let received_at = now - age;
            let current = regions.get(&id);
            if current.is_some_and(|current| current.received_at >= received_at)
                || id == self.config.region
            {
                continue;
            }
            let loads = current.map_or(Vec::new(), |current| current.loads.clone());
            let status = RegionStatus {
                received_at,
                bundle,
                members,
                loads,
            };
            regions.insert(id, status);
        }
    }

    fn publish_regions(&self) {
        let regions = self.regions.lock().clone();
        let now = self.now();
        let silence = self.config.timing.region_timeout;
        let newest = regions.values().map(|status| status.received_at).max();
        let silent = now.since(newest.unwrap_or(Millis::ZERO)) >= silence;
        let cut_off = silent && !self.other_regions().is_empty();
        if cut_off != self.published.regions.borrow().cut_off {
            tracing::warn!(cut_off, region = %self.config.region, "contact with other regions");
        }
        publish(
            &self.published.regions,
            RegionsSnapshot { regions, cut_off },
        );
    }
}
