//! Public interface of the request path of an entry process.

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use super::head::Listener;
use super::in_flight::InFlightCounter;
use super::key_store::KeyStore;
use super::keyed::send_handovers;
use super::peer_request_handler::PeerRequestHandler;
use super::pools::Pools;
use super::request_router::RequestRouter;
use super::serve::serve;
use super::shared::Shared;
use super::{ProxyConfig, ProxyMetrics};
use crate::bundle::ActiveBundle;
use crate::dedup::{KeyView, OwnershipView};
use crate::membership::Ownership;
use crate::prelude::*;
use crate::routing::{Dispatcher, EndpointShare};
use crate::web::{Caller, WebReq, WebRes, WebService};

/// Relays requests of callers to endpoints and peers.
///
/// As a [`WebService`] it serves callers. [`Proxy::peer_request_handler`] serves peers.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
}

impl Proxy {
    /// Creates a proxy whose requests and connections are driven by `runtime`.
    ///
    /// Once `cancel` is cancelled, new requests are refused as not run and those in flight finish.
    pub fn new(
        cfg: ProxyConfig,
        bundle: Arc<ActiveBundle>,
        dispatcher: Arc<Mutex<Dispatcher>>,
        ownership: Arc<dyn Ownership>,
        metrics: ProxyMetrics,
        cancel: CancellationToken,
        runtime: Handle,
    ) -> Self {
        let clock = cfg.clock;
        let alone = || -> Arc<dyn KeyView> {
            let members = vec![cfg.member.clone()];
            Arc::new(OwnershipView::new(ownership.clone(), members))
        };
        let view = cfg.initial_view.unwrap_or_else(alone);
        let keys = KeyStore::new(cfg.member.clone(), cfg.key_limits, view, clock.now());
        let connections = metrics.connections.clone();
        let shared = Arc::new(Shared {
            member: cfg.member,
            clock,
            bundle,
            router: RequestRouter::new(dispatcher, clock),
            pools: Pools::new(clock, connections, cfg.peer_connections),
            keys,
            caller: Caller::new(),
            ownership,
            in_flight_counter: InFlightCounter::new(metrics.in_flight.clone()),
            metrics,
            body_bytes: Arc::new(Semaphore::new(cfg.max_buffered_bytes)),
            cancel,
            runtime: runtime.clone(),
        });
        runtime.spawn(shared.router.clone().run());
        let cleaned = shared.clone();
        runtime.spawn(async move { cleaned.pools.run().await });
        Self { shared }
    }

    /// Returns the handler for `/peer/forward/` and `/peer/keys/` on the peer listener.
    pub fn peer_request_handler(&self) -> Arc<dyn WebService> {
        Arc::new(PeerRequestHandler {
            shared: self.shared.clone(),
        })
    }

    /// Replaces the endpoints of a service, in the dispatcher and in the connection pools.
    ///
    /// The connections of an endpoint without slots are kept only until their requests end.
    pub fn set_endpoints(&self, service: &ServiceId, list: Vec<EndpointShare>) {
        let shared = &self.shared;
        let per_slot = shared.connections_per_slot(service);
        shared.pools.set_shares(service, &list, per_slot);
        shared.router.change(|dispatcher, now| {
            dispatcher.set_endpoints(service, list, now);
            Vec::new()
        });
    }

    /// Returns the number of connections to an endpoint that are open or being closed.
    pub fn connections(&self, address: Address) -> u32 {
        self.shared.pools.open(address.0)
    }

    /// Adopts the key holders of a newer epoch and hands records over to them.
    pub fn adopt_view(&self, view: Arc<dyn KeyView>) {
        let shared = &self.shared;
        let epoch = view.epoch();
        if let Some(messages) = shared.keys.adopt(view, shared.clock.now()) {
            let task = send_handovers(shared.clone(), epoch, messages);
            shared.runtime.spawn(task);
        }
    }

    /// Returns the number of idempotency keys held.
    pub fn keys_held(&self) -> usize {
        self.shared.keys.len()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight_counter.count()
    }

    /// Waits until no request is in flight.
    pub async fn drained(&self) {
        self.shared.in_flight_counter.wait_zero().await;
    }
}

#[async_trait(?Send)]
impl WebService for Proxy {
    async fn call(&self, req: WebReq) -> WebRes {
        serve(&self.shared, req, Listener::Callers).await
    }
}
