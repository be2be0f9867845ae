//! Model test: drives the dispatcher with random events and compares it with a simple oracle.

mod requests_support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use requests_support::*;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;
use serde_json::json;

const SEQUENCES: u32 = 2500;
const CLASSES: [&str; 3] = ["urgent", "normal", "patient"];
const BURST: u64 = 10_000;

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        class: usize,
        team: bool,
        deadline: u64,
        idempotent: bool,
        forwarded: bool,
    },
    Finish(usize, Outcome),
    Retry(usize, Outcome),
    Hedge(usize),
    EndAttempt(usize, Outcome),
    Cancel(usize),
    Advance(u64),
    Endpoints(Vec<(usize, u32, bool)>),
    Peers(u32),
    Configure(u32),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => (1..80u64).prop_map(success),
        1 => (1..80u64).prop_map(|ms| Outcome::Failure { latency: Millis(ms) }),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::NotSent),
        2 => Just(Outcome::Stalled),
        1 => Just(Outcome::Broken),
        1 => Just(Outcome::Abandoned),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let arrive = (
        0..3usize,
        any::<bool>(),
        1..4000u64,
        any::<bool>(),
        any::<bool>(),
    );
    let arrive = arrive.prop_map(
        |(class, team, deadline, idempotent, forwarded)| Event::Arrive {
            class,
            team,
            deadline,
            idempotent,
            forwarded,
        },
    );
    let endpoints = prop::collection::vec((0..6usize, 0..4u32, prop::bool::weighted(0.2)), 0..6);
    prop_oneof![
        12 => arrive,
        8 => (any::<usize>(), outcome()).prop_map(|(at, end)| Event::Finish(at, end)),
        5 => (any::<usize>(), outcome()).prop_map(|(at, end)| Event::Retry(at, end)),
        2 => any::<usize>().prop_map(Event::Hedge),
        1 => (any::<usize>(), outcome()).prop_map(|(at, end)| Event::EndAttempt(at, end)),
        1 => any::<usize>().prop_map(Event::Cancel),
        5 => prop_oneof![1..50u64, 50..3000u64].prop_map(Event::Advance),
        2 => endpoints.prop_map(Event::Endpoints),
        1 => (0..4u32).prop_map(Event::Peers),
        1 => prop_oneof![Just(0u32), Just(100), Just(1000)].prop_map(Event::Configure),
    ]
}

/// Request that the dispatcher tracks.
#[derive(Debug)]
struct TrackedRequest {
    idempotent: bool,
    forwarded: bool,
    since: Millis,
    deadline: Millis,
    class: usize,
    attempts: Vec<VmId>,
    except: Option<VmId>,
    may_have_run: bool,
}

struct Oracle {
    dispatcher: Dispatcher,
    now: Millis,
    version: u64,
    permille: u64,
    tokens: u64,
    endpoints: BTreeMap<VmId, EndpointShare>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    next: u64,
}

