//! Member nodes over loopback, with stand-ins for the store and the VM list.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use sapphirecroft::membership::{Ownership, Timing};
use sapphirecroft::peer::{LocalState, MemberNode, NodeConfig, PeerService};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{Store, VmList};
use sapphirecroft::schema::peer::Member;
use sapphirecroft::schema::vm::{VmRecord, VmRole, VmState};
use sapphirecroft::standin::{KvServer, VmServer};
use sapphirecroft::web::{Caller, Server, WebReq, WebRes, WebService, text};

/// Longest wait for an expected condition.
const TIMEOUT: Duration = Duration::from_secs(10);

fn id<T: std::str::FromStr<Err = ModelError>>(text: &str) -> T {
    text.parse().expect("identifier is valid")
}

fn vm(name: &str, role: VmRole, address: &str) -> VmRecord {
    VmRecord {
        vm: id(name),
        role,
        state: VmState::Live,
        zone: id("zone-a"),
        region: id("region"),
        rack: id("rack-1"),
        address: address.to_string(),
        agent: String::new(),
        service: (role == VmRole::Worker).then(|| id("booking")),
        capacity: Resources::default(),
    }
}

/// A web service that is set after the server has started, because it needs the server's address.
#[derive(Default)]
struct DeferredService(std::sync::OnceLock<PeerService>);

#[async_trait::async_trait(?Send)]
impl WebService for DeferredService {
    async fn call(&self, req: WebReq) -> WebRes {
        match self.0.get() {
            Some(service) => service.call(req).await,
            None => text(http::StatusCode::SERVICE_UNAVAILABLE, "starting"),
        }
    }
}

/// Local state with a bundle that consists of its version only.
#[derive(Default)]
struct Bundle(AtomicU64);

impl LocalState for Bundle {
    fn bundle_version(&self) -> Version {
        Version(self.0.load(Ordering::SeqCst))
    }

    fn export_bundle(&self) -> Option<Vec<u8>> {
        Some(self.0.load(Ordering::SeqCst).to_be_bytes().to_vec())
    }

    fn offer_bundle(&self, bundle: Vec<u8>) {
        if let Ok(version) = bundle.try_into() {
            self.0.store(u64::from_be_bytes(version), Ordering::SeqCst);
        }
    }
}

struct Site {
    kv: Arc<KvServer>,
    vms: Arc<VmServer>,
    servers: Mutex<Vec<Server>>,
}

impl Site {
    fn new() -> Self {
        let site = Self {
            kv: KvServer::new(),
            vms: VmServer::new(Millis::ZERO),
            servers: Mutex::default(),
        };
        let workers = (0..20).map(|at| vm(&format!("worker-{at}"), VmRole::Worker, "127.0.0.1:1"));
        site.vms.seed(workers);
        site
    }

    fn start(&self, name: &str, cancel: &CancellationToken) -> Arc<MemberNode> {
        self.start_in("region", name, Arc::new(Bundle::default()), cancel)
    }

    fn start_in(
        &self,
        region: &str,
        name: &str,
        local: Arc<Bundle>,
        cancel: &CancellationToken,
    ) -> Arc<MemberNode> {
        let deferred = Arc::new(DeferredService::default());
        let server = Server::start("127.0.0.1:0", deferred.clone(), 1, cancel.clone())
            .expect("server starts");
        let address = server.addr().to_string();
        self.servers.lock().push(server);
        self.vms.put(VmRecord {
            region: id(region),
            ..vm(name, VmRole::Entry, &address)
        });
        let config = NodeConfig {
            me: Member {
                id: id(&format!("{name}-run")),
                vm: id(name),
                zone: id("zone-a"),
                address,
                listed: false,
            },
            region: id(region),
            vms_poll: Millis(200),
            timing: Timing {
                region_interval: Millis(200),
                region_timeout: Millis(1000),
                ..Timing::default()
            },
        };
        let store: Arc<dyn Store> = self.kv.clone();
        let vm_list: Arc<dyn VmList> = self.vms.clone();
        let node = MemberNode::start(config, store, vm_list, Caller::new(), local, cancel.clone());
        let _ = deferred.0.set(PeerService::new(node.clone()));
        node
    }

