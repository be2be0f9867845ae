//! Applies the published bundle, VM list, slots, drains and peer states to the request path and
//! the batch scheduler.

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

/// Longest time between two updates, which also refresh the ages of the peers' loads.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time until the batch scheduler gets the VM list again and checks which racks it owns.
const BATCH_UPDATE_INTERVAL: Millis = Millis(1000);

/// Interval at which a watcher reads the drain record.
const WATCHER_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which any other process reads the drain record until it knows one.
const FALLBACK_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Loads in a peer's status that is older than this are ignored.
const MAX_PEER_STATUS_AGE: Millis = Millis(5000);

/// Published values as of the last update.
struct AppliedValues {
    vms: watch::Receiver<Arc<VmSnapshot>>,
    slots: watch::Receiver<Arc<BTreeMap<VmId, u32>>>,
    bundle: Option<Arc<BundleInForce>>,
    epoch: Epoch,
    drained: Drained,
    batch_updated_at: Millis,
}

/// Applies published values to the dispatcher, the proxy and the batch scheduler.
pub(super) struct StateUpdater {
    parts: UpdaterParts,
    applied: Mutex<AppliedValues>,
}

/// Modules that an updater reads from and writes to.
pub(super) struct UpdaterParts {
    pub(super) node: Arc<MemberNode>,
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) proxy: Proxy,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) batch: Arc<BatchNode>,
    pub(super) clock: Clock,
    pub(super) region: RegionId,
    pub(super) drains: Arc<DrainManager>,
}

impl StateUpdater {
    pub(super) fn new(parts: UpdaterParts) -> Arc<Self> {
        let applied = Mutex::new(AppliedValues {
            vms: parts.node.watch_vms(),
            slots: parts.node.watch_slots(),
            bundle: None,
            epoch: Epoch(0),
            drained: Drained::default(),
            batch_updated_at: Millis::ZERO,
        });
        Arc::new(Self { parts, applied })
    }

    /// Applies changes when they are published, and at least every `MAX_UPDATE_INTERVAL`, until
    /// `cancel` fires.
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
            self.evict_drained();
            self.report_slowdowns();
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(MAX_UPDATE_INTERVAL) => {}
                Ok(()) = vms.changed() => {}
                Ok(()) = slots.changed() => {}
                Ok(()) = view.changed() => {}
                Ok(()) = versions.changed() => {}
            }
        }
    }

    /// Polls the drain record while this process is a watcher or knows no record yet. The others
    /// receive it with heartbeats.
    pub(super) async fn poll_drains(self: Arc<Self>, cancel: CancellationToken) {
        while !cancel.is_cancelled() {
            let known = self.parts.drains.drained().record().serial > 0;
            if (self.parts.node.is_watcher() || !known)
                && let Err(err) = self.parts.drains.refresh().await
            {
                tracing::debug!(%err, "drain record could not be read; the last known one stays in force");
            }
            let interval = if self.parts.node.is_watcher() {
                WATCHER_POLL_INTERVAL
            } else {
                FALLBACK_POLL_INTERVAL
            };
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(interval) => {}
            }
        }
    }

    /// Applies the newest bundle, VM list, slots and drains if one of them changed.
    ///
    /// The membership calls this before it counts requests in flight, so that a slot that was
    /// given up gets no new request after the count.
    pub(super) fn apply_endpoints(&self) {
        let mut applied = self.applied.lock();
        let bundle = self.parts.keeper.active().current();
        let bundle_changed = bundle.as_ref().map(|in_force| in_force.version)
            != applied.bundle.as_ref().map(|in_force| in_force.version);
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
        // Ownership of racks also changes without a change of the VM list, when another member
        // releases a rack.
        let now = self.parts.clock.now();
        let is_due = now.since(applied.batch_updated_at) >= BATCH_UPDATE_INTERVAL;
        if !bundle_changed && !vms_changed && !slots_changed && !drained_changed && !is_due {
            return;
        }
        applied.batch_updated_at = now;
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

    /// Evicts all tasks from drained workers in racks that this process owns.
    fn evict_drained(&self) {
        let drained = self.applied.lock().drained.clone();
        let snapshot = self.parts.node.watch_vms().borrow().clone();
        for vm in snapshot.vms.iter().filter(|vm| drained.covers(vm)) {
            self.parts.batch.evict_all(&vm.vm);
        }
    }

    /// Passes the slowdown of each worker's service to the rack owner.
    fn report_slowdowns(&self) {
        let now = self.parts.clock.now();
        let slowdowns_by_vm = self.parts.dispatcher.lock().slowdowns(now);
        for (vm, slowdown, age) in slowdowns_by_vm {
            self.parts.batch.record_service_slowdown(&vm, slowdown, age);
        }
    }

    fn apply_view(&self, snapshot: &ViewSnapshot) {
        let mut applied = self.applied.lock();
        if snapshot.epoch <= applied.epoch || snapshot.members.is_empty() {
            return;
        }
        applied.epoch = snapshot.epoch;
        self.parts
            .proxy
            .adopt_view(Arc::new(KeySnapshot::new(snapshot)));
    }

    fn apply_peers(&self, view: &ViewSnapshot, peers: &BTreeMap<MemberId, PeerStatus>) {
        let now = self.parts.node.now();
        let mut loads: BTreeMap<ServiceId, Vec<PeerLoad>> = BTreeMap::new();
        for member in &view.members {
            let Some(status) = peers.get(&member.id) else {
                continue;
            };
            let age = now.since(status.received_at);
            if age > MAX_PEER_STATUS_AGE {
                continue;
            }
            for load in &status.loads {
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
            .map(|in_force| in_force.bundle.service.keys().cloned().collect())
            .unwrap_or_default()
    }

    fn shares(
        &self,
        snapshot: &VmSnapshot,
        slots: &BTreeMap<VmId, u32>,
        bundle: Option<&BundleInForce>,
    ) -> BTreeMap<ServiceId, Vec<EndpointShare>> {
        let mut shares: BTreeMap<ServiceId, Vec<EndpointShare>> = BTreeMap::new();
        let known = bundle
            .into_iter()
            .flat_map(|in_force| in_force.bundle.service.iter());
        for (service, _) in known {
            shares.entry(service.clone()).or_default();
        }
        for vm in snapshot
            .vms
            .iter()
            .filter(|vm| vm.region == self.parts.region)
        {
            let Some((service, share)) = share(vm, snapshot, slots) else {
                continue;
            };
            if let Some(list) = shares.get_mut(&service) {
                list.push(share);
            }
        }
        shares
    }
}

/// Builds the share of a worker's endpoint. Returns `None` for a VM without an endpoint or with
/// an address that cannot be parsed.
fn share(
    vm: &VmRecord,
    snapshot: &VmSnapshot,
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
        leaving: vm.state == VmState::Leaving || snapshot.leaving.contains(&vm.vm),
    };
    Some((service, share))
}
