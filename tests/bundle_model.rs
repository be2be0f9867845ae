//! Model test with random calls of operators, restarts and faults. The version in force never
//! decreases, and processes that reach the store or each other agree within the bound of guarantee
//! P9.

mod bundle_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bundle_support::*;
use proptest::prelude::*;
use sapphirecroft::prelude::*;
use sapphirecroft::provider::Store;
use sapphirecroft::schema::config::{Proposal, ProposalState, Release};
use sapphirecroft::standin::KvServer;

const PROCESSES: usize = 4;

/// Number of processes that watch the store; the remaining ones depend on peers.
const WATCHERS: usize = 2;

/// Guarantee P9: a signed-off bundle is in effect everywhere within this time.
const BOUND: Duration = Duration::from_secs(8);

/// Interval of heartbeats between peers.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// One random step. The fields are indices and values, bound by name in `World::execute`.
#[derive(Clone, Debug)]
enum Step {
    Propose(usize, usize, u64),
    RollBack(usize, usize, u64),
    Review(usize, usize, usize),
    SignOff(usize, usize, usize),
    RollOut(usize, usize, usize),
    Race(usize, usize, usize, usize),
    FullWorkflow(usize, u64),
    RotateKey(usize, usize),
    LoseWrite(usize, usize, bool),
    CutStore(usize, bool),
    CutPeers(usize, usize, bool),
    Isolate(usize),
    Outage(bool),
    Restart(usize),
    OfferOldRecord(usize, usize),
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    let p = 0..PROCESSES;
    let o = 0..OPERATORS.len();
    let n = 0..8_usize;
    prop_oneof![
        2 => (p.clone(), o.clone(), 0..50_u64).prop_map(|(p, o, v)| Step::Propose(p, o, v)),
        1 => (p.clone(), o.clone(), 0..5_u64).prop_map(|(p, o, v)| Step::RollBack(p, o, v)),
        2 => (p.clone(), o.clone(), n.clone()).prop_map(|(p, o, n)| Step::Review(p, o, n)),
        2 => (p.clone(), o.clone(), n.clone()).prop_map(|(p, o, n)| Step::SignOff(p, o, n)),
        2 => (p.clone(), o.clone(), n.clone()).prop_map(|(p, o, n)| Step::RollOut(p, o, n)),
        2 => (p.clone(), p.clone(), n.clone(), n.clone())
            .prop_map(|(p, q, m, n)| Step::Race(p, q, m, n)),
        4 => (p.clone(), 0..50_u64).prop_map(|(p, v)| Step::FullWorkflow(p, v)),
        1 => (p.clone(), o).prop_map(|(p, o)| Step::RotateKey(p, o)),
        2 => (p.clone(), 0..4_usize, any::<bool>()).prop_map(|(p, n, a)| Step::LoseWrite(p, n, a)),
        2 => (p.clone(), any::<bool>()).prop_map(|(p, cut)| Step::CutStore(p, cut)),
        2 => (p.clone(), p.clone(), any::<bool>())
            .prop_map(|(p, q, cut)| Step::CutPeers(p, q, cut)),
        1 => p.clone().prop_map(Step::Isolate),
        1 => any::<bool>().prop_map(Step::Outage),
        2 => p.clone().prop_map(Step::Restart),
        1 => (p, n).prop_map(|(p, n)| Step::OfferOldRecord(p, n)),
        3 => Just(Step::Wait),
    ]
}

struct World {
    kv: std::sync::Arc<KvServer>,
    processes: Vec<(Process, CancellationToken)>,
    starts: usize,
    cut: BTreeSet<(usize, usize)>,
    min_versions: [Version; PROCESSES],
    proposals: Vec<Proposal>,
    released: BTreeMap<Version, Digest>,
    rolled_out: BTreeSet<ProposalId>,
    records: Vec<Vec<u8>>,
    generations: BTreeMap<usize, u64>,
    stored_version: Version,
}

