//! Starts the servers and tasks of the daemon and shuts them down in order.

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

/// Time for which requests are served after readiness is withdrawn. The load balancer reacts after
/// two checks, one per second.
const DRAIN_TIME: Duration = Duration::from_millis(3500);

/// A running entry daemon.
pub struct EntryDaemon {
    shared: Arc<Shared>,
    servers: Vec<Server>,
    server_cancel: CancellationToken,
    election_cancel: CancellationToken,
    election: tokio::task::JoinHandle<()>,
}

impl EntryDaemon {
    /// Starts the servers and background tasks on the current runtime.
    pub fn start(
        cfg: EntrySettings,
        store: Arc<dyn StateStore>,
        workers: Arc<dyn WorkerCalls>,
        platform_format: Arc<dyn PlatformFormat>,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let metrics = EntryMetrics::new().map_err(std::io::Error::other)?;
        let shared = Arc::new(Shared::new(
            cfg,
            store,
            workers,
            platform_format,
            clock,
            metrics,
        ));
        let runtime = tokio::runtime::Handle::current();
        let server_cancel = CancellationToken::new();
        let election_cancel = CancellationToken::new();
        let cfg = &shared.cfg;
        let frontend_handler = Arc::new(FrontendHandler {
            shared: shared.clone(),
            runtime: runtime.clone(),
        });
        let peer_handler = Arc::new(PeerHandler {
            shared: shared.clone(),
            runtime,
        });
        let listeners: [(Option<&String>, Arc<dyn WebService>); 4] = [
            (cfg.frontend.as_ref(), frontend_handler),
            (
                cfg.readiness.as_ref(),
                Arc::new(ReadinessHandler(shared.clone())),
            ),
            (Some(&cfg.peer), peer_handler),
            (Some(&cfg.metrics), Arc::new(MetricsHandler(shared.clone()))),
        ];
        let mut servers = Vec::new();
        for (address, handler) in listeners {
            if let Some(address) = address {
                servers.push(Server::start_within(
                    shared.inbound.clone(),
                    address,
                    handler,
                    1,
                    server_cancel.clone(),
                )?);
            }
        }
        tokio::spawn(watch_config(shared.clone(), server_cancel.clone()));
        let election = tokio::spawn(run_elections(shared.clone(), election_cancel.clone()));
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
            server_cancel,
            election_cancel,
            election,
        })
    }

    /// Hands leadership over, serves requests until the load balancer stops sending them, then
    /// stops the servers.
    pub async fn shutdown(self) {
        tracing::info!(vm = self.shared.cfg.name, "daemon stops");
        self.shared.shutting_down.store(true, Ordering::Relaxed);
        self.election_cancel.cancel();
        let grace = Duration::from(self.shared.cfg.grace);
        let drain_time = DRAIN_TIME.min(grace / 2);
        tokio::time::sleep(drain_time).await;
        self.server_cancel.cancel();
        self.election.abort();
        // The first server is the frontend, if there is one; its in-flight requests are completed.
        if let Some(server) = self.servers.first() {
            let ended = tokio::time::timeout(grace / 4, server.stopped()).await;
            if ended.is_err() {
                tracing::warn!(
                    "server still has open connections at the end of its shutdown timeout; they are closed"
                );
            }
        }
        tracing::info!(vm = self.shared.cfg.name, "daemon ended");
    }
}
