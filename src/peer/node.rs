//! One entry process as a member of its region.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use super::published::{PublishedState, publish};
use super::{LocalState, PeerStatus, RegionStatus, RegionsSnapshot, ViewSnapshot, VmSnapshot};
use crate::membership::{Input, Membership, Output, Timing};
use crate::prelude::*;
use crate::provider::{Store, VmList};
use crate::schema::peer::{Heartbeat, Member, MemberRecord};
use crate::web::Caller;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Description of this process. Its id must differ in each run of the process.
    pub me: Member,
    /// Region of this process.
    pub region: RegionId,
    /// Interval between reads of the VM list in a small region.
    pub vms_poll: Millis,
    /// Timeouts and intervals of the membership protocol.
    pub timing: Timing,
}

/// Runs the [`Membership`] of a process with the store, the VM list and the peers.
pub struct MemberNode {
    pub(super) config: NodeConfig,
    pub(super) store: Arc<dyn Store>,
    pub(super) vm_list: Arc<dyn VmList>,
    pub(super) caller: Caller,
    pub(super) local: Arc<dyn LocalState>,
    pub(super) state: Mutex<Membership>,
    pub(super) peers: Mutex<BTreeMap<MemberId, PeerStatus>>,
    pub(super) regions: Mutex<BTreeMap<RegionId, RegionStatus>>,
    pub(super) published: PublishedState,
    pub(super) cancel: CancellationToken,
    pub(super) left: CancellationToken,
    pub(super) fetching: Mutex<bool>,
    runtime: Handle,
    started: Instant,
}

impl MemberNode {
    /// Starts a node and its loops, which end when `cancel` fires.
    ///
    /// Must be called within a runtime. The caller has to serve the node at `/peer/`.
    pub fn start(
        config: NodeConfig,
        store: Arc<dyn Store>,
        vm_list: Arc<dyn VmList>,
        caller: Caller,
        local: Arc<dyn LocalState>,
        cancel: CancellationToken,
    ) -> Arc<Self> {
        let state = Membership::new(config.me.clone(), config.region.clone(), config.timing);
        let node = Arc::new(Self {
            config,
            store,
            vm_list,
            caller,
            local,
            state: Mutex::new(state),
            peers: Mutex::default(),
            regions: Mutex::default(),
            published: PublishedState::default(),
            cancel,
            left: CancellationToken::new(),
            fetching: Mutex::new(false),
            runtime: Handle::current(),
            started: Instant::now(),
        });
        node.spawn_loops();
        node
    }

    /// Returns the time of this node's clock. All times of the node refer to this clock.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Watches the VM list and the leaving endpoints.
    pub fn watch_vms(&self) -> watch::Receiver<Arc<VmSnapshot>> {
        self.published.vms.subscribe()
    }

    /// Watches the member view.
    pub fn watch_view(&self) -> watch::Receiver<Arc<ViewSnapshot>> {
        self.published.view.subscribe()
    }

    /// Watches the usable slots by endpoint. They are empty while this process is not active.
    ///
    /// A dispatcher must check each request that it starts against the newest value.
    pub fn watch_slots(&self) -> watch::Receiver<Arc<BTreeMap<VmId, u32>>> {
        self.published.slots.subscribe()
    }

    /// Watches the status of the peers.
    pub fn watch_peers(&self) -> watch::Receiver<Arc<BTreeMap<MemberId, PeerStatus>>> {
        self.published.peers.subscribe()
    }

    /// Watches the status of the other regions.
    pub fn watch_regions(&self) -> watch::Receiver<Arc<RegionsSnapshot>> {
        self.published.regions.subscribe()
    }

    /// Returns the slots of an endpoint that this process may use now.
    pub fn usable_slots(&self, vm: &VmId) -> u32 {
        self.state.lock().usable_slots(vm, self.now())
    }

    /// Returns whether this process is one of the members that watch the store.
    pub fn is_watcher(&self) -> bool {
        self.state.lock().is_watcher()
    }

    /// Records that an endpoint announced that it is leaving. The next tick notifies all peers.
    pub fn note_leaving(self: &Arc<Self>, vm: &VmId) {
        self.step(Input::Leaving(vm.clone()));
    }

    /// Leaves the member record once no request is in flight. Returns whether this succeeded within
    /// `max_wait`.
    pub async fn leave(self: &Arc<Self>, max_wait: Millis) -> bool {
        self.step(Input::Leave);
        tokio::time::timeout(max_wait.into(), self.left.cancelled())
            .await
            .is_ok()
    }

