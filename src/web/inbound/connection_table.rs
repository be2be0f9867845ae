//! Open connections of clients, and which of them are closed when a limit is reached.

use std::collections::HashMap;

use super::connection::{Connection, ConnectionId, Phase};
use super::limits::{CONNECTION_BYTES, InboundLimits};
use crate::prelude::*;

/// By how much connections that are still to be closed may exceed the limit. Beyond it new ones are
/// refused until the others have ended.
const CLOSING_FACTOR: usize = 2;

/// Open connections and the memory that they take.
///
/// A connection that is to be closed counts until its task has ended, so that what takes its place
/// has to wait for the memory.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    limits: InboundLimits,
    connections: HashMap<ConnectionId, Connection>,
    /// Memory that all connections and reservations take.
    used: usize,
    /// Connections that are to be closed, and the part of `used` that they take.
    closing: usize,
    closing_bytes: usize,
    /// Connections so far.
    opened: u64,
    /// Connections that were closed or refused to keep the limits.
    closed: u64,
}

impl ConnectionTable {
    pub fn new(limits: InboundLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            used: 0,
            closing: 0,
            closing_bytes: 0,
            opened: 0,
            closed: 0,
        }
    }

    /// Adds a connection. Returns its number, or `None` if there is no room for it.
    pub fn open(&mut self, id: ConnectionId, close: CancellationToken, now: Millis) -> Option<u64> {
        self.take(&id);
        if self.connections.len() >= self.limits.connections * CLOSING_FACTOR {
            self.closed += 1;
            return None;
        }
        while self.connections.len() - self.closing >= self.limits.connections {
            if !self.close_one(now) {
                self.closed += 1;
                return None;
            }
        }
        self.make_room(CONNECTION_BYTES, now);
        self.opened += 1;
        let connection = Connection {
            number: self.opened,
            phase: Phase::Idle,
            since: now,
            held: 0,
            close,
        };
        self.used += connection.size();
        self.connections.insert(id, connection);
        Some(self.opened)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: &ConnectionId, number: u64) {
        let found = self.connections.get(id);
        if found.is_some_and(|connection| connection.number == number) {
            self.take(id);
        }
    }

    fn take(&mut self, id: &ConnectionId) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.used -= connection.size();
        if connection.is_closing() {
            self.closing -= 1;
            self.closing_bytes -= connection.size();
        }
    }

    /// Begins a phase of a connection. Returns what closes the connection, or `None` if it is to be
    /// closed already.
    pub fn begin(
        &mut self,
        id: &ConnectionId,
        phase: Phase,
        now: Millis,
    ) -> Option<CancellationToken> {
        let connection = self.connections.get_mut(id)?;
        if connection.is_closing() {
            return None;
        }
        connection.phase = phase;
        connection.since = now;
        if phase == Phase::Idle {
            self.used -= connection.held;
            connection.held = 0;
        }
        Some(connection.close.clone())
    }

    /// Records that the first or further bytes of a head have arrived, and how much more is held for
    /// them. The handler accounts for a body.
    pub fn receive(&mut self, id: &ConnectionId, held: usize, now: Millis) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.phase == Phase::Idle {
            connection.phase = Phase::Head;
            connection.since = now;
        }
        if connection.phase == Phase::Head {
            let held = connection.held + held;
            self.hold(id, held);
        }
    }

    /// Sets the bytes that are held of the request on a connection.
    pub fn hold(&mut self, id: &ConnectionId, held: usize) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        self.used = self.used + held - connection.held;
        if connection.is_closing() {
            self.closing_bytes = self.closing_bytes + held - connection.held;
        }
        connection.held = held;
    }

    /// Returns whether so many bytes more fit. If not, connections are closed to that end.
    pub fn make_room(&mut self, bytes: usize, now: Millis) -> bool {
        while self.used - self.closing_bytes + bytes > self.limits.memory {
            if !self.close_one(now) {
                return false;
            }
        }
        self.used + bytes <= self.limits.memory
    }

    /// Reserves memory for what a complete request grows to. Returns whether there is room.
    pub fn reserve(&mut self, bytes: usize, now: Millis) -> bool {
        let has_room = self.make_room(bytes, now);
        if has_room {
            self.used += bytes;
        }
        has_room
    }

    /// Returns memory that was reserved.
    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    /// Closes the connection that is first in the order of closing; returns whether there was one.
    fn close_one(&mut self, now: Millis) -> bool {
        let first = self
            .connections
            .values_mut()
            .filter_map(|connection| Some((connection.closing_order(now)?, connection)))
            .max_by_key(|(order, _)| *order);
        let Some((_, connection)) = first else {
            return false;
        };
        connection.close.cancel();
        self.closing += 1;
        self.closing_bytes += connection.size();
        self.closed += 1;
        true
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory that all connections and reservations take.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns how many connections were closed or refused to keep the limits.
    pub fn closed(&self) -> u64 {
        self.closed
    }
}
