//! A batch node with in-process stand-ins of the key-value service and the worker agents.

use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use sapphirecroft::batch::{BatchNode, BatchParts, HttpPeerClient};
use sapphirecroft::bundle::{ActiveBundle, BundleInForce};
use sapphirecroft::membership::SoleOwner;
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{AgentCommand, WorkerAgent};
use sapphirecroft::schema::batch::JobView;
use sapphirecroft::schema::vm::VmRecord;
use sapphirecroft::schema::worker::{AgentReply, TaskPhase};
use sapphirecroft::standin::{Checkpoints, KvServer, WorkerServer};

use super::id;

/// Stand-in worker agents by address.
pub struct Agents(pub BTreeMap<String, Arc<WorkerServer>>);

#[async_trait]
impl WorkerAgent for Agents {
    async fn send(&self, addr: &str, command: AgentCommand) -> Result<AgentReply, PlatformError> {
        let server = self.0.get(addr).ok_or_else(|| PlatformError::NoAnswer {
            target: addr.to_string(),
            reason: "no such agent".to_string(),
        })?;
        if server.inspect(|worker| worker.faults.is_silent()) {
            tokio::time::sleep(Duration::from_secs(2)).await;
            return Err(PlatformError::NoAnswer {
                target: addr.to_string(),
                reason: "worker is unresponsive".to_string(),
            });
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        Ok(server.command(command))
    }
}

/// A running batch node with its stand-ins.
pub struct Site {
    pub node: Arc<BatchNode>,
    pub store: Arc<KvServer>,
    pub agents: Arc<Agents>,
    pub started: tokio::time::Instant,
    stop: CancellationToken,
}

impl Site {
    /// Starts a node over the workers and waits until its shards are ready.
    pub async fn start(vms: Vec<VmRecord>, bundle: BundleInForce) -> Self {
        let checkpoints = Checkpoints::default();

        let agents = Arc::new(Agents(
            vms.iter()
                .map(|vm| {
                    let server = WorkerServer::new(
                        vm.vm.clone(),
                        vm.capacity,
                        checkpoints.clone(),
                        tokio::time::Instant::now(),
                    );
                    (vm.agent.clone(), server)
                })
                .collect(),
        ));
        let store = KvServer::new();
        let active = Arc::new(ActiveBundle::default());
        active.raise(bundle);
        let mut site = Self {
            node: make_node(&store, &agents, &active),
            store,
            agents,
            started: tokio::time::Instant::now(),
            stop: CancellationToken::new(),
        };
        site.node.set_vms(&vms);
        site.run();
        tokio::time::sleep(Duration::from_secs(2)).await;
        site
    }

    fn run(&mut self) {
        tokio::spawn(self.node.clone().run(self.stop.clone()));
    }

    /// Polls a job until `done` accepts it. Panics after 120 s.
    pub async fn until(&self, id: &JobId, done: impl Fn(&JobView) -> bool) -> JobView {
        for _ in 0..1200 {
            let view = self.node.show(id).await.expect("shard is ready");
            if let Some(view) = view.filter(|view| done(view)) {
                return view;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let view = self.node.show(id).await;
        panic!("job did not reach the expected state: {view:?}");
    }

    /// Returns the worker, task and attempt of every start so far.
    pub fn starts(&self) -> Vec<(VmId, TaskId, Attempt)> {
        let mut starts = Vec::new();
        for server in self.agents.0.values() {
            server.inspect(|worker| {
                for event in worker.events() {
                    if event.phase == TaskPhase::Running {
                        let vm = worker.state().vm;
                        starts.push((vm, event.task.clone(), event.attempt));
                    }
                }
            });
        }
        starts
    }
}

fn make_node(
    store: &Arc<KvServer>,
    agents: &Arc<Agents>,
    bundle: &Arc<ActiveBundle>,
) -> Arc<BatchNode> {
    let ownership = Arc::new(SoleOwner::new(id("m1")));
    BatchNode::new(BatchParts {
        region: id("r1"),
        store: store.clone(),
        agent: agents.clone(),
        ownership: ownership.clone(),
        bundle: bundle.clone(),
        peers: Arc::new(HttpPeerClient::new(ownership)),
        seed: 1,
    })
}
