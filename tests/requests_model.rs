//! Drives the dispatcher with random events and compares it with a simple oracle.

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
    Resend(usize, Outcome),
    Hedge(usize),
    EndOne(usize, Outcome),
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
        5 => (any::<usize>(), outcome()).prop_map(|(at, end)| Event::Resend(at, end)),
        2 => any::<usize>().prop_map(Event::Hedge),
        1 => (any::<usize>(), outcome()).prop_map(|(at, end)| Event::EndOne(at, end)),
        1 => any::<usize>().prop_map(Event::Cancel),
        5 => prop_oneof![1..50u64, 50..3000u64].prop_map(Event::Advance),
        2 => endpoints.prop_map(Event::Endpoints),
        1 => (0..4u32).prop_map(Event::Peers),
        1 => prop_oneof![Just(0u32), Just(100), Just(1000)].prop_map(Event::Configure),
    ]
}

/// A request that the dispatcher holds.
#[derive(Debug)]
struct Held {
    idempotent: bool,
    forwarded: bool,
    since: Millis,
    deadline: Millis,
    class: usize,
    at: Vec<VmId>,
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
    held: BTreeMap<RequestId, Held>,
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
            held: BTreeMap::new(),
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
                if let Some(id) = self.nth(at, |held| !held.at.is_empty()) {
                    self.held.remove(&id);
                    let out = self.dispatcher.finish(id, outcome, self.now);
                    self.verdicts(out);
                }
            }
            Event::Resend(at, outcome) => self.resend(at, outcome),
            Event::Hedge(at) => self.hedge(at),
            Event::EndOne(at, outcome) => {
                if let Some(id) = self.nth(at, |held| held.at.len() == 2) {
                    let held = self.held.get_mut(&id).expect("is held");
                    let vm = held.at.remove(at % 2);
                    held.may_have_run |= !outcome.is_not_run();
                    let out = self.dispatcher.end_attempt(id, &vm, outcome, self.now);
                    self.verdicts(out);
                }
            }
            Event::Cancel(at) => {
                if let Some(id) = self.nth(at, |_| true) {
                    self.held.remove(&id);
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
        self.settle();
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
            ..of_class(number.0, CLASSES[class])
        };
        let held = Held {
            idempotent,
            forwarded,
            since: self.now,
            deadline: self.now + Millis(deadline),
            class,
            at: Vec::new(),
            except: None,
            may_have_run: false,
        };
        self.held.insert(number, held);
        match self.dispatcher.dispatch(req, self.now) {
            Verdict::Wait => {}
            verdict => self.verdict(number, verdict),
        }
    }

    fn resend(&mut self, at: usize, outcome: Outcome) {
        let Some(id) = self.nth(at, |held| !held.at.is_empty()) else {
            return;
        };
        let held = self.held.get_mut(&id).expect("is held");
        held.may_have_run |= !outcome.is_not_run() || held.at.len() > 1;
        // A request on a silent connection may go to the same endpoint again if it is the only
        // one, because a fresh connection there may answer.
        let only = |vm: &VmId| {
            let mut others = self.endpoints.values().filter(|share| share.vm != *vm);
            others.all(|share| share.leaving || share.slots == 0)
        };
        let used = held.at.first().cloned();
        held.except = used.filter(|vm| outcome != Outcome::Stalled || !only(vm));
        held.at.clear();
        held.since = self.now;
        let (verdict, out) = self.dispatcher.retry(id, outcome, self.now);
        if matches!(verdict, Verdict::Send(_) | Verdict::Wait) && !outcome.is_not_run() {
            self.spend();
        }
        match verdict {
            Verdict::Wait => assert!(self.may_send(id), "waits without a right to be sent"),
            verdict => self.verdict(id, verdict),
        }
        self.verdicts(out);
    }

    fn hedge(&mut self, at: usize) {
        let Some(id) = self.nth(at, |held| !held.at.is_empty()) else {
            return;
        };
        if let Some(pick) = self.dispatcher.hedge(id, self.now) {
            self.spend();
            let held = &self.held[&id];
            assert!(held.idempotent && held.at.len() == 1 && held.at[0] != pick.vm);
            self.check_pick(&pick);
            self.held.get_mut(&id).expect("is held").at.push(pick.vm);
        }
    }

    fn verdicts(&mut self, out: Vec<(RequestId, Verdict)>) {
        for (id, verdict) in out {
            assert!(self.held[&id].at.is_empty(), "{id} did not wait");
            self.verdict(id, verdict);
        }
    }

    fn verdict(&mut self, id: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Send(pick) => {
                assert!(self.may_send(id), "{id} may have run already");
                self.check_pick(&pick);
                let held = self.held.get_mut(&id).expect("is held");
                assert_ne!(
                    held.except.as_ref(),
                    Some(&pick.vm),
                    "sent to the same endpoint again"
                );
                assert!(self.now <= held.deadline && pick.deadline == held.deadline);
                if held.except.is_none() {
                    self.tokens += self.permille;
                }
                held.at.push(pick.vm);
                self.clamp_tokens();
            }
            Verdict::Forward(_) => {
                let held = self.held.remove(&id).expect("is held");
                assert!(
                    !held.forwarded && held.except.is_none(),
                    "forwarded twice or after a send"
                );
            }
            Verdict::Refuse { .. } => {
                let held = self.held.remove(&id).expect("is held");
                assert!(!held.may_have_run, "refused although it may have run");
            }
            Verdict::Unknown => {
                let held = self.held.remove(&id).expect("is held");
                assert!(
                    held.may_have_run,
                    "reported as unknown although it was not run"
                );
            }
            Verdict::Wait => panic!("wait is no verdict on a waiting request"),
        }
    }

    fn check_pick(&self, pick: &Pick) {
        let share = self
            .endpoints
            .get(&pick.vm)
            .expect("endpoint is in the list");
        assert!(!share.leaving, "endpoint is leaving");
        assert!(
            self.in_progress(&pick.vm) < share.slots as usize,
            "no slot is free"
        );
        assert_eq!(pick.version, Version(self.version));
    }

    /// Delivers due verdicts and checks what holds between events.
    fn settle(&mut self) {
        for round in 0.. {
            assert!(round < 5, "ticks do not come to rest");
            if self.dispatcher.next_tick().is_none_or(|at| at > self.now) {
                break;
            }
            let out = self.dispatcher.tick(self.now);
            self.verdicts(out);
        }
        let load = self.dispatcher.load(&service());
        let sent: usize = self.held.values().map(|held| held.at.len()).sum();
        let waiting: Vec<&Held> = self
            .held
            .values()
            .filter(|held| held.at.is_empty())
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
        for held in &waiting {
            let max_wait = Millis([200, 1000, 5000][held.class]);
            assert!(self.now < held.since + max_wait && self.now < held.deadline);
        }
        if waiting.iter().any(|held| held.except.is_none()) {
            assert_eq!(load.free_slots, 0, "a request waits beside a free slot");
        }
    }

    fn may_send(&self, id: RequestId) -> bool {
        let held = &self.held[&id];
        held.idempotent || !held.may_have_run
    }

    fn spend(&mut self) {
        assert!(self.tokens >= 1000, "retry budget is exceeded");
        self.tokens -= 1000;
    }

    fn clamp_tokens(&mut self) {
        self.tokens = self.tokens.min(if self.permille == 0 { 0 } else { BURST });
    }

    fn in_progress(&self, vm: &VmId) -> usize {
        let at = self.held.values().flat_map(|held| &held.at);
        at.filter(|held| *held == vm).count()
    }

    fn nth(&self, at: usize, allowed: impl Fn(&Held) -> bool) -> Option<RequestId> {
        let ids: Vec<_> = self.held.iter().filter(|(_, held)| allowed(held)).collect();
        (!ids.is_empty()).then(|| *ids[at % ids.len()].0)
    }
}

fn by_vm(list: Vec<EndpointShare>) -> BTreeMap<VmId, EndpointShare> {
    list.into_iter()
        .map(|share| (share.vm.clone(), share))
        .collect()
}

/// Guards against any order of events that breaks a slot limit, runs a request twice, reports a
/// wrong outcome, exceeds a budget or loses a request.
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
            let ids: Vec<RequestId> = oracle.held.keys().copied().collect();
            for id in ids.into_iter().rev() {
                if oracle.held.get(&id).is_some_and(|held| !held.at.is_empty()) {
                    oracle.held.remove(&id);
                    let out = oracle.dispatcher.finish(id, success(5), oracle.now);
                    oracle.verdicts(out);
                }
            }
            oracle.apply(Event::Advance(10_000));
            assert!(
                oracle.held.values().all(|held| !held.at.is_empty()),
                "a request is lost"
            );
            Ok(())
        })
        .expect("dispatcher and oracle agree");
}
