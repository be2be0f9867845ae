//! Connection pool of one endpoint or peer.

use std::net::SocketAddr;

use parking_lot::Mutex;
use prometheus::IntGauge;
use tokio::sync::Notify;

use super::Clock;
use super::connection::PooledConnection;
use crate::prelude::*;

/// Idle time after which a connection is closed, since a middlebox may have dropped its state.
const IDLE_TIMEOUT: Millis = Millis::from_secs(15);

/// Idle time after which a connection is probed before a request that cannot be retried.
const MAX_UNPROBED_IDLE: Millis = Millis::from_secs(1);

/// Maximum wait for the response to a probe.
const PROBE_TIMEOUT: Millis = Millis(250);

/// Maximum wait for a connection to be established.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

#[derive(Default)]
struct State {
    limit: u32,
    open: u32,
    idle: Vec<PooledConnection>,
}

/// Pool of the connections to one address. Their number, including those being closed, never
/// exceeds the limit.
pub(super) struct Pool {
    addr: SocketAddr,
    clock: Clock,
    state: Mutex<State>,
    freed: Notify,
    open_gauge: IntGauge,
}

/// Policy for the reuse of idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReusePolicy {
    /// Reuse any connection that has not exceeded the idle timeout.
    Idle,
    /// Reuse connections that were used recently or respond to a probe.
    Recent,
    /// Open a new connection, or reuse one that responds to a probe. Hedges and retries use this
    /// policy, since their requests are already delayed.
    Probed,
}

/// Permit for one open connection.
pub(super) struct Permit {
    pool: Arc<Pool>,
}

enum AcquireStep {
    Reuse(PooledConnection),
    Open(Permit),
    Full,
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, limit: u32, clock: Clock, open_gauge: IntGauge) -> Self {
        Self {
            addr,
            clock,
            state: Mutex::new(State {
                limit,
                ..State::default()
            }),
            freed: Notify::new(),
            open_gauge,
        }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections that are open or being closed.
    pub(super) fn open(&self) -> u32 {
        self.state.lock().open
    }

    /// Changes the limit and closes idle connections that exceed it.
    pub(super) fn set_limit(&self, limit: u32) {
        let mut state = self.state.lock();
        state.limit = limit;
        let excess = state.open.saturating_sub(limit) as usize;
        let kept = state.idle.len().saturating_sub(excess);
        let closed = state.idle.split_off(kept);
        drop(state);
        drop(closed);
        self.freed.notify_waiters();
    }

    /// Returns a connection, or `None` if none becomes available before `until`.
    ///
    /// Idle connections that `reuse_policy` does not cover are probed first.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        reuse_policy: ReusePolicy,
        until: Millis,
    ) -> Option<PooledConnection> {
        loop {
            let freed = self.freed.notified();
            let step = match reuse_policy {
                ReusePolicy::Probed => self.permit().map_or_else(|| self.step(), AcquireStep::Open),
                ReusePolicy::Idle | ReusePolicy::Recent => self.step(),
            };
            match step {
                AcquireStep::Reuse(mut connection) => {
                    let idle = self.clock.now().since(connection.idle_since);
                    let probe = match reuse_policy {
                        ReusePolicy::Idle => false,
                        ReusePolicy::Recent => idle > MAX_UNPROBED_IDLE,
                        ReusePolicy::Probed => true,
                    };
                    if probe && !connection.probe(PROBE_TIMEOUT).await {
                        continue;
                    }
                    return Some(connection);
                }
                AcquireStep::Open(permit) => return self.connect(permit).await,
                AcquireStep::Full => tokio::select! {
                    () = freed => {}
                    () = self.clock.sleep_until(until) => return None,
                },
            }
        }
    }

    /// Probes the address on a new connection and returns whether it responded.
    ///
    /// If it responded, the idle connections are closed, since they may have stalled like the one
    /// that caused the probe.
    pub(super) async fn replace_stalled(self: &Arc<Self>, timeout: Millis) -> bool {
        let Some(permit) = self.permit() else {
            return false;
        };
        let Some(mut connection) = self.connect(permit).await else {
            return false;
        };
        let responded = connection.probe(timeout).await;
        if responded {
            let idle = std::mem::take(&mut self.state.lock().idle);
            drop(idle);
            self.put_back(connection);
        }
        responded
    }

    /// Returns a connection to the pool for the next request.
    pub(super) fn put_back(&self, mut connection: PooledConnection) {
        if connection.is_closed() {
            return;
        }
        connection.idle_since = self.clock.now();
        let mut state = self.state.lock();
        if state.open <= state.limit {
            state.idle.push(connection);
            drop(state);
            self.freed.notify_waiters();
        }
    }

    /// Closes connections that have exceeded the idle timeout.
    pub(super) fn close_expired_idle(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let (kept, closed) = std::mem::take(&mut state.idle)
            .into_iter()
            .partition(|connection| {
                !connection.is_closed() && now.since(connection.idle_since) <= IDLE_TIMEOUT
            });
        state.idle = kept;
        drop(state);
        drop::<Vec<PooledConnection>>(closed);
    }

    fn step(self: &Arc<Self>) -> AcquireStep {
        let now = self.clock.now();
        let reuse = loop {
            let Some(connection) = self.state.lock().idle.pop() else {
                break None;
            };
            if !connection.is_closed() && now.since(connection.idle_since) <= IDLE_TIMEOUT {
                break Some(connection);
            }
        };
        match reuse {
            Some(connection) => AcquireStep::Reuse(connection),
            None => self.permit().map_or(AcquireStep::Full, AcquireStep::Open),
        }
    }

    fn permit(self: &Arc<Self>) -> Option<Permit> {
        let mut state = self.state.lock();
        if state.open >= state.limit {
            return None;
        }
        state.open += 1;
        self.open_gauge.inc();
        Some(Permit { pool: self.clone() })
    }

    async fn connect(&self, permit: Permit) -> Option<PooledConnection> {
        let opened = PooledConnection::open(self, self.clock, permit);
        match tokio::time::timeout(CONNECT_TIMEOUT.into(), opened).await {
            Ok(Ok(connection)) => Some(connection),
            Ok(Err(reason)) => {
                tracing::debug!(addr = %self.addr, reason, "connection failed");
                None
            }
            Err(_) => None,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.state.lock().open -= 1;
        self.pool.open_gauge.dec();
        self.pool.freed.notify_waiters();
    }
}
