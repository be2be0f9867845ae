//! Decides on every request of this process.

use std::collections::{BTreeMap, HashMap};

use super::{Arrival, EndpointShare, Outcome, PeerLoad, Pick, RequestId, ServiceLoad, Verdict};
use crate::admission::Refusal;
use crate::bundle::BundleInForce;
use crate::prelude::*;
use crate::retry::may_resend;

/// Hint given with a refusal that has no better estimate.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Decides where requests are sent, and which of them wait or are refused.
#[derive(Debug)]
pub struct Dispatcher {
    config: Option<BundleInForce>,
    endpoints: BTreeMap<ServiceId, Vec<EndpointShare>>,
    busy: BTreeMap<VmId, u32>,
    sent: HashMap<RequestId, (Arrival, Vec<VmId>, Millis)>,
}

impl Dispatcher {
    /// Creates a dispatcher without a bundle for a process in `zone`.
    pub fn new(_zone: ZoneId, _seed: u64) -> Self {
        Self {
            config: None,
            endpoints: BTreeMap::new(),
            busy: BTreeMap::new(),
            sent: HashMap::new(),
        }
    }

    /// Applies a bundle at once.
    pub fn configure(&mut self, cfg: &BundleInForce, _now: Millis) {
        self.config = Some(cfg.clone());
    }

    /// Replaces the list of endpoints of a service.
    pub fn set_endpoints(&mut self, service: &ServiceId, list: Vec<EndpointShare>, _now: Millis) {
        self.endpoints.insert(service.clone(), list);
    }

    /// Replaces the list of peers that accept requests of a service.
    pub fn set_peers(&mut self, _service: &ServiceId, _peers: Vec<PeerLoad>, _now: Millis) {}

    /// Decides on a new request.
    pub fn arrive(&mut self, req: Arrival, now: Millis) -> Verdict {
        let Some(config) = &self.config else {
            return refuse(Refusal::NoBundle);
        };
        let Some(spec) = config.bundle.service.get(&req.service) else {
            return refuse(Refusal::UnknownService);
        };
        let span = req.deadline.unwrap_or(spec.default_deadline_ms);
        let deadline = now + span.min(spec.max_deadline_ms);
        match self.take(&req.service, None, deadline) {
            Some(pick) => {
                let vms = vec![pick.vm.clone()];
                self.sent.insert(req.id, (req, vms, deadline));
                Verdict::Send(pick)
            }
            None => refuse(Refusal::QueueFull),
        }
    }

    /// Records the end of a request and frees its slots.
    pub fn finish(
        &mut self,
        id: RequestId,
        _outcome: Outcome,
        _now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        if let Some((_, vms, _)) = self.sent.remove(&id) {
            vms.iter().for_each(|vm| self.release(vm));
        }
        Vec::new()
    }

    /// Records the end of the attempt at `vm` of a hedged request; its other attempt goes on.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        vm: &VmId,
        _outcome: Outcome,
        _now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        if let Some((_, vms, _)) = self.sent.get_mut(&id)
            && let Some(at) = vms.iter().position(|held| held == vm)
        {
            vms.remove(at);
            self.release(vm);
        }
        Vec::new()
    }

    /// Records the end of an attempt and asks for another one of the same request.
    pub fn resend(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        _now: Millis,
    ) -> (Verdict, Vec<(RequestId, Verdict)>) {
        let Some((req, vms, deadline)) = self.sent.remove(&id) else {
            return (Verdict::Unknown, Vec::new());
        };
        vms.iter().for_each(|vm| self.release(vm));
        if !may_resend(outcome, req.idempotent) {
            return (Verdict::Unknown, Vec::new());
        }
        let verdict = match self.take(&req.service, vms.last(), deadline) {
            Some(pick) => {
                self.sent.insert(id, (req, vec![pick.vm.clone()], deadline));
                Verdict::Send(pick)
            }
            None if outcome.is_not_run() => refuse(Refusal::NoEndpoint),
            None => Verdict::Unknown,
        };
        (verdict, Vec::new())
    }

    /// Chooses an endpoint for a second attempt beside the first, if the budget allows it.
    pub fn hedge(&mut self, _id: RequestId, _now: Millis) -> Option<Pick> {
        None
    }

    /// Forgets a request whose caller left.
    pub fn cancel(&mut self, id: RequestId, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.finish(id, Outcome::Abandoned, now)
    }

    /// Decides on everything that is due.
    pub fn tick(&mut self, _now: Millis) -> Vec<(RequestId, Verdict)> {
        Vec::new()
    }

    /// Returns the time at which [`Dispatcher::tick`] is due.
    pub fn next_tick(&self) -> Option<Millis> {
        None
    }

    /// Returns the load of a service.
    pub fn load(&self, service: &ServiceId) -> ServiceLoad {
        let list = self.endpoints.get(service).map_or(&[][..], Vec::as_slice);
        ServiceLoad {
            free_slots: list.iter().map(|share| self.free(share)).sum(),
            ..ServiceLoad::default()
        }
    }

    fn free(&self, share: &EndpointShare) -> u32 {
        if share.leaving {
            return 0;
        }
        share
            .slots
            .saturating_sub(self.busy.get(&share.vm).copied().unwrap_or(0))
    }

    fn take(
        &mut self,
        service: &ServiceId,
        except: Option<&VmId>,
        deadline: Millis,
    ) -> Option<Pick> {
        let share = self
            .endpoints
            .get(service)?
            .iter()
            .find(|share| Some(&share.vm) != except && self.free(share) > 0)?;
        let pick = Pick {
            vm: share.vm.clone(),
            address: share.address,
            deadline,
            version: self.config.as_ref()?.version,
        };
        *self.busy.entry(pick.vm.clone()).or_default() += 1;
        Some(pick)
    }

    fn release(&mut self, vm: &VmId) {
        if let Some(count) = self.busy.get_mut(vm) {
            *count = count.saturating_sub(1);
        }
    }
}

fn refuse(reason: Refusal) -> Verdict {
    Verdict::Refuse {
        reason,
        retry_after: RETRY_AFTER,
    }
}