impl World {
    async fn new() -> Self {
        let (kv, first) = site().await;
        let mut world = Self {
            kv,
            processes: Vec::new(),
            starts: 0,
            cut: BTreeSet::new(),
            min_versions: [Version(0); PROCESSES],
            proposals: Vec::new(),
            released: BTreeMap::new(),
            rolled_out: BTreeSet::new(),
            records: Vec::new(),
            generations: BTreeMap::new(),
            stored_version: Version(0),
        };
        drop(first);
        for index in 0..PROCESSES {
            let started = world.start(index);
            world.processes.push(started);
        }
        world
    }

    fn start(&mut self, index: usize) -> (Process, CancellationToken) {
        self.starts += 1;
        let started = process(&self.kv, &format!("entry-{index}-{}", self.starts));
        started.keeper.set_watcher(index < WATCHERS);
        let cancel = CancellationToken::new();
        let keeper = std::sync::Arc::clone(&started.keeper);
        let store: std::sync::Arc<dyn Store> = started.link.clone();
        let stop = cancel.clone();
        tokio::spawn(async move { keeper.run(store, stop).await });
        (started, cancel)
    }

    fn process(&self, index: usize) -> &Process {
        &self.processes[index].0
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && !self.cut.contains(&(a.min(b), a.max(b)))
    }

    /// Exchanges heartbeats and newer records between all pairs that reach each other.
    fn gossip(&self) -> Result<(), TestCaseError> {
        for to in 0..PROCESSES {
            for from in (0..PROCESSES).filter(|from| self.linked(*from, to)) {
                let (source, target) = (&self.process(from).keeper, &self.process(to).keeper);
                if target.receive_status(&source.status())
                    && let Some(record) = source.export()
                {
                    let accepted = target.offer(&record);
                    prop_assert!(accepted.is_ok(), "peer record is rejected: {accepted:?}");
                }
            }
        }
        Ok(())
    }

    async fn advance(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let mut left = time;
        while left > Duration::ZERO {
            tokio::time::sleep(HEARTBEAT.min(left)).await;
            left = left.saturating_sub(HEARTBEAT);
            self.gossip()?;
        }
        Ok(())
    }

    fn recent_proposal(&self, index: usize) -> Option<Proposal> {
        let recent = self.proposals.len().saturating_sub(3);
        let open = &self.proposals[recent..];
        (!open.is_empty()).then(|| open[index % open.len()].clone())
    }

