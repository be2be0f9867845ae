//! Startup and shutdown of one entry process.

use std::sync::OnceLock;

use parking_lot::Mutex;
use prometheus::Registry;
use rand::RngCore;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::process_state::ProcessState;
use super::route_builder::RouteBuilder;
use super::state_updater::{StateUpdater, UpdaterParts};
use crate::batch::{BatchNode, BatchParts, HttpPeerClient};
use crate::bundle::{ActiveBundle, BundleKeeper, Trust};
use crate::drain::DrainManager;
use crate::membership::{Ownership, Timing};
use crate::peer::{MemberNode, NodeConfig};
use crate::prelude::*;
use crate::provider::{HttpAgent, HttpStore, HttpVmList, Store};
use crate::proxy::{Clock, Proxy, ProxyConfig, ProxyMetrics};
use crate::records::Records;
use crate::routing::Dispatcher;
use crate::schema::peer::Member;
use crate::schema::settings::Settings;
use crate::web::{Caller, Inbound, Server, WebService};

/// Worker threads of each of the two server_token for callers and peers.
const REQUEST_THREADS: usize = 2;

/// Worker threads of the administration server.
const ADMIN_THREADS: usize = 1;

/// Longest wait at shutdown for the store and the peers to record that this process leaves.
const LEAVE_TIMEOUT: Millis = Millis(3000);

/// Time between the first "not ready" response and the wait for requests in flight, so that the
/// load balancer notices the shutdown.
const NOT_READY_NOTICE: Millis = Millis(500);

/// A running entry process with its server_token and background tasks.
pub struct Daemon {
    member: MemberId,
    node: Arc<MemberNode>,
    keeper: Arc<BundleKeeper>,
    proxy: Proxy,
    callers: Server,
    peers: Server,
    admin: Server,
    stopping: CancellationToken,
    background: CancellationToken,
}

impl Daemon {
    /// Starts all modules on the current Tokio runtime and binds the three listeners.
    pub async fn start(cfg: &Settings) -> Result<Self, DaemonError> {
        let member = new_member_id(&cfg.node.vm)?;
        let stopping = CancellationToken::new();
        let background = CancellationToken::new();
        let clock = Clock::new(Instant::now());
        let store: Arc<dyn Store> = Arc::new(HttpStore::new(
            cfg.platform.store.to_string(),
            cfg.platform.store_timeout_ms,
        ));
        let trust = Trust {
            site: cfg.trust.site.clone(),
            roots: cfg.trust.root_keys.clone(),
        };
        let active = Arc::new(ActiveBundle::default());
        let keeper = Arc::new(BundleKeeper::new(trust.clone(), active.clone()));
        let seed = rand::rng().next_u64();
        let dispatcher = Arc::new(Mutex::new(Dispatcher::new(cfg.node.zone.clone(), seed)));
        let records = Arc::new(Records::new(store.clone(), member.clone()));
        let drains = Arc::new(DrainManager::new(records.clone(), &cfg.node.region));
        let process_state = Arc::new(ProcessState {
            drains: drains.clone(),
            keeper: keeper.clone(),
            dispatcher: dispatcher.clone(),
            state_updater: OnceLock::new(),
        });
        let node = MemberNode::start(
            node_config(cfg, &member),
            store.clone(),
            Arc::new(HttpVmList::new(cfg.platform.vms.to_string())),
            Caller::new(),
            process_state.clone(),
            background.clone(),
        );
        let ownership: Arc<dyn Ownership> = node.clone();
        let registry = Registry::new();
        let mut proxy_config = ProxyConfig::new(member.clone());
        proxy_config.clock = clock;
        let proxy = Proxy::new(
            proxy_config,
            active.clone(),
            dispatcher.clone(),
            ownership.clone(),
            ProxyMetrics::register(&registry)?,
            stopping.clone(),
            Handle::current(),
        );
        let batch = BatchNode::new(BatchParts {
            region: cfg.node.region.clone(),
            store: store.clone(),
            agent: Arc::new(HttpAgent::new()),
            ownership: ownership.clone(),
            bundle: active,
            peer_client: Arc::new(HttpPeerClient::new(ownership)),
            seed,
        });
        let state_updater = StateUpdater::new(UpdaterParts {
            node: node.clone(),
            keeper: keeper.clone(),
            proxy: proxy.clone(),
            dispatcher: dispatcher.clone(),
            batch: batch.clone(),
            clock,
            region: cfg.node.region.clone(),
            drains: drains.clone(),
        });
        let _ = process_state.state_updater.set(state_updater.clone());
        tokio::spawn(state_updater.clone().run(background.clone()));
        tokio::spawn(state_updater.poll_drains(background.clone()));
        tokio::spawn(batch.clone().run(background.clone()));
        let keeper_args = (keeper.clone(), store.clone(), background.clone());
        tokio::spawn(async move { keeper_args.0.run(keeper_args.1, keeper_args.2).await });

        let route_builder = RouteBuilder {
            node: node.clone(),
            keeper: keeper.clone(),
            proxy: proxy.clone(),
            dispatcher,
            batch,
            drains,
            records,
            trust,
        };
        let admin_routes = route_builder.admin(registry, stopping.clone())?;
        let peer_routes = route_builder.peers();
        let server_token = background.clone();
        // One table, so that all ports together keep its limits.
        let inbound = Arc::default();
        let peers = serve(
            &cfg.listen.peers,
            Arc::new(peer_routes),
            REQUEST_THREADS,
            &inbound,
            &server_token,
        )?;
        let admin = serve(
            &cfg.listen.admin,
            Arc::new(admin_routes),
            ADMIN_THREADS,
            &inbound,
            &server_token,
        )?;
        let callers = serve(
            &cfg.listen.callers,
            Arc::new(proxy.clone()),
            REQUEST_THREADS,
            &inbound,
            &server_token,
        )?;
        tracing::info!(%member, callers = %callers.addr(), "daemon started");
        Ok(Self {
            member,
            node,
            keeper,
            proxy,
            callers,
            peers,
            admin,
            stopping,
            background,
        })
    }

