//! Connections of clients to all ports of a process.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::connection::{ConnectionId, Phase};
use super::connection_table::ConnectionTable;
use super::limits::InboundLimits;
use crate::prelude::*;

/// Time between two log lines about connections that were closed.
const LOG_INTERVAL: Millis = Millis(1000);

/// Longest wait of a complete request for the memory to serve it. Connections that are closed for it
/// end within a few ms.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections of clients to all ports of a process, and the memory for them.
#[derive(Debug)]
pub struct Inbound {
    started: Instant,
    limits: InboundLimits,
    table: Mutex<ConnectionTable>,
    /// Wakes those that wait for memory.
    freed: Notify,
    /// Time of the last log line, and the number of closed connections that it named.
    logged: Mutex<(Millis, u64)>,
}

/// What the connections of clients take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InboundLoad {
    /// Open connections.
    pub connections: usize,
    /// Bytes that connections and the requests on them take.
    pub bytes: usize,
    /// Connections that were closed or refused to keep the limits.
    pub closed: u64,
}

impl Inbound {
    /// Creates an empty table with these limits.
    pub fn new(limits: InboundLimits) -> Self {
        Self {
            started: Instant::now(),
            limits,
            table: Mutex::new(ConnectionTable::new(limits)),
            freed: Notify::new(),
            logged: Mutex::default(),
        }
    }

    /// Returns what the connections take now.
    pub fn load(&self) -> InboundLoad {
        let table = self.table.lock();
        InboundLoad {
            connections: table.len(),
            bytes: table.used(),
            closed: table.closed(),
        }
    }

    /// Adds a connection; returns its number, or `None` if there is no room for it.
    pub(super) fn open(&self, id: ConnectionId, close: CancellationToken) -> Option<u64> {
        self.change(|table, now| table.open(id, close, now))
    }

    pub(super) fn remove(&self, id: &ConnectionId, number: u64) {
        self.table.lock().remove(id, number);
        self.freed.notify_waiters();
    }

    /// Begins a phase of a connection. Returns what closes the connection, or `None` if it is to be
    /// closed already.
    pub(super) fn begin(&self, id: &ConnectionId, phase: Phase) -> Option<CancellationToken> {
        let begun = self.change(|table, now| table.begin(id, phase, now));
        if phase == Phase::Idle {
            self.freed.notify_waiters();
        }
        begun
    }

    pub(super) fn receive(&self, id: &ConnectionId, held: usize) {
        self.change(|table, now| table.receive(id, held, now));
    }

    pub(super) fn hold(&self, id: &ConnectionId, held: usize) {
        self.table.lock().hold(id, held);
    }

    /// Waits until so many bytes more fit. Connections are closed to that end, maybe the one that
    /// waits.
    pub(super) async fn room(&self, bytes: usize) {
        self.wait_until(|table, now| table.make_room(bytes, now))
            .await;
    }

    /// Reserves memory; returns whether there was room in time.
    pub(super) async fn reserve(&self, bytes: usize) -> bool {
        let reserved = self.wait_until(|table, now| table.reserve(bytes, now));
        tokio::time::timeout(RESERVE_TIMEOUT, reserved)
            .await
            .is_ok()
    }

    pub(super) fn release(&self, bytes: usize) {
        self.table.lock().release(bytes);
        self.freed.notify_waiters();
    }

    async fn wait_until(&self, attempt: impl Fn(&mut ConnectionTable, Millis) -> bool) {
        loop {
            let freed = self.freed.notified();
            if self.change(&attempt) {
                return;
            }
            freed.await;
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut ConnectionTable, Millis) -> T) -> T {
        let now = Millis::from(self.started.elapsed());
        let mut table = self.table.lock();
        let closed_before = table.closed();
        let result = change(&mut table, now);
        let closed = table.closed();
        let (connections, bytes) = (table.len(), table.used());
        drop(table);
        if closed > closed_before {
            self.log_closed(closed, connections, bytes, now);
        }
        result
    }

    /// Logs that connections were closed, once in a while.
    fn log_closed(&self, closed: u64, connections: usize, bytes: usize, now: Millis) {
        let mut logged = self.logged.lock();
        let (at, before) = *logged;
        if before > 0 && now.since(at) < LOG_INTERVAL {
            return;
        }
        *logged = (now, closed);
        tracing::warn!(
            closed = closed - before,
            connections,
            max_connections = self.limits.connections,
            bytes,
            max_bytes = self.limits.memory,
            "connections of clients closed to keep the limits of this VM"
        );
    }
}

impl Default for Inbound {
    fn default() -> Self {
        Self::new(InboundLimits::default())
    }
}