    async fn execute(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Propose(p, o, number) => {
                let made = propose(self.process(p), OPERATORS[o], variant(number)).await;
                self.proposals.extend(made.ok().map(|view| view.proposal));
            }
            Step::RollBack(p, o, to) => {
                let manager = &self.process(p).manager;
                let made = manager.roll_back(&id(OPERATORS[o]), Version(to)).await;
                self.proposals.extend(made.ok().map(|view| view.proposal));
            }
            Step::Review(p, o, n) => {
                let Some(proposal) = self.recent_proposal(n) else {
                    return Ok(());
                };
                let done = review(self.process(p), OPERATORS[o], &proposal, true).await;
                let own = proposal.proposer.as_str() == OPERATORS[o];
                prop_assert!(!(own && done.is_ok()), "proposer reviewed");
            }
            Step::SignOff(p, o, n) => {
                let Some(proposal) = self.recent_proposal(n) else {
                    return Ok(());
                };
                self.sign_off(p, o, &proposal).await?;
            }
            Step::RollOut(p, o, n) => {
                let Some(proposal) = self.recent_proposal(n) else {
                    return Ok(());
                };
                let manager = self.process(p).manager.clone();
                let result = manager.roll_out(&id(OPERATORS[o]), &proposal.id).await;
                self.check_roll_outs(vec![(proposal, result)]).await?;
            }
            Step::Race(p, q, m, n) => {
                let (Some(one), Some(two)) = (self.recent_proposal(m), self.recent_proposal(n))
                else {
                    return Ok(());
                };
                let (a, b) = (
                    self.process(p).manager.clone(),
                    self.process(q).manager.clone(),
                );
                let (ana, cam) = (id("ana"), id("cam"));
                let (x, y) = tokio::join!(a.roll_out(&ana, &one.id), b.roll_out(&cam, &two.id));
                self.check_roll_outs(vec![(one, x), (two, y)]).await?;
            }
            Step::FullWorkflow(p, number) => {
                let Ok(view) = propose(self.process(p), "ana", variant(number)).await else {
                    return Ok(());
                };
                let proposal = view.proposal;
                self.proposals.push(proposal.clone());
                let _ = review(self.process(p), "bo", &proposal, true).await;
                self.sign_off(p, 1, &proposal).await?;
                let manager = self.process(p).manager.clone();
                let result = manager.roll_out(&id("cam"), &proposal.id).await;
                self.check_roll_outs(vec![(proposal, result)]).await?;
            }
            Step::RotateKey(p, o) => self.rotate(p, o).await,
            Step::LoseWrite(p, skip, answer) => {
                let loss = if answer {
                    Loss::Response
                } else {
                    Loss::Request
                };
                self.process(p).link.lose_write(skip, loss);
            }
            Step::CutStore(p, cut) => self.process(p).link.set_cut(cut),
            Step::CutPeers(a, b, cut) => {
                let pair = (a.min(b), a.max(b));
                if cut {
                    self.cut.insert(pair);
                } else {
                    self.cut.remove(&pair);
                }
            }
            Step::Isolate(p) => {
                let others = (0..PROCESSES).filter(|other| *other != p);
                self.cut
                    .extend(others.map(|other| (p.min(other), p.max(other))));
            }
            Step::Outage(down) => self.kv.faults.set_down(down),
            Step::Restart(p) => {
                self.processes[p].1.cancel();
                let cut = self.process(p).link.is_cut();
                let started = self.start(p);
                started.0.link.set_cut(cut);
                self.processes[p] = started;
                self.min_versions[p] = Version(0);
            }
            Step::OfferOldRecord(p, n) => {
                if let Some(record) = self.records.get(n % self.records.len().max(1)) {
                    let _ = self.process(p).keeper.offer(record);
                }
            }
            Step::Wait => {
                self.advance(BOUND).await?;
                self.check_agreement().await?;
            }
        }
        Ok(())
    }

    async fn sign_off(&self, p: usize, o: usize, proposal: &Proposal) -> Result<(), TestCaseError> {
        let generation = self.generations.get(&o).copied().unwrap_or(0);
        let req = sign(OPERATORS[o], generation, proposal);
        let manager = &self.process(p).manager;
        let done = manager.sign_off(&id(OPERATORS[o]), &proposal.id, req).await;
        let own = proposal.proposer.as_str() == OPERATORS[o];
        prop_assert!(!(own && done.is_ok()), "proposer signed off");
        Ok(())
    }

    async fn rotate(&mut self, p: usize, o: usize) {
        let Ok(view) = self.process(p).manager.ring().await else {
            return;
        };
        let signed = view.ring.expect("ring exists");
        let mut ring = trust().verify_ring(&signed).expect("ring is valid");
        let generation = self.generations.get(&o).copied().unwrap_or(0) + 1;
        let public = operator_key(OPERATORS[o], generation).public();
        ring.rotate(&id(OPERATORS[o]), public, None, view.version)
            .expect("operator exists");
        let manager = &self.process(p).manager;
        if manager.change_ring(None, ring_request(&ring)).await.is_ok() {
            self.generations.insert(o, generation);
        }
    }

    /// Checks the results of roll-outs against the store: one that succeeded took effect, and one
    /// that failed did not, unless its outcome is unknown.
    async fn check_roll_outs(
        &mut self,
        results: Vec<(Proposal, Result<Release, BundleError>)>,
    ) -> Result<(), TestCaseError> {
        for (proposal, result) in &results {
            if matches!(result, Ok(_) | Err(BundleError::Unknown { .. })) {
                self.rolled_out.insert(proposal.id.clone());
            }
        }
        let down = self.kv.faults.is_down();
        self.kv.faults.set_down(false);
        let reader = process(&self.kv, "reader");
        for (proposal, result) in results {
            let view = reader
                .manager
                .proposal(&proposal.id)
                .await
                .expect("readable");
            let in_force = view.state == ProposalState::RolledOut;
            prop_assert!(
                !in_force || self.rolled_out.contains(&proposal.id),
                "{result:?}"
            );
            prop_assert!(in_force || result.is_err(), "{result:?}");
        }
        self.kv.faults.set_down(down);
        Ok(())
    }

    /// Checks that no version decreased, none has two contents, and none is newer than the store's.
    async fn check_versions(&mut self) -> Result<(), TestCaseError> {
        for index in 0..PROCESSES {
            let keeper = self.process(index).keeper.clone();
            let version = keeper.newest();
            prop_assert!(
                version >= self.min_versions[index],
                "version of process {} decreased",
                index
            );
            self.min_versions[index] = version;
            if let Some(record) = keeper.export() {
                self.records.push(record);
            }
        }
        let down = self.kv.faults.is_down();
        self.kv.faults.set_down(false);
        let current = process(&self.kv, "reader")
            .manager
            .current()
            .await
            .expect("readable");
        self.kv.faults.set_down(down);
        prop_assert!(
            current.version >= self.stored_version,
            "version in the store decreased"
        );
        self.stored_version = current.version;
        if let Some(release) = current.release {
            prop_assert_ne!(&release.sign_off.signer, &release.proposer);
            let known = *self
                .released
                .entry(release.version)
                .or_insert(release.digest);
            prop_assert_eq!(known, release.digest, "version {} changed", release.version);
        }
        for index in 0..PROCESSES {
            prop_assert!(self.process(index).keeper.newest() <= self.stored_version);
        }
        Ok(())
    }

    /// Checks that each group of connected processes has one version, which is the store's if any
    /// of the group reaches the store.
    async fn check_agreement(&self) -> Result<(), TestCaseError> {
        let up = !self.kv.faults.is_down();
        let mut groups: Vec<BTreeSet<usize>> = (0..PROCESSES).map(|i| [i].into()).collect();
        for _ in 0..PROCESSES {
            for group in &mut groups {
                let reachable: Vec<usize> = (0..PROCESSES)
                    .filter(|i| group.iter().any(|j| self.linked(*i, *j)))
                    .collect();
                group.extend(reachable);
            }
        }
        for group in groups {
            let reaches_store = up && group.iter().any(|i| !self.process(*i).link.is_cut());
            for index in &group {
                let version_in_force = self.process(*index).keeper.newest();
                let first = group.first().copied().unwrap_or(*index);
                let expected = match reaches_store {
                    true => self.stored_version,
                    false => self.process(first).keeper.newest(),
                };
                prop_assert_eq!(
                    version_in_force,
                    expected,
                    "process {} of group {:?}",
                    index,
                    group
                );
            }
        }
        Ok(())
    }
}

