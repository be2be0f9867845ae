//! Starts the parts of the daemon and ends them in order.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::config_watch::watch_config;
use super::election::run_elections;
use super::frontend::{FrontendHandler, MetricsHandler, ReadinessHandler};
use super::metrics::EntryMetrics;
use super::peers::PeerHandler;
use super::ports::{PlatformFormat, StateStore, WorkerCalls};
use super::shared::Shared;
use super::{Clock, EntrySettings};
use crate::prelude::*;
use crate::web::{Server, WebService};

/// Time for which callers are served after readiness is withdrawn: the balancer notices after
/// two checks, one a second.
const LEAVE_AFTER: Duration = Duration::from_millis(3500);

/// A running daemon.
pub struct EntryDaemon {
    shared: Arc<Shared>,
    servers: Vec<Server>,
    serving: CancellationToken,
    leading: CancellationToken,
    election: tokio::task::JoinHandle<()>,
}

impl EntryDaemon {
    /// Starts all parts; they use the current runtime.
    pub fn start(
        cfg: EntrySettings,
        store: Arc<dyn StateStore>,
        workers: Arc<dyn WorkerCalls>,
        format: Arc<dyn PlatformFormat>,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let metrics = EntryMetrics::new().map_err(std::io::Error::other)?;
        let shared = Arc::new(Shared::new(cfg, store, workers, format, clock, metrics));
        let runtime = tokio::runtime::Handle::current();
        let serving = CancellationToken::new();
        let leading = CancellationToken::new();
        let cfg = &shared.cfg;
        let front = Arc::new(FrontendHandler {
            shared: shared.clone(),
            runtime: runtime.clone(),
        });
        let peer = Arc::new(PeerHandler {
            shared: shared.clone(),
            runtime,
        });
        let faces: [(Option<&String>, Arc<dyn WebService>); 4] = [
            (cfg.frontend.as_ref(), front),
            (
                cfg.readiness.as_ref(),
                Arc::new(ReadinessHandler(shared.clone())),
            ),
            (Some(&cfg.peer), peer),
            (Some(&cfg.metrics), Arc::new(MetricsHandler(shared.clone()))),
        ];
        let mut servers = Vec::new();
        for (address, face) in faces {
            if let Some(address) = address {
                servers.push(Server::start(address, face, 1, serving.clone())?);
            }
        }
        tokio::spawn(watch_config(shared.clone(), serving.clone()));
        let election = tokio::spawn(run_elections(shared.clone(), leading.clone()));
        tracing::info!(
            vm = shared.cfg.name,
            incarnation = shared.incarnation,
            peer = shared.cfg.peer,
            store = shared.cfg.store,
            "daemon started"
        );
        Ok(Self {
            shared,
            servers,
            serving,
            leading,
            election,
        })
    }

    /// Hands leadership over, serves callers until the balancer has noticed, then ends.
    pub async fn shutdown(self) {
        tracing::info!(vm = self.shared.cfg.name, "daemon stops");
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.leading.cancel();
        let grace = Duration::from(self.shared.cfg.grace);
        let leave = LEAVE_AFTER.min(grace / 2);
        tokio::time::sleep(leave).await;
        self.serving.cancel();
        self.election.abort();
        // The first server is the callers'; its requests in progress get their answers.
        if let Some(server) = self.servers.first() {
            let ended = tokio::time::timeout(grace / 4, server.stopped()).await;
            if ended.is_err() {
                tracing::warn!("connections are still open at the end of the grace time");
            }
        }
        tracing::info!(vm = self.shared.cfg.name, "daemon ended");
    }
}
