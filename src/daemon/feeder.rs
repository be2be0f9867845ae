//! Feeds what the membership publishes to the request path and the batch side.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::key_snapshot::KeySnapshot;
use crate::batch::BatchNode;
use crate::bundle::{BundleInForce, BundleKeeper};
use crate::drain::{DrainManager, Drained};
use crate::peer::{MemberNode, PeerStatus, ViewSnapshot, VmSnapshot};
use crate::prelude::*;
use crate::proxy::{Clock, Proxy};
use crate::routing::{Dispatcher, EndpointShare, PeerLoad};
use crate::schema::vm::{VmRecord, VmRole, VmState};

/// Longest time between two rounds; ages of peers' reports are refreshed by them.
const ROUND: Duration = Duration::from_millis(250);

/// Longest time between two looks of the batch side at the VM list and the owned racks.
const BATCH_FEED_INTERVAL: Millis = Millis(1000);

/// Interval at which watchers read the drain record.
const WATCHER_ROUND: Duration = Duration::from_secs(2);

/// Interval at which other processes read the drain record until they know one.
const FALLBACK_ROUND: Duration = Duration::from_secs(30);

/// Reports of peers that are older than this are not used.
const PEER_REPORT_LIMIT: Millis = Millis(5000);

/// Values that were applied last.
struct Applied {
    vms: watch::Receiver<Arc<VmSnapshot>>,
    slots: watch::Receiver<Arc<BTreeMap<VmId, u32>>>,
    bundle: Option<Arc<BundleInForce>>,
    epoch: Epoch,
    drained: Drained,
    batch_fed: Millis,
}

/// Applies published values to the modules that decide by them.
pub(super) struct Feeder {
    parts: FeederParts,
    applied: Mutex<Applied>,
}

/// Modules that a feeder connects.
pub(super) struct FeederParts {
    pub(super) node: Arc<MemberNode>,
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) proxy: Proxy,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) batch: Arc<BatchNode>,
    pub(super) clock: Clock,
    pub(super) region: RegionId,
    pub(super) drains: Arc<DrainManager>,
}

impl Feeder {
    pub(super) fn new(parts: FeederParts) -> Arc<Self> {
        let applied = Mutex::new(Applied {
            vms: parts.node.watch_vms(),
            slots: parts.node.watch_slots(),
            bundle: None,
            epoch: Epoch(0),
            drained: Drained::default(),
            batch_fed: Millis::ZERO,
        });
        Arc::new(Self { parts, applied })
    }

