//! Choice of endpoints and peers: aging of estimates, probes, hedges and forwarding.

mod requests_support;

use requests_support::*;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;

const NOW: Millis = Millis::ZERO;

/// Creates a dispatcher with two endpoints in its own zone.
fn local_pair(slots: u32) -> Dispatcher {
    let mut dispatcher = dispatcher(0, 0);
    let shares = vec![share(0, slots), share(3, slots)];
    dispatcher.set_endpoints(&service(), shares, NOW);
    dispatcher
}

fn peer(name: &str, free_slots: u32, queue_delay: u64) -> PeerLoad {
    PeerLoad {
        member: id(name),
        zone: id("tulua"),
        free_slots,
        queue_delay: Millis(queue_delay),
        age: NOW,
    }
}

/// Sends one request, completes it with the outcome for its endpoint and returns that endpoint.
fn exchange(
    dispatcher: &mut Dispatcher,
    req: IncomingRequest,
    now: Millis,
    outcome: impl Fn(&VmId) -> Outcome,
) -> VmId {
    let number = req.id;
    let pick = expect_send(dispatcher.dispatch(req, now));
    dispatcher.finish(number, outcome(&pick.vm), now + Millis(5));
    pick.vm
}

/// Guards against interference at an endpoint that is not reported as a slowdown.
#[test]
fn the_slowdown_of_a_slow_endpoint_is_reported() {
    let mut dispatcher = dispatcher(3, 2);
    let latency = |vm: &VmId| if *vm == id("vm-0") { 300 } else { 100 };

    (0..300).for_each(|n| {
        drop(exchange(&mut dispatcher, request(n), NOW, |pick| {
            success(latency(pick))
        }));
    });

    let slowdowns = dispatcher.slowdowns(NOW);
    let of = |name: &str| {
        slowdowns
            .iter()
            .find(|(vm, ..)| *vm == id(name))
            .map(|found| found.1)
    };
    assert!(of("vm-0") > Some(Permille(2000)), "{slowdowns:?}");
    assert!(of("vm-1") < Some(Permille(1500)), "{slowdowns:?}");
}

/// Guards against an endpoint that is avoided forever after a slow phase: without requests, its
/// estimate gets no new samples.
#[test]
fn a_slow_endpoint_is_tried_again() {
    let mut dispatcher = dispatcher(3, 2);
    let local: VmId = id("vm-0");
    for n in 0..400 {
        let latency = |vm: &VmId| success(if *vm == local { 60 } else { 20 });
        exchange(&mut dispatcher, request(n), Millis(n * 10), latency);
    }

    let later =
        (400..4000).map(|n| exchange(&mut dispatcher, request(n), Millis(n * 10), |_| success(20)));
    let last: Vec<VmId> = later.skip(3000).collect();

    let at_local = last.iter().filter(|vm| **vm == local).count();
    assert!(at_local * 2 > last.len(), "{at_local} of {}", last.len());
}

/// Guards against more requests for an endpoint with an overdue request, whose latency is not
/// measured yet.
#[test]
fn an_overdue_request_counts_against_its_endpoint() {
    let mut dispatcher = local_pair(8);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, request(n), NOW, |_| success(5))));
    let stuck = expect_send(dispatcher.dispatch(request(100), NOW)).vm;

    let later: Vec<VmId> = (101..105)
        .map(|n| expect_send(dispatcher.dispatch(request(n), Millis(1000))).vm)
        .collect();

    assert!(later.iter().all(|vm| *vm != stuck));
}

/// Guards against stalled requests that count like failed ones although each costs its caller a
/// timeout.
#[test]
fn two_stalled_requests_eject_an_endpoint() {
    for (outcome, ejected) in [
        (Outcome::Stalled, 1),
        (Outcome::Failure { latency: Millis(5) }, 0),
    ] {
        let mut dispatcher = local_pair(8);
        let first = expect_send(dispatcher.dispatch(request(0), NOW)).vm;
        let mut at_first = vec![RequestId(0)];
        for n in 1..8 {
            if expect_send(dispatcher.dispatch(request(n), NOW)).vm == first {
                at_first.push(RequestId(n));
            }
        }

        for number in at_first.into_iter().take(2) {
            dispatcher.finish(number, outcome, Millis(5));
        }

        assert_eq!(dispatcher.load(&service()).ejected, ejected, "{outcome:?}");
    }
}

