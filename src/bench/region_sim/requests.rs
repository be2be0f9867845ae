//! Requests that simulated processes send to endpoints.

use rand::Rng;

use super::{RegionSim, endpoint};
use crate::prelude::*;

/// Shortest request.
const SHORTEST: u64 = 50;

/// A request in progress; it goes on at the endpoint when its process dies.
pub(super) struct Request {
    pub process: usize,
    pub endpoint: VmId,
    pub ends: Millis,
}

impl RegionSim {
    /// Starts requests at one endpoint until its usable slots are taken.
    pub(super) fn start_requests(&mut self, at: usize) {
        let now = self.now;
        self.requests.retain(|request| request.ends > now);
        let idle = !self.config.requests || self.processes[at].leaving;
        if idle || self.config.endpoints == 0 {
            return;
        }
        let vm = endpoint(self.rng.random_range(0..self.config.endpoints));
        let process = &self.processes[at];
        let usable = process.machine.usable_slots(&vm, process.clock(now));
        let used = self.in_use(at).get(&vm).copied().unwrap_or_default();
        for _ in used..usable {
            let longest = self.config.timing.request_deadline.0;
            let span = self.rng.random_range(SHORTEST..=longest);
            self.requests.push(Request {
                process: at,
                endpoint: vm.clone(),
                ends: now + Millis(span),
            });
        }
        self.check_requests(&vm);
    }

    fn check_requests(&mut self, vm: &VmId) {
        let total = self
            .requests
            .iter()
            .filter(|request| request.endpoint == *vm)
            .count();
        if total > crate::membership::SLOTS_PER_ENDPOINT as usize {
            self.violate(format!("{total} requests at {vm}"));
        }
    }
}