impl Oracle {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(3, 2),
            now: Millis::ZERO,
            version: 1,
            permille: 100,
            tokens: BURST,
            endpoints: by_vm(shares(3, 2)),
            tracked: BTreeMap::new(),
            next: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive {
                class,
                team,
                deadline,
                idempotent,
                forwarded,
            } => {
                self.arrive(class, team, deadline, idempotent, forwarded);
            }
            Event::Finish(at, outcome) => {
                if let Some(id) = self.nth(at, |tracked| !tracked.attempts.is_empty()) {
                    self.tracked.remove(&id);
                    let out = self.dispatcher.finish(id, outcome, self.now);
                    self.verdicts(out);
                }
            }
            Event::Retry(at, outcome) => self.retry(at, outcome),
            Event::Hedge(at) => self.hedge(at),
            Event::EndAttempt(at, outcome) => {
                if let Some(id) = self.nth(at, |tracked| tracked.attempts.len() == 2) {
                    let tracked = self.tracked.get_mut(&id).expect("is tracked");
                    let vm = tracked.attempts.remove(at % 2);
                    tracked.may_have_run |= !outcome.is_not_run();
                    let out = self.dispatcher.end_attempt(id, &vm, outcome, self.now);
                    self.verdicts(out);
                }
            }
            Event::Cancel(at) => {
                if let Some(id) = self.nth(at, |_| true) {
                    self.tracked.remove(&id);
                    let out = self.dispatcher.cancel(id, self.now);
                    self.verdicts(out);
                }
            }
            Event::Advance(ms) => self.now = self.now + Millis(ms),
            Event::Endpoints(list) => {
                let mut list: Vec<_> = list
                    .into_iter()
                    .map(|(vm, slots, leaving)| EndpointShare {
                        leaving,
                        ..share(vm, slots)
                    })
                    .collect();
                list.dedup_by(|a, b| a.vm == b.vm);
                self.endpoints = by_vm(list.clone());
                self.dispatcher.set_endpoints(&service(), list, self.now);
            }
            Event::Peers(free_slots) => {
                let peer = PeerLoad {
                    member: id("peer"),
                    zone: id("buga"),
                    free_slots,
                    queue_delay: Millis::ZERO,
                    age: Millis::ZERO,
                };
                self.dispatcher.set_peers(&service(), vec![peer], self.now);
            }
            Event::Configure(permille) => {
                self.version += 1;
                self.permille = u64::from(permille);
                self.clamp_tokens();
                let changes = json!({"retry_budget_permille": permille});
                self.dispatcher
                    .configure(&bundle_with(self.version, changes), self.now);
            }
        }
        self.deliver_and_check();
    }

    fn arrive(
        &mut self,
        class: usize,
        team: bool,
        deadline: u64,
        idempotent: bool,
        forwarded: bool,
    ) {
        let number = RequestId(self.next);
        self.next += 1;
        let req = IncomingRequest {
            team: team.then(|| id("crews")),
            deadline: Some(Millis(deadline)),
            idempotent,
            forwarded,
            ..request_of_class(number.0, CLASSES[class])
        };
        let tracked = TrackedRequest {
            idempotent,
            forwarded,
            since: self.now,
            deadline: self.now + Millis(deadline),
            class,
            attempts: Vec::new(),
            except: None,
            may_have_run: false,
        };
        self.tracked.insert(number, tracked);
        match self.dispatcher.dispatch(req, self.now) {
            Verdict::Wait => {}
            verdict => self.verdict(number, verdict),
        }
    }

    fn retry(&mut self, at: usize, outcome: Outcome) {
        let Some(id) = self.nth(at, |tracked| !tracked.attempts.is_empty()) else {
            return;
        };
        let tracked = self.tracked.get_mut(&id).expect("is tracked");
        tracked.may_have_run |= !outcome.is_not_run() || tracked.attempts.len() > 1;
        // A request on a stalled connection may be retried at the same endpoint if it is the only
        // one, since a new connection there may work.
        let only = |vm: &VmId| {
            let mut others = self.endpoints.values().filter(|share| share.vm != *vm);
            others.all(|share| share.leaving || share.slots == 0)
        };
        let used = tracked.attempts.first().cloned();
        tracked.except = used.filter(|vm| outcome != Outcome::Stalled || !only(vm));
        tracked.attempts.clear();
        tracked.since = self.now;
        let (verdict, out) = self.dispatcher.retry(id, outcome, self.now);
        if matches!(verdict, Verdict::Send(_) | Verdict::Wait) && !outcome.is_not_run() {
            self.spend();
        }
        match verdict {
            Verdict::Wait => assert!(self.may_send(id), "waits although it may not be sent"),
            verdict => self.verdict(id, verdict),
        }
        self.verdicts(out);
    }

    fn hedge(&mut self, at: usize) {
        let Some(id) = self.nth(at, |tracked| !tracked.attempts.is_empty()) else {
            return;
        };
        if let Some(pick) = self.dispatcher.hedge(id, self.now) {
            self.spend();
            let tracked = &self.tracked[&id];
            assert!(
                tracked.idempotent && tracked.attempts.len() == 1 && tracked.attempts[0] != pick.vm
            );
            self.check_pick(&pick);
            self.tracked
                .get_mut(&id)
                .expect("is tracked")
                .attempts
                .push(pick.vm);
        }
    }

    fn verdicts(&mut self, out: Vec<(RequestId, Verdict)>) {
        for (id, verdict) in out {
            assert!(self.tracked[&id].attempts.is_empty(), "{id} did not wait");
            self.verdict(id, verdict);
        }
    }

    fn verdict(&mut self, id: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Send(pick) => {
                assert!(self.may_send(id), "{id} may have run already");
                self.check_pick(&pick);
                let tracked = self.tracked.get_mut(&id).expect("is tracked");
                assert_ne!(
                    tracked.except.as_ref(),
                    Some(&pick.vm),
                    "retried at the same endpoint"
                );
                assert!(self.now <= tracked.deadline && pick.deadline == tracked.deadline);
                if tracked.except.is_none() {
                    self.tokens += self.permille;
                }
                tracked.attempts.push(pick.vm);
                self.clamp_tokens();
            }
            Verdict::Forward(_) => {
                let tracked = self.tracked.remove(&id).expect("is tracked");
                assert!(
                    !tracked.forwarded && tracked.except.is_none(),
                    "forwarded twice or after a send"
                );
            }
            Verdict::Refuse { .. } => {
                let tracked = self.tracked.remove(&id).expect("is tracked");
                assert!(!tracked.may_have_run, "refused although it may have run");
            }
            Verdict::Unknown => {
                let tracked = self.tracked.remove(&id).expect("is tracked");
                assert!(
                    tracked.may_have_run,
                    "reported as unknown although it was not run"
                );
            }
            Verdict::Wait => panic!("waiting requests never get Wait as verdict"),
        }
    }

    fn check_pick(&self, pick: &Pick) {
        let share = self
            .endpoints
            .get(&pick.vm)
            .expect("endpoint is in the list");
        assert!(!share.leaving, "endpoint is leaving");
        assert!(
            self.in_flight(&pick.vm) < share.slots as usize,
            "no slot is free"
        );
        assert_eq!(pick.version, Version(self.version));
    }

    /// Delivers due verdicts and checks the invariants between events.
    fn deliver_and_check(&mut self) {
        for round in 0.. {
            assert!(round < 5, "ticks are always due");
            if self.dispatcher.next_tick().is_none_or(|at| at > self.now) {
                break;
            }
            let out = self.dispatcher.tick(self.now);
            self.verdicts(out);
        }
        let load = self.dispatcher.load(&service());
        let sent: usize = self
            .tracked
            .values()
            .map(|tracked| tracked.attempts.len())
            .sum();
        let waiting: Vec<&TrackedRequest> = self
            .tracked
            .values()
            .filter(|tracked| tracked.attempts.is_empty())
            .collect();
        assert_eq!(load.in_progress as usize, sent);
        assert_eq!(load.queued as usize, waiting.len());
        let members = self
            .endpoints
            .values()
            .filter(|s| s.slots > 0 && !s.leaving)
            .count();
        assert!(
            load.ejected as usize <= members / 2,
            "more than half are ejected"
        );
        for tracked in &waiting {
            let max_wait = Millis([200, 1000, 5000][tracked.class]);
            assert!(self.now < tracked.since + max_wait && self.now < tracked.deadline);
        }
        if waiting.iter().any(|tracked| tracked.except.is_none()) {
            assert_eq!(load.free_slots, 0, "a request waits beside a free slot");
        }
    }

    fn may_send(&self, id: RequestId) -> bool {
        let tracked = &self.tracked[&id];
        tracked.idempotent || !tracked.may_have_run
    }

    fn spend(&mut self) {
        assert!(self.tokens >= 1000, "retry budget is exceeded");
        self.tokens -= 1000;
    }

    fn clamp_tokens(&mut self) {
        self.tokens = self.tokens.min(if self.permille == 0 { 0 } else { BURST });
    }

    fn in_flight(&self, vm: &VmId) -> usize {
        let at = self.tracked.values().flat_map(|tracked| &tracked.attempts);
        at.filter(|used_vm| *used_vm == vm).count()
    }

    fn nth(&self, at: usize, allowed: impl Fn(&TrackedRequest) -> bool) -> Option<RequestId> {
        let ids: Vec<_> = self
            .tracked
            .iter()
            .filter(|(_, tracked)| allowed(tracked))
            .collect();
        (!ids.is_empty()).then(|| *ids[at % ids.len()].0)
    }
}

