//! What must hold in a simulated region.

use super::process::Process;
use super::{RegionSim, endpoint};
use crate::membership::{Domain, SLOTS_PER_ENDPOINT};
use crate::prelude::*;
use crate::schema::peer::MemberRecord;

/// Broken invariants that are kept for the message of a failure.
const MAX_VIOLATIONS: usize = 20;

/// Items whose owner is checked, by domain.
const DOMAINS: [Domain; 2] = [Domain::Rack, Domain::Shard];

impl RegionSim {
    pub(super) fn violate(&mut self, message: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{} ms: {message}", self.now));
        }
    }

    pub(super) fn check(&mut self) {
        if !self.config.checked {
            return;
        }
        for domain in DOMAINS {
            for item in 0..self.config.items {
                let owners = self.owners(domain, item);
                if owners.len() > 1 {
                    self.violate(format!("{domain:?} {item} is owned by {owners:?}"));
                }
            }
        }
        for at in 0..self.config.endpoints {
            let usable = self.usable(&endpoint(at));
            if usable > SLOTS_PER_ENDPOINT {
                self.violate(format!("{usable} slots of endpoint {at} are usable"));
            }
        }
    }

    /// Checks a record when it takes effect: an active member is never removed.
    pub(super) fn check_write(&mut self, record: &MemberRecord) {
        let Some(change) = record.changes.last().filter(|c| c.epoch == record.epoch) else {
            return;
        };
        for removed in change.removed.clone() {
            let process = self.processes.iter().find(|p| *p.id() == removed);
            if process.is_some_and(|process| process.is_active(self.now)) {
                self.violate(format!("active member {removed} is removed"));
            }
        }
    }

    /// Returns the processes that act as owners of an item.
    pub fn owners(&self, domain: Domain, item: usize) -> Vec<MemberId> {
        let name = item.to_string();
        self.alive()
            .filter(|process| process.machine.owns(domain, &name, process.clock(self.now)))
            .map(|process| process.id().clone())
            .collect()
    }

    /// Tells whether every rack and shard has an owner.
    pub fn is_all_owned(&self) -> bool {
        DOMAINS
            .iter()
            .all(|domain| (0..self.config.items).all(|item| !self.owners(*domain, item).is_empty()))
    }

    /// Tells whether all slots of all endpoints are usable.
    pub fn are_all_slots_usable(&self) -> bool {
        (0..self.config.endpoints).all(|at| self.usable(&endpoint(at)) == SLOTS_PER_ENDPOINT)
    }

    /// Returns how many processes are active.
    pub fn active(&self) -> usize {
        self.alive().filter(|p| p.is_active(self.now)).count()
    }

    /// Tells whether the process of a host is active.
    pub fn is_active(&self, host: usize) -> bool {
        self.hosts[host]
            .process
            .is_some_and(|at| self.processes[at].is_active(self.now))
    }

    /// Returns the newest epoch that any process has adopted.
    pub fn epoch(&self) -> Epoch {
        self.alive()
            .map(|process| process.machine.epoch())
            .max()
            .unwrap_or_default()
    }

    /// Describes the processes, for messages about faults.
    pub fn describe(&self) -> String {
        let lines = self.alive().map(|process| {
            let machine = &process.machine;
            let clock = process.clock(self.now);
            format!(
                "{}: epoch {}, drained {}, member {}, active {}, silent {:?}, {:?}",
                process.id(),
                machine.epoch(),
                machine.drained(),
                machine.is_member(),
                machine.is_active(clock),
                machine.silent(clock),
                machine.view().map(|view| view.ids()),
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn usable(&self, vm: &VmId) -> u32 {
        self.alive()
            .map(|process| process.machine.usable_slots(vm, process.clock(self.now)))
            .sum()
    }

    fn alive(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.alive)
    }
}
