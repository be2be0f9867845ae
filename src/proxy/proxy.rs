//! The request path of one entry process.

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use super::board::Board;
use super::gauge::Gauge;
use super::head::Face;
use super::keyed::hand_over;
use super::keys::Keys;
use super::peer_request_handler::PeerRequestHandler;
use super::pools::Pools;
use super::serve::serve;
use super::shared::Shared;
use super::{ProxyConfig, ProxyMetrics};
use crate::bundle::ActiveBundle;
use crate::dedup::{KeyView, OwnershipView};
use crate::membership::Ownership;
use crate::prelude::*;
use crate::routing::{Dispatcher, EndpointShare};
use crate::web::{Caller, WebReq, WebRes, WebService};

/// Passes requests of callers to endpoints and peers.
///
/// It serves callers itself; [`Proxy::peer_request_handler`] serves the peer interface.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
}

impl Proxy {
    /// Creates a proxy whose connections live on `runtime`.
    ///
    /// When `cancel` fires, new requests are refused as not run and those in progress finish.
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
        let keys = Keys::new(cfg.member.clone(), cfg.key_limits, view, clock.now());
        let connections = metrics.connections.clone();
        let shared = Arc::new(Shared {
            member: cfg.member,
            clock,
            bundle,
            board: Board::new(dispatcher, clock),
            pools: Pools::new(clock, connections, cfg.peer_connections),
            keys,
            caller: Caller::new(),
            ownership,
            gauge: Gauge::new(metrics.in_flight.clone()),
            metrics,
            body_bytes: Arc::new(Semaphore::new(cfg.max_buffered_bytes)),
            cancel,
            runtime: runtime.clone(),
        });
        runtime.spawn(shared.board.clone().run());
        let swept = shared.clone();
        runtime.spawn(async move { swept.pools.run().await });
        Self { shared }
    }

    /// Returns the service for `/peer/forward/` and `/peer/keys/` of the peer interface.
    pub fn peer_request_handler(&self) -> Arc<dyn WebService> {
        Arc::new(PeerRequestHandler {
            shared: self.shared.clone(),
        })
    }

    /// Replaces the endpoints of a service, in the dispatcher and in the connection pools.
    ///
    /// A share without slots keeps its connections only until their requests end.
    pub fn set_endpoints(&self, service: &ServiceId, list: Vec<EndpointShare>) {
        let shared = &self.shared;
        let per_slot = shared.one_slot(service);
        shared.pools.set_shares(service, &list, per_slot);
        shared.board.change(|dispatcher, now| {
            dispatcher.set_endpoints(service, list, now);
            Vec::new()
        });
    }

    /// Returns the connections to an endpoint that are open or being closed.
    pub fn connections(&self, address: Address) -> u32 {
        self.shared.pools.open(address.0)
    }

    /// Takes the key holders of a newer epoch into use and hands records over to them.
    pub fn adopt_view(&self, view: Arc<dyn KeyView>) {
        let shared = &self.shared;
        let epoch = view.epoch();
        if let Some(messages) = shared.keys.adopt(view, shared.clock.now()) {
            let task = hand_over(shared.clone(), epoch, messages);
            shared.runtime.spawn(task);
        }
    }

    /// Returns the number of idempotency keys held.
    pub fn keys_held(&self) -> usize {
        self.shared.keys.len()
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.shared.gauge.count()
    }

    /// Waits until no request is in progress.
    pub async fn drained(&self) {
        self.shared.gauge.zero().await;
    }
}

#[async_trait(?Send)]
impl WebService for Proxy {
    async fn call(&self, req: WebReq) -> WebRes {
        serve(&self.shared, req, Face::Callers).await
    }
}