    /// Returns the member id, which is new with every start of the process.
    pub fn member(&self) -> &MemberId {
        &self.member
    }

    /// Returns the bound address of the callers' listener.
    pub fn callers_addr(&self) -> std::net::SocketAddr {
        self.callers.addr()
    }

    /// Returns the version of the newest valid bundle, or zero before the first.
    pub fn bundle_version(&self) -> Version {
        self.keeper.newest()
    }

    /// Returns whether this process is a member that may act as an owner.
    pub fn is_active(&self) -> bool {
        self.node.is_active()
    }

    /// Shuts down gracefully: reports not ready, waits for the requests in flight, leaves the
    /// membership and stops the server_token.
    pub async fn shutdown(&self) {
        self.stopping.cancel();
        tokio::time::sleep(NOT_READY_NOTICE.into()).await;
        self.proxy.drained().await;
        if !self.node.leave(LEAVE_TIMEOUT).await {
            tracing::warn!("the member record still lists this process; peers will remove it");
        }
        self.background.cancel();
        for server in [&self.callers, &self.peers, &self.admin] {
            server.stopped().await;
        }
    }

    /// Closes all connections at once, as a crash does. Background tasks go on until the caller
    /// drops the runtime.
    pub fn kill(&self) {
        for server in [&self.callers, &self.peers, &self.admin] {
            server.abort();
        }
    }
}

fn serve(
    addr: &Address,
    service: Arc<dyn WebService>,
    threads: usize,
    inbound: &Arc<Inbound>,
    cancel: &CancellationToken,
) -> Result<Server, DaemonError> {
    let address = addr.to_string();
    Server::start_within(
        inbound.clone(),
        &address,
        service,
        threads,
        cancel.child_token(),
    )
    .map_err(|err| DaemonError::Listen {
        addr: *addr,
        reason: err.to_string(),
    })
}

/// Creates a member id with a random suffix, so that peers tell a restarted process from the
/// one before it.
fn new_member_id(vm: &VmId) -> Result<MemberId, DaemonError> {
    let run = rand::rng().next_u32();
    Ok(format!("{vm}-{run:08x}").parse()?)
}

fn node_config(cfg: &Settings, member: &MemberId) -> NodeConfig {
    NodeConfig {
        me: Member {
            id: member.clone(),
            vm: cfg.node.vm.clone(),
            zone: cfg.node.zone.clone(),
            address: cfg.listen.peers.to_string(),
            listed: false,
        },
        region: cfg.node.region.clone(),
        vms_poll: cfg.platform.vms_poll_ms,
        timing: Timing::default(),
    }
}
