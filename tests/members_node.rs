//! Nodes over the stand-ins, on loopback.

use std::time::Duration;

use sapphirecroft::membership::{Ownership, Timing};
use sapphirecroft::peer::{MemberNode, NoLocalState, NodeConfig, PeerService};
use sapphirecroft::platform::{Store, VmList};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::peer::Member;
use sapphirecroft::schema::vm::{VmRecord, VmRole, VmState};
use sapphirecroft::standin::{KvServer, VmServer};
use sapphirecroft::web::{Caller, Server, WebReq, WebRes, WebService, text};

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(10);

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

/// A server whose service is set after its address is known.
#[derive(Default)]
struct Late(std::sync::OnceLock<PeerService>);

#[async_trait::async_trait(?Send)]
impl WebService for Late {
    async fn call(&self, req: WebReq) -> WebRes {
        match self.0.get() {
            Some(service) => service.call(req).await,
            None => text(http::StatusCode::SERVICE_UNAVAILABLE, "starting"),
        }
    }
}

struct Site {
    kv: Arc<KvServer>,
    vms: Arc<VmServer>,
}

impl Site {
    fn new() -> Self {
        let site = Self {
            kv: KvServer::new(),
            vms: VmServer::new(Millis::ZERO),
        };
        let workers = (0..20).map(|at| vm(&format!("worker-{at}"), VmRole::Worker, "127.0.0.1:1"));
        site.vms.seed(workers);
        site
    }

    fn start(&self, name: &str, cancel: &CancellationToken) -> Arc<MemberNode> {
        let late = Arc::new(Late::default());
        let server =
            Server::start("127.0.0.1:0", late.clone(), 1, cancel.clone()).expect("server starts");
        let address = server.addr().to_string();
        self.vms.put(vm(name, VmRole::Entry, &address));
        let config = NodeConfig {
            me: Member {
                id: id(&format!("{name}-run")),
                vm: id(name),
                zone: id("zone-a"),
                address,
                listed: false,
            },
            region: id("region"),
            vms_poll: Millis(200),
            timing: Timing::default(),
        };
        let store: Arc<dyn Store> = self.kv.clone();
        let vm_list: Arc<dyn VmList> = self.vms.clone();
        let local = Arc::new(NoLocalState);
        let node = MemberNode::start(config, store, vm_list, Caller::new(), local, cancel.clone());
        let _ = late.0.set(PeerService::new(node.clone()));
        node
    }
}

async fn eventually(what: &str, check: impl Fn() -> bool) {
    let reached = tokio::time::timeout(PATIENCE, async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(reached.await.is_ok(), "not within {PATIENCE:?}: {what}");
}

fn slots(node: &MemberNode) -> u32 {
    (0..20)
        .map(|at| node.usable_slots(&id(&format!("worker-{at}"))))
        .sum()
}

/// Guards against nodes that join but do not agree, and against slots that nobody may use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_join_agree_and_share_all_slots() {
    let site = Site::new();
    let cancel = CancellationToken::new();

    let nodes: Vec<_> = ["entry-1", "entry-2", "entry-3"]
        .iter()
        .map(|name| site.start(name, &cancel))
        .collect();

    eventually("all slots are usable", || {
        nodes.iter().map(|node| slots(node)).sum::<u32>() == 20 * 8
    })
    .await;
    let owners: Vec<_> = nodes.iter().map(|n| n.rack_owner(&id("rack-7"))).collect();
    assert!(owners[0].is_some() && owners.iter().all(|owner| *owner == owners[0]));
    assert!(nodes.iter().all(|node| node.is_active()));
    assert_eq!(nodes.iter().filter(|node| node.is_watcher()).count(), 2);
    cancel.cancel();
}

/// Guards against a graceful shutdown that leaves the member in the record until its lease lapses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_that_leaves_is_gone_at_once() {
    let site = Site::new();
    let cancel = CancellationToken::new();
    let first = site.start("entry-1", &cancel);
    let second = site.start("entry-2", &cancel);
    eventually("both are members", || {
        first.is_active() && second.is_active() && slots(&first) == 80
    })
    .await;

    assert!(second.leave(Millis(2000)).await);

    eventually("the other one has all slots", || slots(&first) == 160).await;
    assert!(!second.is_active());
    cancel.cancel();
}