    /// Applies changes as they are published until `cancel` fires.
    pub(super) async fn run(self: Arc<Self>, cancel: CancellationToken) {
        let mut vms = self.parts.node.watch_vms();
        let mut slots = self.parts.node.watch_slots();
        let mut view = self.parts.node.watch_view();
        let mut peers = self.parts.node.watch_peers();
        let mut versions = self.parts.keeper.subscribe();
        loop {
            self.apply_view(&view.borrow_and_update().clone());
            self.apply_endpoints();
            self.apply_peers(&view.borrow().clone(), &peers.borrow_and_update().clone());
            self.parts.keeper.set_watcher(self.parts.node.is_watcher());
            self.empty_drained();
            self.feed_slowdowns();
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(ROUND) => {}
                Ok(()) = vms.changed() => {}
                Ok(()) = slots.changed() => {}
                Ok(()) = view.changed() => {}
                Ok(()) = versions.changed() => {}
            }
        }
    }

    /// Follows the drain record while this process is a watcher; peers learn by heartbeats.
    pub(super) async fn follow_drains(self: Arc<Self>, cancel: CancellationToken) {
        while !cancel.is_cancelled() {
            let known = self.parts.drains.drained().record().serial > 0;
            if (self.parts.node.is_watcher() || !known)
                && let Err(err) = self.parts.drains.refresh().await
            {
                tracing::debug!(%err, "drain record cannot be read");
            }
            let pause = if self.parts.node.is_watcher() {
                WATCHER_ROUND
            } else {
                FALLBACK_ROUND
            };
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Applies the newest bundle, VM list and slots to the request path, if they changed.
    ///
    /// The membership calls this before it counts slots in use, so that slots that were given up
    /// get no new request after the count.
    pub(super) fn apply_endpoints(&self) {
        let mut applied = self.applied.lock();
        let bundle = self.parts.keeper.active().current();
        let bundle_changed = bundle.as_ref().map(|held| held.version)
            != applied.bundle.as_ref().map(|held| held.version);
        let vms_changed = applied.vms.has_changed().unwrap_or(false);
        let slots_changed = applied.slots.has_changed().unwrap_or(false);
        if let Some(bundle) = bundle.filter(|_| bundle_changed) {
            self.parts
                .dispatcher
                .lock()
                .configure(&bundle, self.parts.clock.now());
            applied.bundle = Some(bundle);
        }
        let drained = self.parts.drains.drained();
        let drained_changed = drained != applied.drained;
        applied.drained = drained;
        // Ownership of racks changes without a change of the list, when others let go of them.
        let now = self.parts.clock.now();
        let is_due = now.since(applied.batch_fed) >= BATCH_FEED_INTERVAL;
        if !bundle_changed && !vms_changed && !slots_changed && !drained_changed && !is_due {
            return;
        }
        applied.batch_fed = now;
        let vms = applied.vms.borrow_and_update().clone();
        let slots = applied.slots.borrow_and_update().clone();
        let vms = VmSnapshot {
            vms: applied.drained.mark(&vms.vms),
            leaving: vms.leaving.clone(),
        };
        for (service, shares) in self.shares(&vms, &slots, applied.bundle.as_deref()) {
            self.parts.proxy.set_endpoints(&service, shares);
        }
        self.parts.batch.set_vms(&vms.vms);
    }

    /// Evicts tasks from drained workers of own racks.
    fn empty_drained(&self) {
        let drained = self.applied.lock().drained.clone();
        let news = self.parts.node.watch_vms().borrow().clone();
        for vm in news.vms.iter().filter(|vm| drained.covers(vm)) {
            self.parts.batch.evict_all(&vm.vm);
        }
    }

    /// Tells the rack owner how the services on its workers are slowed.
    fn feed_slowdowns(&self) {
        let now = self.parts.clock.now();
        let measured = self.parts.dispatcher.lock().slowdowns(now);
        for (vm, slowdown, age) in measured {
            self.parts.batch.record_service_slowdown(&vm, slowdown, age);
        }
    }

    fn apply_view(&self, news: &ViewSnapshot) {
        let mut applied = self.applied.lock();
        if news.epoch <= applied.epoch || news.members.is_empty() {
            return;
        }
        applied.epoch = news.epoch;
        self.parts
            .proxy
            .adopt_view(Arc::new(KeySnapshot::new(news)));
    }

    fn apply_peers(&self, view: &ViewSnapshot, peers: &BTreeMap<MemberId, PeerStatus>) {
        let now = self.parts.node.now();
        let mut loads: BTreeMap<ServiceId, Vec<PeerLoad>> = BTreeMap::new();
        for member in &view.members {
            let Some(news) = peers.get(&member.id) else {
                continue;
            };
            let age = now.since(news.received_at);
            if age > PEER_REPORT_LIMIT {
                continue;
            }
            for load in &news.loads {
                loads
                    .entry(load.service.clone())
                    .or_default()
                    .push(PeerLoad {
                        member: member.id.clone(),
                        zone: member.zone.clone(),
                        free_slots: load.free,
                        queue_delay: load.delay,
                        age,
                    });
            }
        }
        let mut dispatcher = self.parts.dispatcher.lock();
        for service in self.services() {
            let peers = loads.remove(&service).unwrap_or_default();
            dispatcher.set_peers(&service, peers, self.parts.clock.now());
        }
    }

    fn services(&self) -> BTreeSet<ServiceId> {
        let bundle = self.parts.keeper.active().current();
        bundle
            .map(|held| held.bundle.service.keys().cloned().collect())
            .unwrap_or_default()
    }

    fn shares(
        &self,
        news: &VmSnapshot,
        slots: &BTreeMap<VmId, u32>,
        bundle: Option<&BundleInForce>,
    ) -> BTreeMap<ServiceId, Vec<EndpointShare>> {
        let mut shares: BTreeMap<ServiceId, Vec<EndpointShare>> = BTreeMap::new();
        let known = bundle
            .into_iter()
            .flat_map(|held| held.bundle.service.iter());
        for (service, _) in known {
            shares.entry(service.clone()).or_default();
        }
        for vm in news.vms.iter().filter(|vm| vm.region == self.parts.region) {
            let Some((service, share)) = share(vm, news, slots) else {
                continue;
            };
            if let Some(list) = shares.get_mut(&service) {
                list.push(share);
            }
        }
        shares
    }
}

/// Builds the share of a worker's endpoint, or `None` for VMs without one.
fn share(
    vm: &VmRecord,
    news: &VmSnapshot,
    slots: &BTreeMap<VmId, u32>,
) -> Option<(ServiceId, EndpointShare)> {
    if vm.role != VmRole::Worker {
        return None;
    }
    let service = vm.service.clone()?;
    let address: Address = vm.address.parse().ok()?;
    let share = EndpointShare {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        address,
        slots: slots.get(&vm.vm).copied().unwrap_or_default(),
        leaving: vm.state == VmState::Leaving || news.leaving.contains(&vm.vm),
    };
    Some((service, share))
}
