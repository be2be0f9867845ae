//! Fixtures of the proxy tests: endpoints, entry processes and a caller, over loopback.
#![allow(dead_code, unused_imports)]

mod caller;
mod membership;
mod raw;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use prometheus::Registry;
use sapphirecroft::bundle::{ActiveBundle, BundleInForce};
use sapphirecroft::membership::Ownership;
use sapphirecroft::model::*;
use sapphirecroft::proxy::{Proxy, ProxyConfig, ProxyMetrics};
use sapphirecroft::routing::{Dispatcher, EndpointShare, PeerLoad};
use sapphirecroft::standin::Endpoint;
use sapphirecroft::web::{Server, WebService};
use serde_json::json;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

pub use caller::{CallerResponse, Client, call, get, post};
pub use membership::{TestMembership, TestView};
pub use raw::{RawEndpoint, UnresponsiveEndpoint};

/// Maximum wait for an expected condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is an identifier"))
}

pub fn bundle() -> BundleInForce {
    let bundle = serde_json::from_value(json!({
        "bundle": {"site": "tulua", "note": "test"},
        "weights": {"batch_throughput": 500, "tail_latency": 500},
        "service": {"booking": {
            "default_class": "normal",
            "default_deadline_ms": 20000,
            "max_deadline_ms": 60000,
            "hedge": true,
        }},
        "class": {"normal": {"urgency": 1, "share": 300, "max_wait_ms": 20000}},
        "team": {},
        "batch": {}, "batch_class": {}, "eviction": {}, "interference": {},
    }))
    .expect("bundle is valid");
    BundleInForce {
        version: Version(7),
        bundle,
    }
}

pub fn share(address: SocketAddr, slots: u32) -> EndpointShare {
    EndpointShare {
        vm: id(&address.to_string()),
        zone: id("tulua"),
        address: Address(address),
        slots,
        leaving: false,
    }
}

pub async fn endpoints(count: usize) -> Vec<Arc<Endpoint>> {
    let mut list = Vec::new();
    for _ in 0..count {
        let endpoint = Endpoint::start("127.0.0.1:0", CancellationToken::new()).await;
        list.push(endpoint.expect("endpoint starts"));
    }
    list
}

pub fn shares(list: &[Arc<Endpoint>], slots: u32) -> Vec<EndpointShare> {
    list.iter()
        .map(|endpoint| share(endpoint.addr(), slots))
        .collect()
}

/// Returns how often a request ran, over all endpoints.
pub fn runs(list: &[Arc<Endpoint>], request: &str) -> usize {
    let logs = list.iter().map(|endpoint| endpoint.log().runs);
    logs.flatten().filter(|(held, _)| held == request).count()
}

/// Starts a server on a runtime that outlives the tests.
///
/// An xitca server owns a runtime, which must not be dropped by the runtime of a test.
fn serve(service: Arc<dyn WebService>, threads: usize, cancel: CancellationToken) -> Server {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    let runtime = RUNTIME.get_or_init(|| Runtime::new().expect("runtime starts"));
    let _entered = runtime.enter();
    Server::start("127.0.0.1:0", service, threads, cancel).expect("server starts")
}

/// Entry process with a listener for callers and one for peers.
pub struct Entry {
    pub member: MemberId,
    pub proxy: Proxy,
    pub dispatcher: Arc<Mutex<Dispatcher>>,
    pub registry: Registry,
    pub addr: SocketAddr,
    pub cancel: CancellationToken,
    pub stop_peers: CancellationToken,
}

impl Entry {
    /// Starts a process that is the only member of its region.
    pub async fn alone(shares: Vec<EndpointShare>) -> Self {
        let membership = TestMembership::new(&["entry-1"]);
        Self::start(&membership, "entry-1", shares).await
    }

    pub async fn start(
        membership: &TestMembership,
        name: &str,
        shares: Vec<EndpointShare>,
    ) -> Self {
        Self::start_with(membership, name, shares, |_| ()).await
    }

    pub async fn start_with(
        membership: &TestMembership,
        name: &str,
        shares: Vec<EndpointShare>,
        adapt: impl FnOnce(&mut ProxyConfig),
    ) -> Self {
        let member: MemberId = id(name);
        let cancel = CancellationToken::new();
        let stop_peers = CancellationToken::new();
        let active = Arc::new(ActiveBundle::default());
        active.raise(bundle());
        let mut cfg = ProxyConfig::new(member.clone());
        cfg.initial_view = Some(Arc::new(membership.view()));
        adapt(&mut cfg);
        let mut dispatcher = Dispatcher::new(id("tulua"), 1);
        dispatcher.configure(&bundle(), cfg.clock.now());
        let dispatcher = Arc::new(Mutex::new(dispatcher));
        let ownership: Arc<dyn Ownership> = Arc::new(membership.ownership(&member));
        let registry = Registry::new();
        let proxy = Proxy::new(
            cfg,
            active,
            dispatcher.clone(),
            ownership,
            ProxyMetrics::register(&registry).expect("metrics register"),
            cancel.clone(),
            tokio::runtime::Handle::current(),
        );
        proxy.set_endpoints(&id("booking"), shares);
        let callers = CancellationToken::new();
        let server = serve(Arc::new(proxy.clone()), 2, callers);
        let peers = serve(proxy.peer_request_handler(), 1, stop_peers.clone());
        membership.set_addr(&member, peers.addr());
        Self {
            member,
            proxy,
            dispatcher,
            registry,
            addr: server.addr(),
            cancel,
            stop_peers,
        }
    }

    pub fn set_peers(&self, names: &[&str]) {
        let peers = names.iter().map(|name| PeerLoad {
            member: id(name),
            zone: id("tulua"),
            free_slots: 8,
            queue_delay: Millis::ZERO,
            age: Millis::ZERO,
        });
        let (peers, now) = (peers.collect(), Millis::ZERO);
        self.dispatcher.lock().set_peers(&id("booking"), peers, now);
    }

    pub fn metric(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        family.map_or(0.0, |family| {
            let values = family.get_metric().iter();
            values
                .map(|metric| metric.get_counter().get_value() + metric.get_gauge().get_value())
                .sum()
        })
    }
}

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let met = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(met.is_ok(), "never happened: {what}");
}
