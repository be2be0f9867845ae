//! Decides on every request of this process.

use std::collections::{BTreeMap, HashMap};

use super::service::Service;
use super::{
    EndpointShare, IncomingRequest, Outcome, PeerLoad, Pick, RequestId, ServiceLoad, Verdict,
};
use crate::admission::Refusal;
use crate::bundle::BundleInForce;
use crate::prelude::*;

/// Hint given before the first bundle has arrived.
const BUNDLE_WAIT: Millis = Millis::from_secs(1);

/// Time within which a bundle change is in effect everywhere.
const BUNDLE_DELAY: Millis = Millis::from_secs(8);

/// Decides where requests are sent, and which of them wait or are refused.
///
/// Every request that got [`Verdict::Send`] or [`Verdict::Wait`] is held until
/// [`finish`](Self::finish), [`cancel`](Self::cancel) or another verdict ends it.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    seed: u64,
    config: Option<BundleInForce>,
    services: BTreeMap<ServiceId, Service>,
    owners: HashMap<RequestId, ServiceId>,
}

impl Dispatcher {
    /// Creates a dispatcher without a bundle for a process in `zone`.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            seed,
            config: None,
            services: BTreeMap::new(),
            owners: HashMap::new(),
        }
    }

    /// Applies a bundle at once.
    ///
    /// Waiting requests that it no longer allows are refused at the next tick.
    pub fn configure(&mut self, cfg: &BundleInForce, now: Millis) {
        self.config = Some(cfg.clone());
        for id in cfg.bundle.service.keys() {
            self.open(id);
        }
        for (id, service) in &mut self.services {
            service.configure(cfg, cfg.bundle.service.get(id), now);
        }
    }

    /// Replaces the list of endpoints of a service.
    pub fn set_endpoints(
        &mut self,
        service: &ServiceId,
        endpoints: Vec<EndpointShare>,
        now: Millis,
    ) {
        self.open(service).set_endpoints(endpoints, now);
    }

    /// Replaces the list of peers that accept requests of a service.
    pub fn set_peers(&mut self, service: &ServiceId, peers: Vec<PeerLoad>, now: Millis) {
        self.open(service).set_peers(peers, now);
    }

    /// Replaces the report of a peer that is in the list, if the new one is newer.
    ///
    /// Answers to forwarded requests can carry the peer's [`load`](Self::load), which keeps the
    /// reports of busy peers fresh without further messages.
    pub fn update_peer(&mut self, service: &ServiceId, peer: PeerLoad, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.update_peer(peer, now);
        }
    }

    /// Takes in the load that a listed peer reported with an answer to a forwarded request.
    pub fn record_peer_load(
        &mut self,
        service: &ServiceId,
        member: &MemberId,
        free_slots: u32,
        queue_delay: Millis,
        now: Millis,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_peer_load(member, free_slots, queue_delay, now);
        }
    }

    /// Decides on a new request.
    pub fn dispatch(&mut self, req: IncomingRequest, now: Millis) -> Verdict {
        if self.config.is_none() {
            return refuse(Refusal::NoBundle, BUNDLE_WAIT);
        }
        if self.owners.contains_key(&req.id) {
            return Verdict::Unknown;
        }
        let Some(service) = self.services.get_mut(&req.service) else {
            return refuse(Refusal::UnknownService, BUNDLE_DELAY);
        };
        let (id, name) = (req.id, req.service.clone());
        let verdict = service.dispatch(req, now);
        if !is_final(&verdict) {
            self.owners.insert(id, name);
        }
        verdict
    }

    /// Ends a request and frees its slots; returns verdicts on waiting requests.
    ///
    /// If the request was hedged, `outcome` is that of its oldest attempt and the other one is
    /// counted as abandoned; report the loser by [`end_attempt`](Self::end_attempt) first.
    pub fn finish(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        let service = self.owners.remove(&id);
        let Some(service) = service.and_then(|name| self.services.get_mut(&name)) else {
            return Vec::new();
        };
        let out = service.finish(id, outcome, now);
        self.settle(out)
    }

    /// Ends the attempt at `vm` of a hedged request; its other attempt goes on.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        vm: &VmId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        let out = self
            .owner(id)
            .map(|service| service.end_attempt(id, vm, outcome, now));
        self.settle(out.unwrap_or_default())
    }

    /// Ends the attempts of a request and asks for another one.
    pub fn retry(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> (Verdict, Vec<(RequestId, Verdict)>) {
        let Some((verdict, out)) = self
            .owner(id)
            .map(|service| service.retry(id, outcome, now))
        else {
            return (Verdict::Unknown, Vec::new());
        };
        if is_final(&verdict) {
            self.owners.remove(&id);
        }
        (verdict, self.settle(out))
    }

    /// Chooses an endpoint for a second attempt beside the first, if the budget allows it.
    pub fn hedge(&mut self, id: RequestId, now: Millis) -> Option<Pick> {
        self.owner(id)?.hedge(id, now)
    }

    /// Forgets a request whose caller left.
    pub fn cancel(&mut self, id: RequestId, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.finish(id, Outcome::Abandoned, now)
    }

    /// Decides on everything that is due.
    pub fn tick(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        let out = self
            .services
            .values_mut()
            .flat_map(|service| service.tick(now))
            .collect();
        self.settle(out)
    }

    /// Returns the time at which [`Dispatcher::tick`] is due.
    pub fn next_tick(&self) -> Option<Millis> {
        self.services.values().filter_map(Service::next_tick).min()
    }

    /// Returns the requests in progress at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> BTreeMap<VmId, u32> {
        self.services
            .values()
            .flat_map(Service::in_flight_by_endpoint)
            .collect()
    }

    /// Returns how much slower than usual each endpoint answers, with the age of the measurement.
    ///
    /// 1000 is the usual speed of the service's endpoints.
    pub fn slowdowns(&self, now: Millis) -> Vec<(VmId, Permille, Millis)> {
        let services = self.services.values();
        services
            .flat_map(|service| service.slowdowns(now))
            .collect()
    }

    /// Returns the load of a service.
    pub fn load(&self, service: &ServiceId) -> ServiceLoad {
        self.services
            .get(service)
            .map_or_else(ServiceLoad::default, Service::load)
    }

    fn open(&mut self, id: &ServiceId) -> &mut Service {
        let seed = self.seed.wrapping_add(self.services.len() as u64);
        self.services
            .entry(id.clone())
            .or_insert_with(|| Service::new(self.zone.clone(), seed))
    }

    fn owner(&mut self, id: RequestId) -> Option<&mut Service> {
        self.services.get_mut(self.owners.get(&id)?)
    }

    /// Drops the requests that the verdicts end.
    fn settle(&mut self, out: Vec<(RequestId, Verdict)>) -> Vec<(RequestId, Verdict)> {
        for (id, verdict) in &out {
            if is_final(verdict) {
                self.owners.remove(id);
            }
        }
        out
    }
}

fn is_final(verdict: &Verdict) -> bool {
    !matches!(verdict, Verdict::Send(_) | Verdict::Wait)
}

fn refuse(reason: Refusal, retry_after: Millis) -> Verdict {
    Verdict::Refuse {
        reason,
        retry_after,
    }
}