/// Runs the steps, then repairs all faults and checks that all processes agree.
async fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::new().await;
    for step in steps {
        world.execute(step).await?;
        world.check_versions().await?;
    }
    world.kv.faults.set_down(false);
    world.cut.clear();
    for index in 0..PROCESSES {
        let link = &world.process(index).link;
        link.set_cut(false);
        link.losses.lock().clear();
    }
    world.advance(BOUND).await?;
    world.check_versions().await?;
    world.check_agreement().await?;
    let rings: BTreeSet<u64> = (0..PROCESSES)
        .map(|index| world.process(index).keeper.ring_serial())
        .collect();
    prop_assert_eq!(rings.len(), 1, "key rings differ: {:?}", rings);
    let report = world
        .process(0)
        .audit
        .verify()
        .await
        .expect("trail is readable");
    prop_assert!(report.faults.is_empty(), "{:?}", report.faults);
    for (_, cancel) in &world.processes {
        cancel.cancel();
    }
    Ok(())
}

/// Guards against a version that decreases, has two contents or is in force without a sign-off by
/// another operator, and against processes that disagree, after races, lost responses, partitions
/// and restarts.
#[test]
fn versions_never_decrease_and_processes_agree_within_the_bound() {
    let steps = prop::collection::vec(step(), 1..40);
    runner(150, 11)
        .run(&steps, |steps| run(run_steps(&steps)))
        .unwrap_or_else(|err| panic!("{err}"));
}
