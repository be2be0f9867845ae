//! Two batch nodes as members that call each other over HTTP on loopback.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use batch_support::site::Agents;
use batch_support::{bundle, id, job, worker};
use sapphirecroft::batch::{
    BatchNode, BatchParts, BatchService, HttpPeerClient, PEER_PATH, Refusal, shard_of_key,
};
use sapphirecroft::bundle::ActiveBundle;
use sapphirecroft::membership::Ownership;
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{JobFilter, JobPhase, JobView};
use sapphirecroft::schema::worker::TaskPhase;
use sapphirecroft::standin::{Checkpoints, KvServer, WorkerServer};
use sapphirecroft::web::{Routes, Server};

/// Ownership of two members: the first owns even shards and racks, the second odd ones.
struct EvenOddOwnership {
    me: MemberId,
    addrs: Arc<Mutex<BTreeMap<MemberId, String>>>,
}

fn member(number: usize) -> MemberId {
    id(&format!("m{}", number % 2))
}

impl Ownership for EvenOddOwnership {
    fn me(&self) -> MemberId {
        self.me.clone()
    }
    fn epoch(&self) -> Epoch {
        Epoch(2)
    }
    fn is_active(&self) -> bool {
        true
    }
    fn epoch_adopted_at(&self) -> Millis {
        Millis::ZERO
    }
    fn rack_owner(&self, rack: &RackId) -> Option<MemberId> {
        rack.as_str().strip_prefix("rack")?.parse().ok().map(member)
    }
    fn shard_owner(&self, shard: u32) -> Option<MemberId> {
        usize::try_from(shard).ok().map(member)
    }
    fn key_holders(&self, _key: &str) -> Vec<MemberId> {
        Vec::new()
    }
    fn peer_addr(&self, member: &MemberId) -> Option<String> {
        self.addrs
            .lock()
            .expect("not poisoned")
            .get(member)
            .cloned()
    }
}

struct Pair {
    nodes: Vec<Arc<BatchNode>>,
    agents: Arc<Agents>,
    stop: CancellationToken,
}

async fn pair() -> Pair {
    let vms: Vec<_> = (0..4).map(worker).collect();
    let checkpoints = Checkpoints::default();
    let started = tokio::time::Instant::now();
    let server =
        |vm: &VmId, capacity| WorkerServer::new(vm.clone(), capacity, checkpoints.clone(), started);
    let agents = vms
        .iter()
        .map(|vm| (vm.agent.clone(), server(&vm.vm, vm.capacity)));
    let agents = Arc::new(Agents(agents.collect()));
    let store = KvServer::new();
    let active = Arc::new(ActiveBundle::default());
    active.raise(bundle());
    let addrs = Arc::new(Mutex::new(BTreeMap::new()));
    let stop = CancellationToken::new();
    let mut nodes = Vec::new();
    for number in 0..2 {
        let ownership = Arc::new(EvenOddOwnership {
            me: member(number),
            addrs: addrs.clone(),
        });
        let node = BatchNode::new(BatchParts {
            region: id("r1"),
            store: store.clone(),
            agent: agents.clone(),
            ownership: ownership.clone(),
            bundle: active.clone(),
            peers: Arc::new(HttpPeerClient::new(ownership)),
            seed: 1,
        });
        let routes = Routes::new().at(PEER_PATH, BatchService::new(node.clone()));
        let server = Server::start("127.0.0.1:0", Arc::new(routes), 1, stop.clone());
        let addr = server.expect("server starts").addr().to_string();
        addrs
            .lock()
            .expect("not poisoned")
            .insert(member(number), addr);
        node.set_vms(&vms);
        tokio::spawn(node.clone().run(stop.clone()));
        nodes.push(node);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    Pair {
        nodes,
        agents,
        stop,
    }
}

/// Guards against messages between members that change in their encoding, and against calls that
/// work only for shards and racks of the calling process.
#[tokio::test(flavor = "multi_thread")]
async fn members_submit_place_and_cancel_through_each_other() {
    let pair = pair().await;
    let key = |shard: u32| {
        (0..)
            .map(|n| format!("key{n}"))
            .find(|key| shard_of_key(&id("red"), key) % 2 == shard)
            .expect("some key fits")
    };
    // Eight tasks of four cores need all four workers, of which each member owns two.
    let spec = job(&key(0), 8, Resources::new(4000, 1000, 0), 6000);
    let other = job(&key(1), 2, Resources::new(1000, 1000, 0), 600_000);

    let first = pair.nodes[1]
        .submit(spec)
        .await
        .expect("forwarded and accepted");
    wait_for(&pair, &first, |view| view.phase == JobPhase::Done).await;
    let busy = pair.agents.0.values().filter(|agent| {
        agent.inspect(|worker| {
            let mut events = worker.events().iter();
            events.any(|event| event.phase == TaskPhase::Running)
        })
    });
    let busy = busy.count();
    let second = pair.nodes[0]
        .submit(other)
        .await
        .expect("forwarded and accepted");
    let filter = JobFilter {
        job: Some(second.clone()),
        team: None,
        labels: BTreeMap::new(),
    };
    let cancelled = pair.nodes[0]
        .cancel(&filter)
        .await
        .expect("forwarded and accepted");
    wait_for(&pair, &second, |view| view.phase == JobPhase::Cancelled).await;

    assert_eq!(busy, 4, "both members' workers run tasks");
    assert_eq!(cancelled, vec![second]);
    let refused = pair.nodes[1]
        .submit(job(&key(0), 1, Resources::new(1, 1, 0), 1))
        .await;
    assert!(
        matches!(refused, Err(Refusal::KeyReused { .. })),
        "{refused:?}"
    );
    pair.stop.cancel();
}

async fn wait_for(pair: &Pair, id: &JobId, done: impl Fn(&JobView) -> bool) {
    for _ in 0..300 {
        let view = pair.nodes[0].show(id).await.expect("shard is ready");
        if view.as_ref().is_some_and(&done) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!(
        "job did not reach the expected state: {:?}",
        pair.nodes[0].show(id).await
    );
}