/// Guards against probing an ejected endpoint with a non-idempotent request, which could not be
/// retried, while another endpoint is usable.
#[test]
fn probes_are_idempotent_while_there_is_a_choice() {
    let mut dispatcher = local_pair(8);
    let bad: VmId = id("vm-0");
    let stalled = |vm: &VmId| {
        if *vm == bad {
            Outcome::Stalled
        } else {
            success(5)
        }
    };
    (0..40).for_each(|n| drop(exchange(&mut dispatcher, request(n), NOW, stalled)));
    assert_eq!(dispatcher.load(&service()).ejected, 1);
    let once = |n| IncomingRequest {
        idempotent: false,
        ..request(n)
    };

    let early = exchange(&mut dispatcher, once(100), Millis(1500), stalled);
    let repeatable = exchange(&mut dispatcher, request(101), Millis(1500), stalled);
    let late = exchange(&mut dispatcher, once(102), Millis(6000), stalled);

    assert_ne!(early, bad);
    assert_eq!(repeatable, bad);
    assert_eq!(late, bad);
}

/// Guards against hedges beyond the retry budget, at the same endpoint or for a third attempt.
#[test]
fn hedges_stay_within_the_budget() {
    let mut dispatcher = dispatcher(8, 8);
    let mut hedges = 0;
    for n in 0..1000 {
        let now = Millis(n * 10);
        let first = expect_send(dispatcher.dispatch(request(n), now));
        if let Some(second) = dispatcher.hedge(RequestId(n), now) {
            assert_ne!(first.vm, second.vm);
            assert_eq!(dispatcher.hedge(RequestId(n), now), None, "a third attempt");
            hedges += 1;
        }
        dispatcher.finish(RequestId(n), success(5), now);
    }

    assert!((100..=110).contains(&hedges), "{hedges} hedges");
    assert_eq!(dispatcher.load(&service()).in_progress, 0);
}

/// Guards against overloading a peer: requests that were forwarded since its last report use slots
/// that the report shows as free.
#[test]
fn forwarded_requests_count_against_the_report() {
    let mut dispatcher = dispatcher(1, 1);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, request(n), NOW, |_| success(100))));
    dispatcher.set_peers(&service(), vec![peer("idle", 4, 0)], Millis(1000));
    expect_send(dispatcher.dispatch(request(100), Millis(1000)));

    let verdicts: Vec<Verdict> = (101..121)
        .map(|n| dispatcher.dispatch(request(n), Millis(1000)))
        .collect();

    let forwarded = |v: &&Verdict| matches!(v, Verdict::Forward(_));
    assert_eq!(verdicts.iter().take_while(forwarded).count(), 4);
    let later = verdicts.iter().filter(forwarded).count() - 4;
    assert!(
        later <= 5,
        "{later} requests are more than half of a queue of ten"
    );
}

/// Guards against an outdated report that replaces a newer one.
#[test]
fn the_newest_report_of_a_peer_counts() {
    let mut dispatcher = dispatcher(1, 1);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, request(n), NOW, |_| success(100))));
    dispatcher.set_peers(&service(), vec![peer("idle", 0, 100)], Millis(1000));
    expect_send(dispatcher.dispatch(request(100), Millis(1000)));
    let before = dispatcher.dispatch(request(101), Millis(1000));

    dispatcher.update_peer(&service(), peer("idle", 1, 0), Millis(1010));
    let outdated = PeerLoad {
        age: Millis(500),
        ..peer("idle", 0, 100)
    };
    dispatcher.update_peer(&service(), outdated, Millis(1010));
    let after = dispatcher.dispatch(request(102), Millis(1010));

    assert_eq!(before, Verdict::Wait);
    assert_eq!(after, Verdict::Forward(id("idle")));
}