fn by_vm(list: Vec<EndpointShare>) -> BTreeMap<VmId, EndpointShare> {
    list.into_iter()
        .map(|share| (share.vm.clone(), share))
        .collect()
}

/// Guards against orders of events that break a slot limit, run a non-idempotent request twice,
/// report a wrong outcome, exceed the retry budget or lose a request.
#[test]
fn dispatcher_agrees_with_the_oracle() {
    let config = Config {
        cases: SEQUENCES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    runner
        .run(&prop::collection::vec(event(), 1..80), |events| {
            let mut oracle = Oracle::new();
            for event in events {
                oracle.apply(event);
            }
            let ids: Vec<RequestId> = oracle.tracked.keys().copied().collect();
            for id in ids.into_iter().rev() {
                if oracle
                    .tracked
                    .get(&id)
                    .is_some_and(|tracked| !tracked.attempts.is_empty())
                {
                    oracle.tracked.remove(&id);
                    let out = oracle.dispatcher.finish(id, success(5), oracle.now);
                    oracle.verdicts(out);
                }
            }
            oracle.apply(Event::Advance(10_000));
            assert!(
                oracle
                    .tracked
                    .values()
                    .all(|tracked| !tracked.attempts.is_empty()),
                "a request is lost"
            );
            Ok(())
        })
        .expect("dispatcher and oracle agree");
}