    /// Passes an input to the state machine, publishes changes and executes the outputs.
    pub(super) fn step(self: &Arc<Self>, input: Input) {
        let outputs = {
            let mut state = self.state.lock();
            let outputs = state.step(input, self.now());
            self.publish(&mut state);
            outputs
        };
        for output in outputs {
            self.execute(output);
        }
    }

    /// Processes a heartbeat of a peer and returns the response.
    pub(super) fn receive(self: &Arc<Self>, beat: &Heartbeat) -> Heartbeat {
        let mut response = {
            let mut state = self.state.lock();
            let response = state.receive(beat, self.now());
            self.publish(&mut state);
            response
        };
        self.add_local_state(&mut response);
        self.record_peer_status(beat);
        response
    }

    /// Adds the state of other modules to a heartbeat.
    pub(super) fn add_local_state(&self, beat: &mut Heartbeat) {
        beat.bundle = self.local.bundle_version();
        beat.loads = self.local.loads();
        beat.digests = self.local.digests();
        self.add_region_digest(beat);
    }

    /// Records the status of a peer from its heartbeat, and fetches its bundle if that is newer.
    pub(super) fn record_peer_status(self: &Arc<Self>, beat: &Heartbeat) {
        let status = PeerStatus {
            received_at: self.now(),
            bundle: beat.bundle,
            loads: beat.loads.clone(),
        };
        self.peers.lock().insert(beat.member.clone(), status);
        self.apply_region_digest(beat);
        let wants_bundle = self.local.receive_digests(&beat.member, &beat.digests);
        if wants_bundle || beat.bundle > self.local.bundle_version() {
            let address = self.state.lock().address_of(&beat.member);
            if let Some(address) = address {
                self.fetch_bundle(address);
            }
        }
    }

    /// Publishes the state while the state machine is locked.
    ///
    /// Slots published later could exceed the shares of an epoch that is already marked as drained.
    fn publish(&self, state: &mut Membership) {
        let now = self.now();
        let active = state.is_active(now);
        for change in state.take_slot_changes() {
            tracing::trace!(vm = %change.vm, before = change.before, after = change.after, "slots");
        }
        let slots = &self.published.slots;
        let empty = BTreeMap::new();
        let usable = if active { state.slots() } else { &empty };
        if **slots.borrow() != *usable {
            slots.send_replace(Arc::new(usable.clone()));
        }
        let view = ViewSnapshot {
            epoch: state.epoch(),
            members: state.table().map_or(Vec::new(), |t| t.members().to_vec()),
            silent: state.silent(now),
            active,
            store_silent: state.is_store_silent(),
        };
        publish(&self.published.view, view);
    }

    /// Publishes the VM list. It is large, so it is not published with every input.
    pub(super) fn publish_vms(&self) {
        let state = self.state.lock();
        let snapshot = VmSnapshot {
            vms: state.vms().vms().values().cloned().collect(),
            leaving: state.vms().leaving(),
        };
        publish(&self.published.vms, snapshot);
    }

    fn execute(self: &Arc<Self>, output: Output) {
        let node = self.clone();
        match output {
            Output::Adopted(epoch) => tracing::info!(%epoch, "adopted member epoch"),
            Output::Removed(epoch) => tracing::warn!(%epoch, "removed from the member record"),
            Output::Left => self.left.cancel(),
            Output::CreateLease(me) => {
                self.spawn(async move { node.step(node.create_lease(&me).await) })
            }
            Output::RenewLease => self.spawn(async move { node.step(node.renew_lease().await) }),
            Output::ReadRecord { leave } => {
                self.spawn(async move { node.step(node.read_record(leave).await) });
            }
            Output::WriteRecord(revision, record) => {
                self.spawn(async move { node.step(node.write_record(revision, &record).await) })
            }
            Output::SendHeartbeat(address, beat) => {
                self.spawn(async move { node.send_heartbeat(&address, beat).await });
            }
            Output::ExchangeView(address) => {
                let record = self.record();
                self.spawn(async move { node.exchange_view(&address, record).await });
            }
        }
    }

    /// Returns the adopted member record.
    pub(super) fn record(&self) -> Option<MemberRecord> {
        let state = self.state.lock();
        state.table().map(|table| table.record().clone())
    }

    /// Runs a task in the background until it ends or the node is cancelled.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancel = self.cancel.clone();
        self.runtime.spawn(async move {
            cancel.run_until_cancelled_owned(task).await;
        });
    }
}