/// Guards against forwarding to a peer whose last response reported no free slot, also after an
/// older heartbeat is repeated.
#[test]
fn a_report_in_a_response_replaces_the_heartbeat() {
    let mut dispatcher = dispatcher(0, 0);
    let heartbeat = |name: &str| PeerLoad {
        age: Millis(100),
        ..peer(name, 8, 0)
    };
    let peers = || vec![heartbeat("full"), heartbeat("idle")];
    dispatcher.set_peers(&service(), peers(), Millis(1000));

    dispatcher.record_peer_load(&service(), &id("full"), 0, Millis(500), Millis(1010));
    dispatcher.set_peers(&service(), peers(), Millis(1010));
    let verdicts: Vec<Verdict> = (0..40)
        .map(|n| dispatcher.dispatch(request(n), Millis(1020)))
        .collect();

    let to = |name: &str| {
        let member = Verdict::Forward(id(name));
        verdicts.iter().filter(|v| **v == member).count()
    };
    assert_eq!(to("full") + to("idle"), 40);
    assert!(
        to("full") < to("idle") / 2,
        "{} of 40 to the full peer",
        to("full")
    );
}

/// Guards against refusing requests at a new process, which has no slots yet, while its peers can
/// serve them.
#[test]
fn a_process_without_slots_forwards_to_the_shortest_queue() {
    let mut dispatcher = dispatcher(0, 0);
    let peers = vec![peer("long", 0, 800), peer("short", 0, 50)];
    dispatcher.set_peers(&service(), peers, NOW);

    let verdicts: Vec<Verdict> = (0..40)
        .map(|n| dispatcher.dispatch(request(n), NOW))
        .collect();

    let to = |name: &str| {
        let member = Verdict::Forward(id(name));
        verdicts.iter().filter(|v| **v == member).count()
    };
    assert_eq!(to("long") + to("short"), 40);
    assert!(to("short") > to("long"));
}

/// Guards against leaking the slot of the losing attempt of a hedged request.
#[test]
fn both_attempts_of_a_hedged_request_are_freed() {
    let mut dispatcher = dispatcher(2, 1);
    let first = expect_send(dispatcher.dispatch(request(1), NOW));
    let second = dispatcher
        .hedge(RequestId(1), Millis(5))
        .map(|pick| pick.vm);
    assert_eq!(dispatcher.dispatch(request(2), Millis(6)), Verdict::Wait);

    let woken = dispatcher.end_attempt(RequestId(1), &first.vm, Outcome::Abandoned, Millis(7));
    let in_flight = dispatcher.load(&service()).in_progress;
    dispatcher.finish(RequestId(1), success(3), Millis(8));

    assert!(second.is_some_and(|vm| vm != first.vm));
    assert!(matches!(&woken[..], [(RequestId(2), Verdict::Send(pick))] if pick.vm == first.vm));
    assert_eq!(in_flight, 2);
    assert_eq!(dispatcher.load(&service()).in_progress, 1);
}

/// Guards against a storm of forwarded requests between overloaded processes, whose queues differ
/// only a little.
#[test]
fn small_differences_between_long_queues_are_not_forwarded() {
    for (delay, forwarded) in [(750, false), (100, true)] {
        let mut dispatcher = dispatcher(1, 1);
        (0..50).for_each(|n| drop(exchange(&mut dispatcher, request(n), NOW, |_| success(100))));
        for n in 100..110 {
            dispatcher.dispatch(request(n), Millis(1000));
        }
        dispatcher.set_peers(&service(), vec![peer("other", 0, delay)], Millis(1000));

        let verdict = dispatcher.dispatch(request(110), Millis(1000));

        let forward = matches!(verdict, Verdict::Forward(_));
        assert_eq!(forward, forwarded, "{delay} ms there: {verdict:?}");
    }
}
