//! Fixtures for tests of bundles: operators with keys, entry processes, and access to a shared
//! store with faults that are injected per process.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use parking_lot::Mutex;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sapphirecroft::audit::AuditTrail;
use sapphirecroft::bundle::{
    ActiveBundle, BundleKeeper, BundleManager, PrivateKey, Trust, digest_of, key_id, sign_ring,
};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{CasOutcome, Expected, Record, Store, WallClock};
use sapphirecroft::records::Records;
use sapphirecroft::schema::config::{
    KeyRing, OperatorKey, OperatorRecord, Proposal, ProposalView, ProposeRequest, ReviewRequest,
    RingRequest, Role, SignOffRequest,
};
use sapphirecroft::standin::KvServer;
use tokio::sync::Notify;

pub const OPERATORS: [&str; 3] = ["ana", "bo", "cam"];

/// Roles of an operator with all permissions.
pub const ALL_ROLES: [Role; 7] = [
    Role::Propose,
    Role::Review,
    Role::SignOff,
    Role::RollOut,
    Role::Keys,
    Role::Audit,
    Role::Operate,
];

/// Fault of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The write takes effect and its response is lost.
    Response,
    /// The request is lost, so the write does not take effect.
    Request,
}

/// Access of one process to the shared store, with injected faults.
pub struct Link {
    pub kv: Arc<KvServer>,
    pub losses: Mutex<VecDeque<Option<Loss>>>,
    pauses: std::sync::atomic::AtomicBool,
    missed: AtomicU64,
    paused: Notify,
    resumed: Notify,
    cut: std::sync::atomic::AtomicBool,
}

impl Link {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Injects a fault into the write after the next `skip` ones.
    pub fn lose_write(&self, skip: usize, loss: Loss) {
        let mut losses = self.losses.lock();
        losses.clear();
        losses.extend(vec![None; skip]);
        losses.push_back(Some(loss));
    }

    /// Blocks the caller at the next lost response until `resume`.
    pub fn pause_after_loss(&self) {
        self.pauses.store(true, Ordering::SeqCst);
    }

    /// Drops the changes that the next `count` notified watches would return.
    pub fn miss_notifications(&self, count: u64) {
        self.missed.store(count, Ordering::SeqCst);
    }

    /// Waits until a caller is blocked by `pause_after_loss`.
    pub async fn until_paused(&self) {
        self.paused.notified().await;
    }

    pub fn resume(&self) {
        self.resumed.notify_one();
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.is_cut() {
            return Err(StoreError::Unavailable("link is cut".to_string()));
        }
        Ok(())
    }
}

#[async_trait]
impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.check()?;
        tokio::task::yield_now().await;
        self.kv.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.check()?;
        self.kv.list(prefix).await
    }

    async fn cas(
        &self,
        key: &str,
        expected: Expected,
        value: Option<Vec<u8>>,
        lease: Option<&str>,
    ) -> Result<CasOutcome, StoreError> {
        self.check()?;
        tokio::task::yield_now().await;
        let loss = self.losses.lock().pop_front().flatten();
        if loss == Some(Loss::Request) {
            return Err(StoreError::AnswerLost("request was lost".to_string()));
        }
        let outcome = self.kv.cas(key, expected, value, lease).await?;
        if loss == Some(Loss::Response) {
            if self.pauses.swap(false, Ordering::SeqCst) {
                self.paused.notify_one();
                self.resumed.notified().await;
            }
            return Err(StoreError::AnswerLost("answer was lost".to_string()));
        }
        Ok(outcome)
    }

    async fn keep_lease(&self, lease: &str, ttl: Millis, create: bool) -> Result<bool, StoreError> {
        self.check()?;
        self.kv.keep_lease(lease, ttl, create).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Record>, StoreError> {
        self.check()?;
        let found = self.kv.watch(prefix, after, wait).await?;
        let is_missed = !found.is_empty()
            && self
                .missed
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
                    count.checked_sub(1)
                })
                .is_ok();
        if is_missed {
            tokio::time::sleep(wait.into()).await;
            return Ok(Vec::new());
        }
        Ok(found)
    }
}

/// The parts of one entry process that handle bundles.
pub struct Process {
    pub link: Arc<Link>,
    pub records: Arc<Records>,
    pub keeper: Arc<BundleKeeper>,
    pub manager: Arc<BundleManager>,
    pub audit: Arc<AuditTrail>,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("identifier is valid")
}

pub fn root_key() -> PrivateKey {
    PrivateKey::from_seed([7; 32])
}

/// Returns the private key of an operator; generation 0 is the one before any rotation.
pub fn operator_key(name: &str, generation: u64) -> PrivateKey {
    PrivateKey::from_seed(digest_of(format!("{name} {generation}").as_bytes()).0)
}

pub fn token_of(name: &str) -> String {
    format!("token of {name}")
}

pub fn trust() -> Trust {
    Trust {
        site: id("tulua"),
        roots: vec![root_key().public()],
    }
}

