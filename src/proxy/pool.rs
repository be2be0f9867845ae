//! The connections to one endpoint or peer.

use std::net::SocketAddr;

use parking_lot::Mutex;
use prometheus::IntGauge;
use tokio::sync::Notify;

use super::Clock;
use super::link::Link;
use crate::prelude::*;

/// Idle connections are closed after this time; a middlebox may have forgotten them.
const IDLE_TIMEOUT: Millis = Millis::from_secs(15);

/// Idle time after which a connection is probed before a request that cannot be repeated.
const PROBE_AFTER: Millis = Millis::from_secs(1);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Millis = Millis(250);

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

#[derive(Default)]
struct State {
    limit: u32,
    open: u32,
    idle: Vec<Link>,
}

/// Connections to one address, never more than the limit, including those being closed.
pub(super) struct Pool {
    addr: SocketAddr,
    clock: Clock,
    state: Mutex<State>,
    freed: Notify,
    open_gauge: IntGauge,
}

/// How far an idle connection is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    /// Any connection that has not been idle for too long.
    Idle,
    /// Connections that were used recently, or that answer a probe.
    Recent,
    /// Fresh connections, or those that answer a probe; for requests that were already delayed.
    Probed,
}

/// The right to have one connection open.
pub(super) struct Permit {
    pool: Arc<Pool>,
}

enum Step {
    Reuse(Link),
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

    /// Changes the limit and closes idle connections beyond it.
    pub(super) fn set_limit(&self, limit: u32) {
        let mut state = self.state.lock();
        state.limit = limit;
        let excess = state.open.saturating_sub(limit) as usize;
        let keep = state.idle.len().saturating_sub(excess);
        let closed = state.idle.split_off(keep);
        drop(state);
        drop(closed);
        self.freed.notify_waiters();
    }

    /// Returns a connection, or `None` if none became available in time.
    ///
    /// Idle connections that are not trusted are probed first.
    pub(super) async fn acquire(self: &Arc<Self>, trust: Trust, until: Millis) -> Option<Link> {
        loop {
            let freed = self.freed.notified();
            let step = match trust {
                Trust::Probed => self.permit().map_or_else(|| self.step(), Step::Open),
                Trust::Idle | Trust::Recent => self.step(),
            };
            match step {
                Step::Reuse(mut link) => {
                    let idle = self.clock.now().since(link.idle_since);
                    let probe = match trust {
                        Trust::Idle => false,
                        Trust::Recent => idle > PROBE_AFTER,
                        Trust::Probed => true,
                    };
                    if probe && !link.probe(PROBE_TIMEOUT).await {
                        continue;
                    }
                    return Some(link);
                }
                Step::Open(permit) => return self.connect(permit).await,
                Step::Full => tokio::select! {
                    () = freed => {}
                    () = self.clock.sleep_until(until) => return None,
                },
            }
        }
    }

    /// Probes the address on a connection of its own; returns whether it answered.
    ///
    /// If so, the idle connections are closed: they may be as silent as the one in question.
    pub(super) async fn replace_silent(self: &Arc<Self>, timeout: Millis) -> bool {
        let Some(permit) = self.permit() else {
            return false;
        };
        let Some(mut link) = self.connect(permit).await else {
            return false;
        };
        let answered = link.probe(timeout).await;
        if answered {
            let idle = std::mem::take(&mut self.state.lock().idle);
            drop(idle);
            self.put_back(link);
        }
        answered
    }

    /// Keeps a connection for the next request.
    pub(super) fn put_back(&self, mut link: Link) {
        if link.is_closed() {
            return;
        }
        link.idle_since = self.clock.now();
        let mut state = self.state.lock();
        if state.open <= state.limit {
            state.idle.push(link);
            drop(state);
            self.freed.notify_waiters();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let (keep, closed) = std::mem::take(&mut state.idle)
            .into_iter()
            .partition(|link| !link.is_closed() && now.since(link.idle_since) <= IDLE_TIMEOUT);
        state.idle = keep;
        drop(state);
        drop::<Vec<Link>>(closed);
    }

    fn step(self: &Arc<Self>) -> Step {
        let now = self.clock.now();
        let reuse = loop {
            let Some(link) = self.state.lock().idle.pop() else {
                break None;
            };
            if !link.is_closed() && now.since(link.idle_since) <= IDLE_TIMEOUT {
                break Some(link);
            }
        };
        match reuse {
            Some(link) => Step::Reuse(link),
            None => self.permit().map_or(Step::Full, Step::Open),
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

    async fn connect(&self, permit: Permit) -> Option<Link> {
        let opened = Link::open(self, self.clock, permit);
        match tokio::time::timeout(CONNECT_TIMEOUT.into(), opened).await {
            Ok(Ok(link)) => Some(link),
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
