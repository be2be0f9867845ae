//! Routes of the administration listener and the peer listener.

use parking_lot::Mutex;
use prometheus::Registry;

use super::daemon_metrics::DaemonMetrics;
use super::drain_calls::DrainCalls;
use super::health::Health;
use super::job_calls::JobCalls;
use super::status_calls::StatusCalls;
use crate::admin::{ADMIN_PREFIX, AdminService};
use crate::audit::AuditTrail;
use crate::batch::{BatchNode, BatchService, PEER_PATH};
use crate::bundle::{BundleKeeper, BundleManager, Trust};
use crate::drain::DrainManager;
use crate::peer::{MemberNode, PeerService};
use crate::prelude::*;
use crate::provider::wall_clock;
use crate::proxy::Proxy;
use crate::records::Records;
use crate::routing::Dispatcher;
use crate::web::Routes;

/// Modules that serve operators and peers, from which the routes are built.
pub(super) struct RouteBuilder {
    pub(super) node: Arc<MemberNode>,
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) proxy: Proxy,
    pub(super) dispatcher: Arc<Mutex<Dispatcher>>,
    pub(super) batch: Arc<BatchNode>,
    pub(super) drains: Arc<DrainManager>,
    pub(super) records: Arc<Records>,
    pub(super) trust: Trust,
}

impl RouteBuilder {
    /// Builds the routes of the administration listener: its API, health, readiness and metrics.
    pub(super) fn admin(
        &self,
        registry: Registry,
        stopping: CancellationToken,
    ) -> Result<Routes, DaemonError> {
        let health = Health {
            node: self.node.clone(),
            keeper: self.keeper.clone(),
            metrics: DaemonMetrics::register(&registry)?,
            registry,
            stopping,
        };
        Ok(Routes::new()
            .at("/", Arc::new(health))
            .at(ADMIN_PREFIX, Arc::new(self.admin_service())))
    }

    /// Builds the routes of the listener for other entry processes.
    pub(super) fn peers(&self) -> Routes {
        Routes::new()
            .at("/peer/", Arc::new(PeerService::new(self.node.clone())))
            .at("/peer/forward/", self.proxy.peer_request_handler())
            .at("/peer/keys/", self.proxy.peer_request_handler())
            .at(PEER_PATH, BatchService::new(self.batch.clone()))
    }

    fn admin_service(&self) -> AdminService {
        let audit = Arc::new(AuditTrail::new(self.records.clone(), wall_clock()));
        let manager = BundleManager::new(
            self.records.clone(),
            self.trust.clone(),
            audit.clone(),
            self.keeper.clone(),
            wall_clock(),
        );
        AdminService::new(Arc::new(manager), self.keeper.clone())
            .extend(Arc::new(JobCalls {
                batch: self.batch.clone(),
                audit: audit.clone(),
            }))
            .extend(Arc::new(DrainCalls {
                manager: self.drains.clone(),
                audit,
            }))
            .extend(Arc::new(StatusCalls {
                node: self.node.clone(),
                keeper: self.keeper.clone(),
                dispatcher: self.dispatcher.clone(),
                proxy: self.proxy.clone(),
                batch: self.batch.clone(),
            }))
    }
}
