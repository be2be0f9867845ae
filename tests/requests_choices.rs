//! Choice of endpoints and peers: age of estimates, probes, hedges and forwarding.

mod requests_support;

use requests_support::*;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;

const NOW: Millis = Millis::ZERO;

/// Two endpoints in the dispatcher's own zone.
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

/// Sends one request and ends it with the outcome for its endpoint.
fn exchange(
    dispatcher: &mut Dispatcher,
    req: IncomingRequest,
    now: Millis,
    outcome: impl Fn(&VmId) -> Outcome,
) -> VmId {
    let number = req.id;
    let pick = sent(dispatcher.dispatch(req, now));
    dispatcher.finish(number, outcome(&pick.vm), now + Millis(5));
    pick.vm
}

/// Guards against interference that the rack owner is never told of.
#[test]
fn a_slow_endpoint_shows_its_slowdown() {
    let mut dispatcher = dispatcher(3, 2);
    let latency = |vm: &VmId| if *vm == id("vm-0") { 300 } else { 100 };

    (0..300).for_each(|n| {
        drop(exchange(&mut dispatcher, arrival(n), NOW, |pick| {
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

/// Guards against an endpoint that is avoided for good after a slow phase.
#[test]
fn a_slow_endpoint_is_tried_again() {
    let mut dispatcher = dispatcher(3, 2);
    let local: VmId = id("vm-0");
    for n in 0..400 {
        let latency = |vm: &VmId| success(if *vm == local { 60 } else { 20 });
        exchange(&mut dispatcher, arrival(n), Millis(n * 10), latency);
    }

    let later =
        (400..4000).map(|n| exchange(&mut dispatcher, arrival(n), Millis(n * 10), |_| success(20)));
    let last: Vec<VmId> = later.skip(3000).collect();

    let at_local = last.iter().filter(|vm| **vm == local).count();
    assert!(at_local * 2 > last.len(), "{at_local} of {}", last.len());
}

/// Guards against more work for an endpoint that holds an overdue request.
#[test]
fn an_overdue_request_counts_against_its_endpoint() {
    let mut dispatcher = local_pair(8);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, arrival(n), NOW, |_| success(5))));
    let stuck = sent(dispatcher.dispatch(arrival(100), NOW)).vm;

    let later: Vec<VmId> = (101..105)
        .map(|n| sent(dispatcher.dispatch(arrival(n), Millis(1000))).vm)
        .collect();

    assert!(later.iter().all(|vm| *vm != stuck));
}

/// Guards against callers that wait for a silent endpoint as often as for a failing one.
#[test]
fn two_silent_requests_eject_an_endpoint() {
    for (outcome, ejected) in [
        (Outcome::Stalled, 1),
        (Outcome::Failure { latency: Millis(5) }, 0),
    ] {
        let mut dispatcher = local_pair(8);
        let first = sent(dispatcher.dispatch(arrival(0), NOW)).vm;
        let mut at_first = vec![RequestId(0)];
        for n in 1..8 {
            if sent(dispatcher.dispatch(arrival(n), NOW)).vm == first {
                at_first.push(RequestId(n));
            }
        }

        for number in at_first.into_iter().take(2) {
            dispatcher.finish(number, outcome, Millis(5));
        }

        assert_eq!(dispatcher.load(&service()).ejected, ejected, "{outcome:?}");
    }
}

/// Guards against the loss of a request that cannot be repeated on an endpoint under suspicion.
#[test]
fn probes_are_idempotent_while_there_is_a_choice() {
    let mut dispatcher = local_pair(8);
    let bad: VmId = id("vm-0");
    let silent = |vm: &VmId| {
        if *vm == bad {
            Outcome::Stalled
        } else {
            success(5)
        }
    };
    (0..40).for_each(|n| drop(exchange(&mut dispatcher, arrival(n), NOW, silent)));
    assert_eq!(dispatcher.load(&service()).ejected, 1);
    let once = |n| IncomingRequest {
        idempotent: false,
        ..arrival(n)
    };

    let early = exchange(&mut dispatcher, once(100), Millis(1500), silent);
    let repeatable = exchange(&mut dispatcher, arrival(101), Millis(1500), silent);
    let late = exchange(&mut dispatcher, once(102), Millis(6000), silent);

    assert_ne!(early, bad);
    assert_eq!(repeatable, bad);
    assert_eq!(late, bad);
}

/// Guards against hedges beyond the retry budget, and against hedges at the same endpoint.
#[test]
fn hedges_stay_within_the_budget() {
    let mut dispatcher = dispatcher(8, 8);
    let mut hedges = 0;
    for n in 0..1000 {
        let now = Millis(n * 10);
        let first = sent(dispatcher.dispatch(arrival(n), now));
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

/// Guards against a flood of a peer beyond the slots that it reported as free.
#[test]
fn forwarded_requests_count_against_the_report() {
    let mut dispatcher = dispatcher(1, 1);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, arrival(n), NOW, |_| success(100))));
    dispatcher.set_peers(&service(), vec![peer("idle", 4, 0)], Millis(1000));
    sent(dispatcher.dispatch(arrival(100), Millis(1000)));

    let verdicts: Vec<Verdict> = (101..121)
        .map(|n| dispatcher.dispatch(arrival(n), Millis(1000)))
        .collect();

    let forwarded = |v: &&Verdict| matches!(v, Verdict::Forward(_));
    assert_eq!(verdicts.iter().take_while(forwarded).count(), 4);
    let later = verdicts.iter().filter(forwarded).count() - 4;
    assert!(
        later <= 5,
        "{later} requests are more than half of a queue of ten"
    );
}

/// Guards against forwarding by an old report although a newer one has arrived, and the reverse.
#[test]
fn the_newest_report_of_a_peer_counts() {
    let mut dispatcher = dispatcher(1, 1);
    (0..50).for_each(|n| drop(exchange(&mut dispatcher, arrival(n), NOW, |_| success(100))));
    dispatcher.set_peers(&service(), vec![peer("idle", 0, 100)], Millis(1000));
    sent(dispatcher.dispatch(arrival(100), Millis(1000)));
    let before = dispatcher.dispatch(arrival(101), Millis(1000));

    dispatcher.update_peer(&service(), peer("idle", 1, 0), Millis(1010));
    let outdated = PeerLoad {
        age: Millis(500),
        ..peer("idle", 0, 100)
    };
    dispatcher.update_peer(&service(), outdated, Millis(1010));
    let after = dispatcher.dispatch(arrival(102), Millis(1010));

    assert_eq!(before, Verdict::Wait);
    assert_eq!(after, Verdict::Forward(id("idle")));
}

/// Guards against forwarding to a peer whose own answer has just said that it is full, also after
/// an older heartbeat is repeated.
#[test]
fn a_report_with_an_answer_replaces_the_heartbeat() {
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
        .map(|n| dispatcher.dispatch(arrival(n), Millis(1020)))
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

/// Guards against a new process, which holds no slots yet, that refuses what its peers can serve.
#[test]
fn a_process_without_slots_forwards_to_the_shortest_queue() {
    let mut dispatcher = dispatcher(0, 0);
    let peers = vec![peer("long", 0, 800), peer("short", 0, 50)];
    dispatcher.set_peers(&service(), peers, NOW);

    let verdicts: Vec<Verdict> = (0..40)
        .map(|n| dispatcher.dispatch(arrival(n), NOW))
        .collect();

    let to = |name: &str| {
        let member = Verdict::Forward(id(name));
        verdicts.iter().filter(|v| **v == member).count()
    };
    assert_eq!(to("long") + to("short"), 40);
    assert!(to("short") > to("long"));
}

/// Guards against slots that stay taken by the losing attempt of a hedged request.
#[test]
fn both_attempts_of_a_hedged_request_are_freed() {
    let mut dispatcher = dispatcher(2, 1);
    let first = sent(dispatcher.dispatch(arrival(1), NOW));
    let second = dispatcher
        .hedge(RequestId(1), Millis(5))
        .map(|pick| pick.vm);
    assert_eq!(dispatcher.dispatch(arrival(2), Millis(6)), Verdict::Wait);

    let woken = dispatcher.end_attempt(RequestId(1), &first.vm, Outcome::Abandoned, Millis(7));
    let in_progress = dispatcher.load(&service()).in_progress;
    dispatcher.finish(RequestId(1), success(3), Millis(8));

    assert!(second.is_some_and(|vm| vm != first.vm));
    assert!(matches!(&woken[..], [(RequestId(2), Verdict::Send(pick))] if pick.vm == first.vm));
    assert_eq!(in_progress, 2);
    assert_eq!(dispatcher.load(&service()).in_progress, 1);
}

/// Guards against a storm of forwarded requests between processes that are all overloaded.
#[test]
fn small_differences_between_long_queues_are_not_forwarded() {
    for (delay, forwarded) in [(750, false), (100, true)] {
        let mut dispatcher = dispatcher(1, 1);
        (0..50).for_each(|n| drop(exchange(&mut dispatcher, arrival(n), NOW, |_| success(100))));
        for n in 100..110 {
            dispatcher.dispatch(arrival(n), Millis(1000));
        }
        dispatcher.set_peers(&service(), vec![peer("other", 0, delay)], Millis(1000));

        let verdict = dispatcher.dispatch(arrival(110), Millis(1000));

        let forward = matches!(verdict, Verdict::Forward(_));
        assert_eq!(forward, forwarded, "{delay} ms there: {verdict:?}");
    }
}
