//! Administration calls that return the state of this process as JSON.

use async_trait::async_trait;
use http::Method;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::admin::{AdminAnswer, AdminExtension};
use crate::batch::BatchNode;
use crate::bundle::BundleKeeper;
use crate::peer::MemberNode;
use crate::prelude::*;
use crate::proxy::Proxy;
use crate::routing::Dispatcher;
use crate::schema::config::{ErrorKind, OperatorRecord};
use crate::schema::vm::VmRole;

/// Serves `/view/status`, `/view/workers`, `/view/endpoints` and `/view/peers`.
pub(super) struct StatusCalls {
    pub(super) node: Arc<MemberNode>,
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) proxy: Proxy,
    pub(super) batch: Arc<BatchNode>,
}

impl StatusCalls {
    fn status(&self) -> Value {
        let view = self.node.watch_view().borrow().clone();
        let bundle = self.keeper.active().current();
        let dispatcher = self.dispatcher.lock();
        let services = bundle
            .iter()
            .flat_map(|in_force| in_force.bundle.service.keys());
        let services: Vec<Value> = services
            .map(|id| json!({ "service": id, "load": dispatcher.load(id) }))
            .collect();
        json!({
            "bundle_version": self.keeper.newest(),
            "member_epoch": view.epoch,
            "members": view.members.len(),
            "active": view.active,
            "store_silent": view.store_silent,
            "requests_in_progress": self.proxy.in_flight(),
            "idempotency_keys": self.proxy.keys_held(),
            "services": services,
        })
    }

    fn workers(&self) -> Value {
        let quarantined = self.batch.quarantined();
        let reserved = self.batch.reserved_capacity();
        reserved
            .into_iter()
            .map(|(vm, reserved, capacity)| {
                json!({
                    "quarantined": quarantined.contains(&vm),
                    "vm": vm,
                    "promised": reserved,
                    "capacity": capacity,
                })
            })
            .collect()
    }

    fn endpoints(&self) -> Value {
        let snapshot = self.node.watch_vms().borrow().clone();
        let slots = self.node.watch_slots().borrow().clone();
        let in_flight_by_vm = self.dispatcher.lock().in_flight_by_endpoint();
        snapshot
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Worker && vm.service.is_some())
            .map(|vm| {
                json!({
                    "vm": vm.vm,
                    "zone": vm.zone,
                    "service": vm.service,
                    "address": vm.address,
                    "leaving": snapshot.leaving.contains(&vm.vm),
                    "slots": slots.get(&vm.vm).copied().unwrap_or_default(),
                    "in_progress": in_flight_by_vm.get(&vm.vm).copied().unwrap_or_default(),
                })
            })
            .collect()
    }

    fn peers(&self) -> Value {
        let view = self.node.watch_view().borrow().clone();
        let peers = self.node.watch_peers().borrow().clone();
        let now = self.node.now();
        view.members
            .iter()
            .map(|member| {
                let peer = peers.get(&member.id);
                json!({
                    "member": member.id,
                    "vm": member.vm,
                    "zone": member.zone,
                    "address": member.address,
                    "heard_ms_ago": peer.map(|peer| now.since(peer.received_at)),
                    "bundle_version": peer.map(|peer| peer.bundle),
                    "silent": view.silent.contains(&member.id),
                })
            })
            .collect()
    }
}

#[async_trait(?Send)]
impl AdminExtension for StatusCalls {
    fn prefix(&self) -> &str {
        "/view"
    }

    async fn call(
        &self,
        _operator: &OperatorRecord,
        _method: &Method,
        path: &str,
        _body: &[u8],
    ) -> AdminAnswer {
        match path {
            "/status" => AdminAnswer::ok(&self.status()),
            "/workers" => AdminAnswer::ok(&self.workers()),
            "/endpoints" => AdminAnswer::ok(&self.endpoints()),
            "/peers" => AdminAnswer::ok(&self.peers()),
            _ => AdminAnswer::error(ErrorKind::NotFound, "there is no such view"),
        }
    }
}
