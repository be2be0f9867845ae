//! Exchange of bundle versions and load summaries with other regions.

use std::collections::BTreeMap;

use super::codec::{pack, unpack};
use super::published::publish;
use super::{MemberNode, RegionStatus, RegionsSnapshot};
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, RegionSummary, ServiceLoad};
use crate::schema::vm::VmRole;

/// Longest wait for the answer of another region.
const TIMEOUT: Millis = Millis(2000);

/// Key of the heartbeat digest that tells members what their gateway received.
const DIGEST: &str = "regions";

/// A region in that digest: its id, bundle version, members, and the age of the news.
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
                    self.greet(address);
                }
                round += 1;
            }
            self.publish_regions();
        }
    }

    /// Tells one member of another region about this one, and takes over its answer.
    fn greet(self: &Arc<Self>, address: String) {
        let node = self.clone();
        self.spawn(async move {
            let Ok(body) = pack(&node.summary()) else {
                return;
            };
            let answer = node
                .caller
                .post(&address, "/peer/region", body, TIMEOUT)
                .await;
            match answer.map(|buf| unpack::<RegionSummary>(&buf)) {
                Ok(Ok(summary)) => {
                    node.note_region(&summary, node.now());
                    if summary.bundle > node.local.bundle_version() {
                        node.fetch_bundle(address);
                    }
                }
                Ok(Err(err)) => tracing::warn!(address, err, "invalid answer of a region"),
                Err(err) => tracing::debug!(address, %err, "no answer of a region"),
            }
        });
    }

    /// Returns the peer addresses of other regions; each region has at least one.
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

    /// Sums up this region.
    pub(super) fn summary(&self) -> RegionSummary {
        let members = self.news.view.borrow().members.len();
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

    pub(super) fn note_region(&self, summary: &RegionSummary, received_at: Millis) {
        let news = RegionStatus {
            received_at,
            bundle: summary.bundle,
            members: summary.members,
            loads: summary.loads.clone(),
        };
        self.regions.lock().insert(summary.region.clone(), news);
        self.publish_regions();
    }

    /// Adds what this process knows of other regions, unless it has nothing new to tell.
    pub(super) fn add_region_digest(&self, beat: &mut Heartbeat) {
        let now = self.now();
        let known: Vec<RegionDigest> = self
            .regions
            .lock()
            .iter()
            // Loads are known only where they were told, so relayed news is not passed on again.
            .filter(|(_, news)| now.since(news.received_at) < self.config.timing.region_interval)
            .map(|(id, news)| {
                (
                    id.clone(),
                    news.bundle,
                    news.members,
                    now.since(news.received_at),
                )
            })
            .collect();
        if let Some(digest) = (!known.is_empty()).then(|| pack(&known).ok()).flatten() {
            beat.digests.insert(DIGEST.to_string(), digest);
        }
    }

    pub(super) fn take_region_digest(&self, beat: &Heartbeat) {
        let Some(Ok(known)) = beat
            .digests
            .get(DIGEST)
            .map(|digest| unpack::<Vec<RegionDigest>>(digest))
        else {
            return;
        };
        let now = self.now();
        let mut regions = self.regions.lock();
        for (id, bundle, members, age) in known {
            let received_at = now - age;
            let held = regions.get(&id);
            if held.is_some_and(|held| held.received_at >= received_at) || id == self.config.region
            {
                continue;
            }
            let loads = held.map_or(Vec::new(), |held| held.loads.clone());
            let news = RegionStatus {
                received_at,
                bundle,
                members,
                loads,
            };
            regions.insert(id, news);
        }
    }

    fn publish_regions(&self) {
        let regions = self.regions.lock().clone();
        let now = self.now();
        let silence = self.config.timing.region_timeout;
        let newest = regions.values().map(|news| news.received_at).max();
        let silent = now.since(newest.unwrap_or(Millis::ZERO)) >= silence;
        let cut_off = silent && !self.other_regions().is_empty();
        if cut_off != self.news.regions.borrow().cut_off {
            tracing::warn!(cut_off, region = %self.config.region, "contact with other regions");
        }
        publish(&self.news.regions, RegionsSnapshot { regions, cut_off });
    }
}
