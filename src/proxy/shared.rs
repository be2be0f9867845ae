//! State that all requests of a proxy share.

use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use super::call::Call;
use super::in_flight::InFlightCounter;
use super::key_store::KeyStore;
use super::pools::Pools;
use super::request_router::RequestRouter;
use super::{Clock, ProxyMetrics};
use crate::bundle::ActiveBundle;
use crate::membership::Ownership;
use crate::prelude::*;
use crate::web::Caller;

/// Maximum time limit of a request. It is well below the retention of idempotency keys.
const MAX_DEADLINE: Millis = Millis::from_secs(300);

/// Time limit of requests to services that the bundle does not have, which are refused.
const FALLBACK_DEADLINE: Millis = Millis::from_secs(1);

/// Shared state of a proxy.
pub(super) struct Shared {
    pub(super) member: MemberId,
    pub(super) clock: Clock,
    pub(super) bundle: Arc<ActiveBundle>,
    pub(super) router: Arc<RequestRouter>,
    pub(super) pools: Pools,
    pub(super) keys: KeyStore,
    pub(super) caller: Caller,
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) metrics: ProxyMetrics,
    pub(super) in_flight_counter: Arc<InFlightCounter>,
    /// Permits for the bytes of buffered request bodies.
    pub(super) body_bytes: Arc<Semaphore>,
    pub(super) cancel: CancellationToken,
    pub(super) runtime: Handle,
}

impl Shared {
    /// Returns the time limit of a request, from the one it asks for and those in the bundle.
    pub(super) fn time_limit(&self, service: &ServiceId, requested: Option<Millis>) -> Millis {
        let limit = self.bundle.current().and_then(|active| {
            let spec = active.bundle.service.get(service)?;
            let limit = requested.unwrap_or(spec.default_deadline_ms);
            Some(limit.min(spec.max_deadline_ms))
        });
        limit.unwrap_or(FALLBACK_DEADLINE).min(MAX_DEADLINE)
    }

    /// Returns the number of connections that each slot of a service permits.
    pub(super) fn connections_per_slot(&self, service: &ServiceId) -> u32 {
        let active = self.bundle.current();
        let spec = active
            .as_ref()
            .and_then(|active| active.bundle.service.get(service));
        spec.map_or(0, |spec| {
            spec.connections_per_endpoint / spec.slots_per_endpoint.max(1)
        })
    }

    /// Returns the metric label of a request's class; unknown classes share one label.
    pub(super) fn class_label(&self, call: &Call) -> String {
        let Some(active) = self.bundle.current() else {
            return "other".to_string();
        };
        let default = active
            .bundle
            .service
            .get(&call.head.service)
            .map(|spec| spec.default_class.clone());
        let class = call.head.class.clone().or(default);
        class
            .filter(|class| active.bundle.class.contains_key(class))
            .map_or_else(|| "other".to_string(), |class| class.to_string())
    }

    /// Returns the metric label of a request's service; unknown services share one label.
    pub(super) fn service_label(&self, call: &Call) -> String {
        let active = self.bundle.current();
        let known =
            active.is_some_and(|active| active.bundle.service.contains_key(&call.head.service));
        if known {
            call.head.service.to_string()
        } else {
            "other".to_string()
        }
    }
}
