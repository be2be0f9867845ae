//! One simulated entry process.

use std::collections::BTreeMap;

use super::events::Event;
use super::{Host, RegionSim, SimConfig, TICK, name, region};
use crate::membership::{Input, Membership, Output};
use crate::prelude::*;
use crate::schema::peer::Member;

/// A process with its own clock.
pub(super) struct Process {
    pub host: usize,
    pub machine: Membership,
    pub alive: bool,
    pub paused: bool,
    /// Whether the process shuts down and starts no more requests.
    pub leaving: bool,
    /// Events that arrived during a pause.
    pub deferred: Vec<Event>,
    /// Store calls that wait for an answer, and what the process concludes without one.
    pub calls: Vec<(u64, Input)>,
    pub next_call: u64,
    rate_permille: u64,
    offset: Millis,
}

impl Process {
    pub fn new(at: usize, host: usize, place: &Host, rate: u64, config: &SimConfig) -> Self {
        let me = Member {
            id: name(&format!("{}-run-{at}", place.vm)),
            vm: place.vm.clone(),
            zone: place.zone.clone(),
            address: place.address.clone(),
            listed: false,
        };
        Self {
            host,
            machine: Membership::new(me, region(), config.timing),
            alive: true,
            paused: false,
            leaving: false,
            deferred: Vec::new(),
            calls: Vec::new(),
            next_call: 0,
            rate_permille: rate,
            offset: Millis(at as u64 * 777),
        }
    }

    pub fn id(&self) -> &MemberId {
        &self.machine.me().id
    }

    /// Returns the time of this process's clock.
    pub fn clock(&self, now: Millis) -> Millis {
        self.offset + Millis(now.0 * self.rate_permille / 1000)
    }

    /// Tells whether the process may act as an owner, paused or not.
    pub fn is_active(&self, now: Millis) -> bool {
        self.alive && self.machine.is_active(self.clock(now))
    }
}

impl RegionSim {
    pub(super) fn tick(&mut self, at: usize) {
        self.schedule(TICK, Event::Tick(at));
        self.give(at, Input::Tick);
        let epoch = self.processes[at].machine.epoch();
        let in_use = self.in_use(at);
        self.give(at, Input::InFlight(epoch, in_use));
        self.start_requests(at);
    }

    pub(super) fn read_vms(&mut self, at: usize) {
        self.schedule(self.config.vms_poll, Event::ReadVms(at));
        let vms = self.visible_vms();
        self.give(at, Input::VmListRead(vms));
    }

    /// Feeds a process and carries out what it asks for.
    pub(super) fn give(&mut self, at: usize, input: Input) {
        let clock = self.processes[at].clock(self.now);
        let outputs = self.processes[at].machine.step(input, clock);
        for output in outputs {
            self.carry_out(at, output);
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::SendHeartbeat(address, beat) => self.send_beat(at, address, beat),
            Output::ExchangeView(address) => self.send_view(at, address),
            Output::Adopted(_) | Output::Removed(_) => {}
            Output::Left => {
                self.processes[at].alive = false;
                let host = self.processes[at].host;
                self.restart(host);
            }
            call => self.call_store(at, call),
        }
    }

    /// Counts the requests in progress of a process by endpoint.
    pub(super) fn in_use(&self, at: usize) -> BTreeMap<VmId, u32> {
        let mut in_use = BTreeMap::new();
        for request in self.requests.iter().filter(|request| request.process == at) {
            *in_use.entry(request.endpoint.clone()).or_insert(0) += 1;
        }
        in_use
    }
}
