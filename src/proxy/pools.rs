//! Connection pools of all endpoints and peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use prometheus::IntGauge;

use super::{Clock, Pool};
use crate::prelude::*;
use crate::routing::EndpointShare;

/// Interval between checks of the idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Endpoints {
    by_addr: HashMap<SocketAddr, Arc<Pool>>,
    by_service: HashMap<ServiceId, Vec<SocketAddr>>,
}

/// Connection pools by address.
pub(super) struct Pools {
    clock: Clock,
    open_gauge: IntGauge,
    endpoints: Mutex<Endpoints>,
    peers: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
    peer_connections: u32,
}

impl Pools {
    pub(super) fn new(clock: Clock, open_gauge: IntGauge, peer_connections: u32) -> Self {
        Self {
            clock,
            open_gauge,
            endpoints: Mutex::default(),
            peers: Mutex::default(),
            peer_connections,
        }
    }

    /// Returns the pool of an endpoint, or creates it with the given limit.
    pub(super) fn endpoint(&self, addr: SocketAddr, limit: u32) -> Arc<Pool> {
        let mut endpoints = self.endpoints.lock();
        let pool = endpoints.by_addr.entry(addr);
        pool.or_insert_with(|| self.create(addr, limit)).clone()
    }

    /// Returns the pool of a peer, or creates it.
    pub(super) fn peer(&self, addr: SocketAddr) -> Arc<Pool> {
        let mut peers = self.peers.lock();
        let pool = peers.entry(addr);
        pool.or_insert_with(|| self.create(addr, self.peer_connections))
            .clone()
    }

    /// Sets the connection limits of a service's endpoints. Endpoints that are no longer listed get
    /// the limit zero.
    pub(super) fn set_shares(&self, service: &ServiceId, list: &[EndpointShare], per_slot: u32) {
        let mut endpoints = self.endpoints.lock();
        let addrs = list.iter().map(|share| share.address.0).collect();
        let old = endpoints.by_service.insert(service.clone(), addrs);
        for addr in old.unwrap_or_default() {
            if let Some(pool) = endpoints.by_addr.get(&addr)
                && list.iter().all(|share| share.address.0 != addr)
            {
                pool.set_limit(0);
            }
        }
        for share in list {
            let limit = share.slots.saturating_mul(per_slot);
            let addr = share.address.0;
            let pool = endpoints.by_addr.entry(addr);
            pool.or_insert_with(|| self.create(addr, limit))
                .set_limit(limit);
        }
    }

    /// Returns the number of connections to an address that are open or being closed.
    pub(super) fn open(&self, addr: SocketAddr) -> u32 {
        let endpoints = self.endpoints.lock();
        endpoints.by_addr.get(&addr).map_or(0, |pool| pool.open())
    }

    /// Closes idle connections periodically.
    pub(super) async fn run(&self) {
        let mut interval = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            interval.tick().await;
            let mut pools: Vec<_> = self.endpoints.lock().by_addr.values().cloned().collect();
            pools.extend(self.peers.lock().values().cloned());
            pools.iter().for_each(|pool| pool.close_expired_idle());
        }
    }

    fn create(&self, addr: SocketAddr, limit: u32) -> Arc<Pool> {
        Arc::new(Pool::new(addr, limit, self.clock, self.open_gauge.clone()))
    }
}