/// Returns a clock that advances by a second with every reading.
pub fn test_clock() -> WallClock {
    let ticks = AtomicU64::new(1_800_000_000);
    Arc::new(move || Timestamp(ticks.fetch_add(1, Ordering::SeqCst) * 1000))
}

pub fn process(kv: &Arc<KvServer>, name: &str) -> Process {
    let link = Arc::new(Link {
        kv: Arc::clone(kv),
        losses: Mutex::default(),
        pauses: false.into(),
        missed: AtomicU64::new(0),
        paused: Notify::new(),
        resumed: Notify::new(),
        cut: false.into(),
    });
    let store: Arc<dyn Store> = Arc::clone(&link) as Arc<dyn Store>;
    let records = Arc::new(Records::new(store, id(name)));
    let keeper = Arc::new(BundleKeeper::new(
        trust(),
        Arc::new(ActiveBundle::default()),
    ));
    let clock = test_clock();
    let audit = Arc::new(AuditTrail::new(Arc::clone(&records), Arc::clone(&clock)));
    let manager = Arc::new(BundleManager::new(
        Arc::clone(&records),
        trust(),
        Arc::clone(&audit),
        Arc::clone(&keeper),
        clock,
    ));
    Process {
        link,
        records,
        keeper,
        manager,
        audit,
    }
}

pub fn operator(name: &str, roles: &[Role]) -> OperatorRecord {
    let public = operator_key(name, 0).public();
    let key = OperatorKey {
        id: key_id(&public),
        public,
        from: Version(1),
        until: None,
    };
    OperatorRecord {
        name: id(name),
        roles: roles.to_vec(),
        teams: Vec::new(),
        all_teams: true,
        keys: roles
            .contains(&Role::SignOff)
            .then_some(key)
            .into_iter()
            .collect(),
        token: Some(digest_of(token_of(name).as_bytes())),
    }
}

pub fn first_ring() -> KeyRing {
    KeyRing {
        site: id("tulua"),
        serial: 1,
        operators: OPERATORS
            .iter()
            .map(|name| operator(name, &ALL_ROLES))
            .collect(),
    }
}

pub fn ring_request(ring: &KeyRing) -> RingRequest {
    RingRequest {
        ring: sign_ring(ring, &root_key()).expect("ring can be signed"),
        change: "test".to_string(),
    }
}

/// Reads and verifies the key ring in the store.
pub async fn stored_ring(process: &Process) -> KeyRing {
    let view = process.manager.ring().await.expect("store answers");
    trust()
        .verify_ring(&view.ring.expect("ring exists"))
        .expect("ring is valid")
}

/// Returns a store that contains the first key ring and no bundle, and a process.
pub async fn site() -> (Arc<KvServer>, Process) {
    let kv = KvServer::new();
    let first = process(&kv, "entry-0");
    first
        .manager
        .change_ring(None, ring_request(&first_ring()))
        .await
        .expect("first ring is accepted");
    (kv, first)
}

pub fn example() -> String {
    std::fs::read_to_string("examples/tulua/bundle.ini").expect("example is readable")
}

/// Returns a valid bundle that differs from the example and from other variants in one value.
pub fn variant(number: u64) -> String {
    example().replace("per_hour = 120", &format!("per_hour = {}", 200 + number))
}

pub async fn propose(
    process: &Process,
    who: &str,
    text: String,
) -> Result<ProposalView, BundleError> {
    let req = ProposeRequest { text, base: None };
    process.manager.propose(&id(who), req).await
}

pub async fn review(
    process: &Process,
    who: &str,
    proposal: &Proposal,
    approve: bool,
) -> Result<ProposalView, BundleError> {
    let req = ReviewRequest {
        digest: proposal.digest,
        approve,
        note: String::new(),
    };
    process.manager.review(&id(who), &proposal.id, req).await
}

pub fn sign(who: &str, generation: u64, proposal: &Proposal) -> SignOffRequest {
    let key = operator_key(who, generation);
    SignOffRequest {
        key: key.id(),
        signature: key.sign(&proposal.subject(&id("tulua")).message()),
    }
}

pub async fn sign_off(
    process: &Process,
    who: &str,
    proposal: &Proposal,
) -> Result<ProposalView, BundleError> {
    let req = sign(who, 0, proposal);
    process.manager.sign_off(&id(who), &proposal.id, req).await
}

/// Proposes, reviews and signs off a bundle.
pub async fn signed(process: &Process, text: String) -> Proposal {
    let proposal = propose(process, "ana", text)
        .await
        .expect("proposed")
        .proposal;
    review(process, "bo", &proposal, true)
        .await
        .expect("reviewed");
    let view = sign_off(process, "bo", &proposal).await;
    view.expect("signed off").proposal
}

/// Proposes, reviews, signs off and rolls out a bundle; returns its version.
pub async fn release(process: &Process, text: String) -> Version {
    let proposal = signed(process, text).await;
    let released = process.manager.roll_out(&id("cam"), &proposal.id).await;
    released.expect("rolled out").version
}

pub fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Runs a future on a runtime with virtual time, which advances only when all tasks wait.
pub fn run<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime starts")
        .block_on(future)
}
