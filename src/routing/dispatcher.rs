//! Decides how each request of this process is handled.

use std::collections::{BTreeMap, HashMap};

use super::service::Service;
use super::{
    EndpointShare, IncomingRequest, Outcome, PeerLoad, Pick, RequestId, ServiceLoad, Verdict,
};
use crate::admission::Refusal;
use crate::bundle::BundleInForce;
use crate::prelude::*;

/// Retry hint of refusals before the first bundle has arrived.
const NO_BUNDLE_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Time within which a bundle change is in effect everywhere.
const BUNDLE_PROPAGATION: Millis = Millis::from_secs(8);

/// Decides where requests are sent, and which requests wait or are refused.
///
/// A request with the verdict [`Verdict::Send`] or [`Verdict::Wait`] is tracked until
/// [`finish`](Self::finish), [`cancel`](Self::cancel) or another verdict ends it.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    seed: u64,
    config: Option<BundleInForce>,
    services: BTreeMap<ServiceId, Service>,
    service_by_request: HashMap<RequestId, ServiceId>,
}

impl Dispatcher {
    /// Creates a dispatcher for a process in `zone`. It refuses all requests until
    /// [`configure`](Self::configure) provides a bundle.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            seed,
            config: None,
            services: BTreeMap::new(),
            service_by_request: HashMap::new(),
        }
    }

    /// Applies a bundle.
    ///
    /// Queued requests that the bundle no longer allows are refused at the next tick.
    pub fn configure(&mut self, cfg: &BundleInForce, now: Millis) {
        self.config = Some(cfg.clone());
        for id in cfg.bundle.service.keys() {
            self.get_or_create(id);
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
        self.get_or_create(service).set_endpoints(endpoints, now);
    }

    /// Replaces the list of peers that accept requests of a service.
    pub fn set_peers(&mut self, service: &ServiceId, peers: Vec<PeerLoad>, now: Millis) {
        self.get_or_create(service).set_peers(peers, now);
    }

    /// Replaces the load report of a listed peer if the new report is newer.
    ///
    /// Responses to forwarded requests can carry the peer's [`load`](Self::load). This keeps the
    /// reports of busy peers recent without further messages.
    pub fn update_peer(&mut self, service: &ServiceId, peer: PeerLoad, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.update_peer(peer, now);
        }
    }

    /// Records the load that a listed peer reported in its response to a forwarded request.
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
            return refuse(Refusal::NoBundle, NO_BUNDLE_RETRY_AFTER);
        }
        if self.service_by_request.contains_key(&req.id) {
            return Verdict::Unknown;
        }
        let Some(service) = self.services.get_mut(&req.service) else {
            return refuse(Refusal::UnknownService, BUNDLE_PROPAGATION);
        };
        let (id, name) = (req.id, req.service.clone());
        let verdict = service.dispatch(req, now);
        if !is_final(&verdict) {
            self.service_by_request.insert(id, name);
        }
        verdict
    }

    /// Ends a request and frees its slots. Returns verdicts on queued requests.
    ///
    /// `outcome` applies to the oldest attempt. Another attempt of a hedged request counts as
    /// abandoned, so report the losing attempt with [`end_attempt`](Self::end_attempt) first.
    pub fn finish(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        let service = self.service_by_request.remove(&id);
        let Some(service) = service.and_then(|name| self.services.get_mut(&name)) else {
            return Vec::new();
        };
        let out = service.finish(id, outcome, now);
        self.forget_ended(out)
    }

    /// Ends the attempt at `vm` of a hedged request. Its other attempt continues.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        vm: &VmId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<(RequestId, Verdict)> {
        let out = self
            .service_of(id)
            .map(|service| service.end_attempt(id, vm, outcome, now));
        self.forget_ended(out.unwrap_or_default())
    }

    /// Ends the attempts of a request and decides on a retry.
    ///
    /// Returns the verdict on this request, and verdicts on queued requests.
    pub fn retry(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        now: Millis,
    ) -> (Verdict, Vec<(RequestId, Verdict)>) {
        let Some((verdict, out)) = self
            .service_of(id)
            .map(|service| service.retry(id, outcome, now))
        else {
            return (Verdict::Unknown, Vec::new());
        };
        if is_final(&verdict) {
            self.service_by_request.remove(&id);
        }
        (verdict, self.forget_ended(out))
    }

    /// Starts a hedged attempt at another endpoint if the retry budget allows it.
    pub fn hedge(&mut self, id: RequestId, now: Millis) -> Option<Pick> {
        self.service_of(id)?.hedge(id, now)
    }

    /// Ends a request whose caller has disconnected.
    pub fn cancel(&mut self, id: RequestId, now: Millis) -> Vec<(RequestId, Verdict)> {
        self.finish(id, Outcome::Abandoned, now)
    }

    /// Decides on queued requests that can be sent or whose wait has expired.
    pub fn tick(&mut self, now: Millis) -> Vec<(RequestId, Verdict)> {
        let out = self
            .services
            .values_mut()
            .flat_map(|service| service.tick(now))
            .collect();
        self.forget_ended(out)
    }

    /// Returns the time at which [`Dispatcher::tick`] is due next.
    pub fn next_tick(&self) -> Option<Millis> {
        self.services.values().filter_map(Service::next_tick).min()
    }

    /// Returns the number of requests in flight at each endpoint that has any.
    pub fn in_flight_by_endpoint(&self) -> BTreeMap<VmId, u32> {
        self.services
            .values()
            .flat_map(Service::in_flight_by_endpoint)
            .collect()
    }

    /// Returns the slowdown of each endpoint with the age of the measurement.
    ///
    /// A slowdown of 1000 is the typical latency of the service's endpoints.
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

    fn get_or_create(&mut self, id: &ServiceId) -> &mut Service {
        let seed = self.seed.wrapping_add(self.services.len() as u64);
        self.services
            .entry(id.clone())
            .or_insert_with(|| Service::new(self.zone.clone(), seed))
    }

    fn service_of(&mut self, id: RequestId) -> Option<&mut Service> {
        self.services.get_mut(self.service_by_request.get(&id)?)
    }

    /// Stops tracking the requests that the verdicts end.
    fn forget_ended(&mut self, out: Vec<(RequestId, Verdict)>) -> Vec<(RequestId, Verdict)> {
        for (id, verdict) in &out {
            if is_final(verdict) {
                self.service_by_request.remove(id);
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
