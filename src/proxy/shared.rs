//! What all requests of a proxy share.

use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use super::board::Board;
use super::call::Call;
use super::gauge::Gauge;
use super::keys::Keys;
use super::pools::Pools;
use super::{Clock, ProxyMetrics};
use crate::bundle::ActiveBundle;
use crate::membership::Ownership;
use crate::prelude::*;
use crate::web::Caller;

/// Longest deadline; it stays well below the retention of idempotency keys.
const MAX_DEADLINE: Millis = Millis::from_secs(300);

/// Deadline of requests to services that the bundle does not have; they are refused.
const FALLBACK_DEADLINE: Millis = Millis::from_secs(1);

/// State of a proxy.
pub(super) struct Shared {
    pub(super) member: MemberId,
    pub(super) clock: Clock,
    pub(super) bundle: Arc<ActiveBundle>,
    pub(super) board: Arc<Board>,
    pub(super) pools: Pools,
    pub(super) keys: Keys,
    pub(super) caller: Caller,
    pub(super) ownership: Arc<dyn Ownership>,
    pub(super) metrics: ProxyMetrics,
    pub(super) gauge: Arc<Gauge>,
    /// Bytes of request bodies that may be held for sending again.
    pub(super) body_bytes: Arc<Semaphore>,
    pub(super) cancel: CancellationToken,
    pub(super) runtime: Handle,
}

impl Shared {
    /// Returns the time that a request has, from its own wish and the bundle's limits.
    pub(super) fn time_for(&self, service: &ServiceId, wish: Option<Millis>) -> Millis {
        let span = self.bundle.current().and_then(|held| {
            let spec = held.bundle.service.get(service)?;
            let span = wish.unwrap_or(spec.default_deadline_ms);
            Some(span.min(spec.max_deadline_ms))
        });
        span.unwrap_or(FALLBACK_DEADLINE).min(MAX_DEADLINE)
    }

    /// Returns the connections that one slot of a service permits.
    pub(super) fn one_slot(&self, service: &ServiceId) -> u32 {
        let held = self.bundle.current();
        let spec = held
            .as_ref()
            .and_then(|held| held.bundle.service.get(service));
        spec.map_or(0, |spec| {
            spec.connections_per_endpoint / spec.slots_per_endpoint.max(1)
        })
    }

    /// Returns the metric label of a request's class; unknown classes share one label.
    pub(super) fn class_label(&self, call: &Call) -> String {
        let Some(held) = self.bundle.current() else {
            return "other".to_string();
        };
        let default = held
            .bundle
            .service
            .get(&call.head.service)
            .map(|spec| spec.default_class.clone());
        let class = call.head.class.clone().or(default);
        class
            .filter(|class| held.bundle.class.contains_key(class))
            .map_or_else(|| "other".to_string(), |class| class.to_string())
    }

    /// Returns the metric label of a request's service; unknown services share one label.
    pub(super) fn service_label(&self, call: &Call) -> String {
        let held = self.bundle.current();
        let known = held.is_some_and(|held| held.bundle.service.contains_key(&call.head.service));
        if known {
            call.head.service.to_string()
        } else {
            "other".to_string()
        }
    }
}