    /// Stops all nodes and servers. A server that is dropped while it runs panics when the runtime
    /// ends.
    async fn stop(self, cancel: CancellationToken) {
        cancel.cancel();
        for server in self.servers.into_inner() {
            server.stopped().await;
        }
    }
}

/// Waits until a condition holds.
async fn eventually(what: &str, check: impl FnMut() -> bool) {
    let mut check = check;
    let reached = tokio::time::timeout(TIMEOUT, async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(reached.await.is_ok(), "not within {TIMEOUT:?}: {what}");
}

/// Returns the usable slots of a node at all endpoints.
fn total_slots(node: &MemberNode) -> u32 {
    (0..20)
        .map(|at| node.usable_slots(&id(&format!("worker-{at}"))))
        .sum()
}

/// Guards against nodes that join but disagree on owners, and against slots that no node may use,
/// at the start and after a handover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_join_agree_and_share_all_slots() {
    let site = Site::new();
    let cancel = CancellationToken::new();

    let mut nodes: Vec<_> = ["entry-1", "entry-2", "entry-3"]
        .iter()
        .map(|name| site.start(name, &cancel))
        .collect();
    let all_slots =
        |nodes: &[Arc<MemberNode>]| nodes.iter().map(|n| total_slots(n)).sum::<u32>() == 160;
    eventually("all slots are usable", || all_slots(&nodes)).await;
    // A handover of slots needs heartbeats, unlike the first epoch.
    nodes.push(site.start("entry-4", &cancel));
    eventually("the fourth node has slots", || total_slots(&nodes[3]) > 0).await;
    eventually("all slots are usable again", || all_slots(&nodes)).await;
    eventually("each node has a status of all others", || {
        let peers = nodes.iter().map(|node| node.watch_peers().borrow().len());
        peers.eq([3; 4])
    })
    .await;
    let owners: Vec<_> = nodes.iter().map(|n| n.rack_owner(&id("rack-7"))).collect();
    assert!(owners[0].is_some() && owners.iter().all(|owner| *owner == owners[0]));
    assert!(nodes.iter().all(|node| node.is_active()));
    assert_eq!(nodes.iter().filter(|node| node.is_watcher()).count(), 2);
    site.stop(cancel).await;
}

/// Guards against a graceful shutdown that leaves the member in the record until its lease expires.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_node_is_removed_at_once() {
    let site = Site::new();
    let cancel = CancellationToken::new();
    let first = site.start("entry-1", &cancel);
    let second = site.start("entry-2", &cancel);
    eventually("both are members", || {
        first.is_active() && second.is_active() && total_slots(&first) == 80
    })
    .await;

    assert!(second.leave(Millis(2000)).await);

    eventually("the other node has all slots", || {
        total_slots(&first) == 160
    })
    .await;
    assert!(!second.is_active());
    site.stop(cancel).await;
}

/// Guards against a bundle that does not reach another region or all its members, and against a
/// region that does not report that it is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bundle_crosses_regions_and_a_cut_off_region_reports_it() {
    let site = Site::new();
    let (cancel, other) = (CancellationToken::new(), CancellationToken::new());
    let source = Arc::new(Bundle(AtomicU64::new(3)));
    let receivers: Vec<_> = (0..2).map(|_| Arc::new(Bundle::default())).collect();

    site.start_in("north", "north-1", source, &other);
    let node = site.start_in("south", "south-1", receivers[0].clone(), &cancel);
    site.start_in("south", "south-2", receivers[1].clone(), &cancel);

    eventually("the bundle is everywhere in the south", || {
        receivers
            .iter()
            .all(|local| local.bundle_version() == Version(3))
    })
    .await;
    assert!(!node.watch_regions().borrow().cut_off);
    other.cancel();
    eventually("the south reports that it is cut off", || {
        node.watch_regions().borrow().cut_off
    })
    .await;
    assert!(node.is_active(), "a cut-off region continues to work");
    site.stop(cancel).await;
}
