//! Faults of a simulated region.

use std::collections::BTreeSet;

use super::RegionSim;
use super::events::Event;
use crate::membership::Input;
use crate::prelude::*;

/// How the store answers.
#[derive(Clone, Debug)]
pub struct StoreAccess {
    down: bool,
    down_for: BTreeSet<usize>,
    delay: Millis,
    lost_answers: u32,
    rate_permille: u64,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            down: false,
            down_for: BTreeSet::new(),
            delay: Millis::ZERO,
            lost_answers: 0,
            rate_permille: 1050,
        }
    }
}

impl StoreAccess {
    pub(super) fn is_down_for(&self, host: usize) -> bool {
        self.down || self.down_for.contains(&host)
    }

    pub(super) fn delay(&self) -> Millis {
        self.delay
    }

    pub(super) fn rate_permille(&self) -> u64 {
        self.rate_permille
    }

    pub(super) fn takes_answer(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        lost
    }
}

impl RegionSim {
    /// Refuses the store calls of all hosts.
    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
    }

    /// Refuses the store calls of one host.
    pub fn set_store_down_for(&mut self, host: usize) {
        self.store.down_for.insert(host);
    }

    /// Delays store calls and their answers.
    pub fn set_store_delay(&mut self, delay: Millis) {
        self.store.delay = delay;
    }

    /// Loses the answers of the next writes after they took effect.
    pub fn lose_store_answers(&mut self, count: u32) {
        self.store.lost_answers = count;
    }

    /// Sets the rate of the store's clock, between those of the slowest and the fastest process.
    pub fn set_store_rate(&mut self, permille: u64) {
        self.store.rate_permille = permille;
    }

    /// Ends the process of a host; its VM stays.
    pub fn kill(&mut self, host: usize) {
        if let Some(at) = self.hosts[host].process.take() {
            self.processes[at].alive = false;
        }
    }

    /// Ends the process of a host, if one runs, and starts a new one at the same address.
    pub fn restart(&mut self, host: usize) {
        if self.hosts[host].address.is_empty() {
            return;
        }
        self.kill(host);
        self.start(host);
    }

    /// Terminates the VM of a host and starts a process on a new one.
    pub fn replace(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].address.clear();
        let next = self.add_host();
        self.cut[next] = self.cut[host];
        self.list_vms(self.now);
        self.start(next);
    }

    /// Starts a process on a new VM; returns its host.
    pub fn grow(&mut self) -> usize {
        let host = self.add_host();
        self.list_vms(self.now);
        self.start(host);
        host
    }

    /// Stops a process for a while; its clock goes on.
    pub fn pause(&mut self, host: usize, span: Millis) {
        let Some(at) = self.hosts[host].process else {
            return;
        };
        if !self.processes[at].paused {
            self.processes[at].paused = true;
            self.schedule(span, Event::Resume(at));
        }
    }

    pub(super) fn resume(&mut self, at: usize) {
        let process = &mut self.processes[at];
        process.paused = false;
        for event in std::mem::take(&mut process.deferred) {
            self.schedule(Millis::ZERO, event);
        }
    }

    /// Lets a process leave gracefully; a new one starts in its place.
    pub fn leave(&mut self, host: usize) {
        let running = self.hosts[host].process;
        if let Some(at) = running.filter(|at| !self.processes[*at].paused) {
            self.processes[at].leaving = true;
            self.give(at, Input::Leave);
        }
    }

    /// Cuts the given hosts off from all others.
    pub fn cut_off(&mut self, hosts: &[usize]) {
        self.cut.iter_mut().for_each(|cut| *cut = false);
        for host in hosts {
            self.cut[*host] = true;
        }
    }

    /// Loses a part of the messages between processes.
    pub fn set_loss(&mut self, permille: u32) {
        self.loss_permille = permille;
    }

    /// Sets how far the VM list lags behind.
    pub fn set_vm_lag(&mut self, lag: Millis) {
        self.vm_lag = lag;
    }

    /// Ends all faults and starts a process on each VM that has none.
    pub fn end_faults(&mut self) {
        self.store = StoreAccess {
            rate_permille: self.store.rate_permille,
            ..StoreAccess::default()
        };
        self.cut_off(&[]);
        self.loss_permille = 0;
        for host in 0..self.hosts.len() {
            match self.hosts[host].process {
                Some(at) if self.processes[at].paused => self.resume(at),
                Some(_) => {}
                None => self.restart(host),
            }
        }
    }

    /// Returns the hosts that a process runs on.
    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].process.is_some())
            .collect()
    }

    /// Returns all VMs that have not been terminated.
    pub fn present(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|host| !self.hosts[*host].address.is_empty())
            .collect()
    }

    /// Tells whether VMs were terminated.
    pub fn has_terminated_vms(&self) -> bool {
        self.vm_history.len() > 1
    }
}
