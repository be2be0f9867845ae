//! A batch node that gains job shards within an epoch.

mod batch_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use batch_support::site::Agents;
use batch_support::{bundle, id, job, worker};
use sapphirecroft::batch::{BatchNode, BatchParts, HttpPeerClient};
use sapphirecroft::bundle::ActiveBundle;
use sapphirecroft::membership::{Ownership, SoleOwner};
use sapphirecroft::prelude::*;
use sapphirecroft::standin::KvServer;

/// Ownership that is granted only some time after the epoch begins, when the previous owner
/// releases it.
struct LateOwner {
    inner: SoleOwner,
    granted: AtomicBool,
}

impl LateOwner {
    fn is_granted(&self) -> bool {
        self.granted.load(Ordering::SeqCst)
    }
}

impl Ownership for LateOwner {
    fn me(&self) -> MemberId {
        self.inner.me()
    }

    fn epoch(&self) -> Epoch {
        self.inner.epoch()
    }

    fn is_active(&self) -> bool {
        true
    }

    fn epoch_adopted_at(&self) -> Millis {
        self.inner.epoch_adopted_at()
    }

    fn rack_owner(&self, rack: &RackId) -> Option<MemberId> {
        self.is_granted().then(|| self.inner.rack_owner(rack))?
    }

    fn shard_owner(&self, shard: u32) -> Option<MemberId> {
        self.is_granted().then(|| self.inner.shard_owner(shard))?
    }

    fn key_holders(&self, key: &str) -> Vec<MemberId> {
        self.inner.key_holders(key)
    }

    fn peer_addr(&self, _member: &MemberId) -> Option<String> {
        None
    }
}

/// Guards against job shards that stay without an acting owner because their previous owner
/// releases them only after the epoch has been adopted.
#[tokio::test(start_paused = true)]
async fn shards_gained_within_an_epoch_accept_jobs() {
    let ownership = Arc::new(LateOwner {
        inner: SoleOwner::new(id("m1")),
        granted: AtomicBool::new(false),
    });
    let active = Arc::new(ActiveBundle::default());
    active.raise(bundle());
    let node = BatchNode::new(BatchParts {
        region: id("r1"),
        store: KvServer::new(),
        agent: Arc::new(Agents(Default::default())),
        ownership: ownership.clone(),
        bundle: active,
        peers: Arc::new(HttpPeerClient::new(ownership.clone())),
        seed: 1,
    });
    node.set_vms(&[worker(0), worker(1)]);
    tokio::spawn(node.clone().run(CancellationToken::new()));
    tokio::time::sleep(Duration::from_secs(2)).await;

    ownership.granted.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let spec = job("late", 1, Resources::new(1000, 1000, 0), 1000);
    let submitted = node.submit(spec).await;

    assert!(submitted.is_ok(), "{submitted:?}");
}
