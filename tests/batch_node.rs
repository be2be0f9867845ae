//! The batch node against the in-process stand-ins, in virtual time.

mod batch_support;

use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use batch_support::{bundle, id, job, worker};
use sapphirecroft::batch::{BatchNode, BatchParts, PeerCalls, Refusal};
use sapphirecroft::bundle::ActiveBundle;
use sapphirecroft::membership::SoleOwner;
use sapphirecroft::platform::{AgentCommand, WorkerAgent};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{JobFilter, JobPhase, JobSpec, JobView};
use sapphirecroft::schema::worker::{AgentReply, TaskPhase};
use sapphirecroft::standin::{Checkpoints, KvServer, WorkerServer};

struct Agents(BTreeMap<String, Arc<WorkerServer>>);

#[async_trait]
impl WorkerAgent for Agents {
    async fn send(&self, addr: &str, command: AgentCommand) -> Result<AgentReply, PlatformError> {
        let server = self.0.get(addr).ok_or_else(|| PlatformError::NoAnswer {
            target: addr.to_string(),
            reason: "no such agent".to_string(),
        })?;
        tokio::time::sleep(Duration::from_millis(2)).await;
        Ok(server.command(command))
    }
}

struct Site {
    node: Arc<BatchNode>,
    store: Arc<KvServer>,
    agents: Arc<Agents>,
    stop: CancellationToken,
}

impl Site {
    async fn start(workers: usize) -> Self {
        let checkpoints = Checkpoints::default();
        let vms: Vec<_> = (0..workers).map(worker).collect();
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
        active.raise(bundle());
        let mut site = Self {
            node: make_node(&store, &agents, &active),
            store,
            agents,
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

    async fn until(&self, id: &JobId, done: impl Fn(&JobView) -> bool) -> JobView {
        for _ in 0..1200 {
            let view = self.node.show(id).await.expect("shard is ready");
            if let Some(view) = view.filter(|view| done(view)) {
                return view;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let view = self.node.show(id).await;
        panic!("job did not get there: {view:?}");
    }

    fn starts(&self) -> Vec<(VmId, TaskId, Attempt)> {
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
        calls: Arc::new(PeerCalls::new(ownership)),
        seed: 1,
    })
}

fn small(key: &str, tasks: u32, run_time: u64) -> JobSpec {
    job(key, tasks, Resources::new(1000, 1000, 0), run_time)
}

/// Guards against a broken link anywhere between submission and the acknowledged finish.
#[tokio::test(start_paused = true)]
async fn a_job_is_submitted_placed_run_and_finished() {
    let site = Site::start(4).await;

    let id = site
        .node
        .submit(small("a", 10, 3000))
        .await
        .expect("accepted");
    let view = site.until(&id, |view| view.phase == JobPhase::Done).await;

    assert_eq!((view.done, view.assigned, view.pending), (10, 0, 0));
    assert_eq!(site.starts().len(), 10);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for server in site.agents.0.values() {
        let left = server.inspect(|worker| worker.state().tasks.len());
        assert_eq!(left, 0, "ended attempts are acknowledged");
    }
}

/// Guards against a second job when a caller repeats a submission.
#[tokio::test(start_paused = true)]
async fn a_repeated_submission_gives_the_same_job() {
    let site = Site::start(2).await;

    let first = site
        .node
        .submit(small("a", 1, 1000))
        .await
        .expect("accepted");
    let second = site
        .node
        .submit(small("a", 1, 1000))
        .await
        .expect("accepted");
    let other = site.node.submit(small("a", 2, 1000)).await;

    assert_eq!(first, second);
    assert!(matches!(other, Err(Refusal::KeyReused { .. })), "{other:?}");
}

/// Guards against jobs that wait for ever because no worker or quota can hold them.
#[tokio::test(start_paused = true)]
async fn jobs_that_can_never_run_are_refused_with_the_reason() {
    let site = Site::start(2).await;
    let large = job("large", 1, Resources::new(9000, 1000, 0), 1000);
    let mut stranger = small("stranger", 1, 1000);
    stranger.team = id("nobody");
    let many = job("quota", 1, Resources::new(1000, 1000, 1), 1000);

    for (spec, reason) in [
        (large, "that large"),
        (stranger, "no quota"),
        (many, "quota of"),
    ] {
        let refusal = site.node.submit(spec).await.expect_err("refused");

        assert!(
            matches!(&refusal, Refusal::Impossible(text) if text.contains(reason)),
            "{refusal}"
        );
    }
}

/// Guards against work that goes on, or is forgotten, after an acknowledged cancellation.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let site = Site::start(2).await;
    let mut spec = small("a", 30, 600_000);
    spec.labels.insert("field".to_string(), "north".to_string());
    let id = site.node.submit(spec).await.expect("accepted");
    let other = site
        .node
        .submit(small("b", 1, 5000))
        .await
        .expect("accepted");
    site.until(&id, |view| view.assigned > 10).await;
    let mut filter = JobFilter {
        job: None,
        team: None,
        labels: BTreeMap::new(),
    };
    filter
        .labels
        .insert("field".to_string(), "north".to_string());

    let cancelled = site.node.cancel(&filter).await.expect("cancelled");
    let view = site
        .until(&id, |view| view.phase == JobPhase::Cancelled)
        .await;

    assert_eq!(cancelled, vec![id]);
    assert_eq!((view.cancelled, view.assigned), (30, 0));
    site.until(&other, |view| view.phase == JobPhase::Done)
        .await;
}

/// Guards against an acknowledgement of work that is not durable, and against silent loss.
#[tokio::test(start_paused = true)]
async fn submissions_are_refused_while_the_store_is_down_and_resolved_after_a_lost_answer() {
    let site = Site::start(2).await;
    site.store.faults.set_down(true);
    let refused = site.node.submit(small("a", 1, 1000)).await;
    site.store.faults.set_down(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.faults.lose_answers(1);

    let accepted = site.node.submit(small("b", 1, 1000)).await;

    assert!(
        matches!(refused, Err(Refusal::NotAccepted(_))),
        "{refused:?}"
    );
    let id = accepted.expect("the write took effect and a read showed it");
    site.until(&id, |view| view.phase == JobPhase::Done).await;
    assert_eq!(site.starts().len(), 1);
}

/// Guards against evicted work that starts over, or resumes twice.
#[tokio::test(start_paused = true)]
async fn an_evicted_task_resumes_once_from_its_checkpoint() {
    let site = Site::start(4).await;
    let id = site
        .node
        .submit(small("a", 1, 20_000))
        .await
        .expect("accepted");
    site.until(&id, |view| view.assigned == 1).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let (vm, task, _) = site.starts()[0].clone();

    assert!(site.node.evict(&vm, &task));
    let before = tokio::time::Instant::now();
    site.until(&id, |view| view.phase == JobPhase::Done).await;

    assert_eq!(site.starts().len(), 2);
    let took = before.elapsed().as_secs();
    assert!((8..18).contains(&took), "resumed run took {took} s");
}
