//! Administration calls that show the state of this process.

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
        let services = bundle.iter().flat_map(|held| held.bundle.service.keys());
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
        let promised = self.batch.reserved_capacity();
        promised
            .into_iter()
            .map(|(vm, promised, capacity)| {
                json!({
                    "quarantined": quarantined.contains(&vm),
                    "vm": vm,
                    "promised": promised,
                    "capacity": capacity,
                })
            })
            .collect()
    }

    fn endpoints(&self) -> Value {
        let news = self.node.watch_vms().borrow().clone();
        let slots = self.node.watch_slots().borrow().clone();
        let in_use = self.dispatcher.lock().in_flight_by_endpoint();
        news.vms
            .iter()
            .filter(|vm| vm.role == VmRole::Worker && vm.service.is_some())
            .map(|vm| {
                json!({
                    "vm": vm.vm,
                    "zone": vm.zone,
                    "service": vm.service,
                    "address": vm.address,
                    "leaving": news.leaving.contains(&vm.vm),
                    "slots": slots.get(&vm.vm).copied().unwrap_or_default(),
                    "in_progress": in_use.get(&vm.vm).copied().unwrap_or_default(),
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
                let news = peers.get(&member.id);
                json!({
                    "member": member.id,
                    "vm": member.vm,
                    "zone": member.zone,
                    "address": member.address,
                    "heard_ms_ago": news.map(|news| now.since(news.received_at)),
                    "bundle_version": news.map(|news| news.bundle),
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
