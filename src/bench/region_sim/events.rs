//! What happens in a simulated region, in order of time.

use std::cmp::Ordering;

use super::RegionSim;
use super::store::StoreOp;
use crate::membership::Input;
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, MemberRecord};

/// Something that happens at one moment.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The timer of a process fires.
    Tick(usize),
    /// A process reads the VM list.
    ReadVms(usize),
    /// A heartbeat arrives at an address.
    Beat {
        from: usize,
        sent: Millis,
        address: String,
        beat: Heartbeat,
    },
    /// A member record arrives at an address.
    View {
        from: usize,
        address: String,
        record: Option<MemberRecord>,
    },
    /// A process gets an input, such as an answer.
    Give(usize, Box<Input>),
    /// A store operation takes effect.
    Store(StoreOp),
    /// A process gives up waiting for a store call.
    StoreTimeout(usize, u64),
    /// A process gets the answer to a step of a store call.
    StoreStep(StoreOp),
    /// A paused process goes on.
    Resume(usize),
}

impl Event {
    /// Returns the process at which the event happens, if it happens at one.
    pub(super) fn process(&self) -> Option<usize> {
        match self {
            Self::Tick(at) | Self::ReadVms(at) | Self::Give(at, _) | Self::StoreTimeout(at, _) => {
                Some(*at)
            }
            Self::StoreStep(op) => Some(op.process),
            Self::Beat { .. } | Self::View { .. } | Self::Store(_) | Self::Resume(_) => None,
        }
    }
}

/// An event with its time; the earliest one is the greatest.
#[derive(Clone, Debug)]
pub(super) struct Scheduled {
    pub at: Millis,
    pub order: u64,
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Calls and messages of a simulated region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads of the store.
    pub store_reads: u64,
    /// Writes to the store, with lease calls.
    pub store_writes: u64,
    /// Heartbeats that were answered.
    pub exchanges: u64,
    /// Bytes of the bodies of heartbeats and their answers.
    pub heartbeat_bytes: u64,
    /// Member records exchanged between processes.
    pub views: u64,
    /// Bytes of the bodies of those records.
    pub view_bytes: u64,
    /// Epochs that were written.
    pub epochs: u64,
}

impl Counters {
    /// Returns what was counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            store_reads: self.store_reads - earlier.store_reads,
            store_writes: self.store_writes - earlier.store_writes,
            exchanges: self.exchanges - earlier.exchanges,
            heartbeat_bytes: self.heartbeat_bytes - earlier.heartbeat_bytes,
            views: self.views - earlier.views,
            view_bytes: self.view_bytes - earlier.view_bytes,
            epochs: self.epochs - earlier.epochs,
        }
    }
}

impl RegionSim {
    pub(super) fn handle(&mut self, event: Event) {
        if let Some(at) = event.process() {
            let process = &mut self.processes[at];
            if !process.alive {
                return;
            }
            if process.paused {
                process.deferred.push(event);
                return;
            }
        }
        match event {
            Event::Tick(at) => self.tick(at),
            Event::ReadVms(at) => self.read_vms(at),
            Event::Beat {
                from,
                sent,
                address,
                beat,
            } => self.deliver_beat(from, sent, address, beat),
            Event::View {
                from,
                address,
                record,
            } => self.deliver_view(from, address, record),
            Event::Give(at, input) => self.give(at, *input),
            Event::Store(op) => self.take_effect(op),
            Event::StoreTimeout(at, call) => self.store_timeout(at, call),
            Event::StoreStep(op) => self.store_step(op),
            Event::Resume(at) => self.resume(at),
        }
    }
}
