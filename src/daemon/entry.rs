//! One running entry process.

use std::sync::OnceLock;

use parking_lot::Mutex;
use prometheus::Registry;
use rand::RngCore;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::faces::Faces;
use super::feeder::{Feeder, FeederParts};
use super::local::Local;
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
use crate::web::{Caller, Server};

/// Worker threads of the callers' and the peers' server.
const REQUEST_THREADS: usize = 2;

/// Worker threads of the administration server.
const ADMIN_THREADS: usize = 1;

/// Longest wait for peers and the store to take note that this process leaves.
const LEAVE_TIMEOUT: Millis = Millis(3000);

/// Time for which a stopping process still tells the balancer that it is not ready.
const NOT_READY_NOTICE: Millis = Millis(500);

/// One running entry process.
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
    /// Starts a daemon on the current runtime.
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
        let local = Arc::new(Local {
            drains: drains.clone(),
            keeper: keeper.clone(),
            dispatcher: dispatcher.clone(),
            feeder: OnceLock::new(),
        });
        let node = MemberNode::start(
            node_config(cfg, &member),
            store.clone(),
            Arc::new(HttpVmList::new(cfg.platform.vms.to_string())),
            Caller::new(),
            local.clone(),
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
        let feeder = Feeder::new(FeederParts {
            node: node.clone(),
            keeper: keeper.clone(),
            proxy: proxy.clone(),
            dispatcher: dispatcher.clone(),
            batch: batch.clone(),
            clock,
            region: cfg.node.region.clone(),
            drains: drains.clone(),
        });
        let _ = local.feeder.set(feeder.clone());
        tokio::spawn(feeder.clone().run(background.clone()));
        tokio::spawn(feeder.follow_drains(background.clone()));
        tokio::spawn(batch.clone().run(background.clone()));
        let followed = (keeper.clone(), store.clone(), background.clone());
        tokio::spawn(async move { followed.0.run(followed.1, followed.2).await });

        let faces = Faces {
            node: node.clone(),
            keeper: keeper.clone(),
            proxy: proxy.clone(),
            dispatcher,
            batch,
            drains,
            records,
            trust,
        };
        let admin_routes = faces.admin(registry, stopping.clone())?;
        let peer_routes = faces.peers();
        let servers = background.clone();
        let peers = serve(
            &cfg.listen.peers,
            Arc::new(peer_routes),
            REQUEST_THREADS,
            &servers,
        )?;
        let admin = serve(
            &cfg.listen.admin,
            Arc::new(admin_routes),
            ADMIN_THREADS,
            &servers,
        )?;
        let callers = serve(
            &cfg.listen.callers,
            Arc::new(proxy.clone()),
            REQUEST_THREADS,
            &servers,
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

    /// Returns the member id of this run.
    pub fn member(&self) -> &MemberId {
        &self.member
    }

    /// Returns the address for callers.
    pub fn callers_addr(&self) -> std::net::SocketAddr {
        self.callers.addr()
    }

    /// Returns the version of the bundle in force.
    pub fn bundle_version(&self) -> Version {
        self.keeper.newest()
    }

    /// Tells whether this process is a member that may act as an owner.
    pub fn is_active(&self) -> bool {
        self.node.is_active()
    }

    /// Stops taking new requests, lets those in progress finish, leaves the members and ends.
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

    /// Closes all connections at once; the runtime must be ended as well.
    pub fn kill(&self) {
        for server in [&self.callers, &self.peers, &self.admin] {
            server.abort();
        }
    }
}

fn serve(
    addr: &Address,
    service: Arc<dyn crate::web::WebService>,
    threads: usize,
    cancel: &CancellationToken,
) -> Result<Server, DaemonError> {
    Server::start(&addr.to_string(), service, threads, cancel.child_token()).map_err(|err| {
        DaemonError::Listen {
            addr: *addr,
            reason: err.to_string(),
        }
    })
}

/// Names this run, so that a restarted process is never taken for the one before it.
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
