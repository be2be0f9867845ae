//! Messages between simulated processes.

use rand::Rng;

use super::events::Event;
use super::{RegionSim, name};
use crate::membership::Input;
use crate::peer::pack;
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, MemberRecord, ServiceLoad};

/// Shortest and longest one-way delay between processes.
const DELAY: std::ops::RangeInclusive<u64> = 1..=15;

impl RegionSim {
    /// Adds what other modules put into a heartbeat.
    fn fill(&self, beat: &mut Heartbeat) {
        if self.config.loads {
            beat.bundle = Version(4000);
            beat.loads = vec![ServiceLoad {
                service: name("ballast-booking"),
                free: 120,
                delay: Millis(14),
            }];
        }
    }

    pub(super) fn send_beat(&mut self, from: usize, address: String, mut beat: Heartbeat) {
        self.fill(&mut beat);
        let sent = self.processes[from].clock(self.now);
        let event = Event::Beat {
            from,
            sent,
            address,
            beat,
        };
        self.send(event);
    }

    pub(super) fn send_view(&mut self, from: usize, address: String) {
        let table = self.processes[from].machine.table();
        let record = table.map(|table| table.record().clone());
        self.send(Event::View {
            from,
            address,
            record,
        });
    }

    fn send(&mut self, event: Event) {
        let delay = Millis(self.rng.random_range(DELAY));
        if self.rng.random_range(0..1000) >= self.loss_permille {
            self.schedule(delay, event);
        }
    }

    /// Returns the running process at an address, unless it is cut off from another one.
    fn reach(&self, from: usize, address: &str) -> Option<usize> {
        let host = self.hosts.iter().position(|host| host.address == address)?;
        let cut = self.cut[host] != self.cut[self.processes[from].host];
        let to = self.hosts[host].process?;
        (!cut && self.processes[to].alive).then_some(to)
    }

    pub(super) fn deliver_beat(
        &mut self,
        from: usize,
        sent: Millis,
        address: String,
        beat: Heartbeat,
    ) {
        let Some(to) = self.reach(from, &address) else {
            return;
        };
        if self.processes[to].paused {
            let event = Event::Beat {
                from,
                sent,
                address,
                beat,
            };
            self.processes[to].deferred.push(event);
            return;
        }
        let process = &mut self.processes[to];
        let clock = process.clock(self.now);
        let mut answer = process.machine.receive(&beat, clock);
        self.fill(&mut answer);
        self.counters.exchanges += 1;
        self.counters.heartbeat_bytes += size(&beat) + size(&answer);
        self.send(Event::Give(
            from,
            Box::new(Input::HeartbeatResponse(sent, answer)),
        ));
    }

    pub(super) fn deliver_view(
        &mut self,
        from: usize,
        address: String,
        record: Option<MemberRecord>,
    ) {
        let Some(to) = self.reach(from, &address) else {
            return;
        };
        if self.processes[to].paused {
            return;
        }
        self.counters.views += 1;
        self.counters.view_bytes += size(&record);
        let theirs = record.as_ref().map_or(Epoch(0), |record| record.epoch);
        if let Some(record) = record {
            self.give(to, Input::ViewReceived(record));
        }
        let table = self.processes[to].machine.table();
        let newer = table.filter(|table| table.epoch() > theirs);
        if let Some(own) = newer.map(|table| table.record().clone()) {
            self.counters.view_bytes += size(&own);
            self.send(Event::Give(from, Box::new(Input::ViewReceived(own))));
        }
    }
}

fn size<T: serde::Serialize>(message: &T) -> u64 {
    pack(message).map_or(0, |buf| buf.len() as u64)
}
