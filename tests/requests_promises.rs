//! Guarantees of the request path, one test each.

mod requests_support;

use requests_support::*;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;
use serde_json::json;

const NOW: Millis = Millis::ZERO;
const FAILED: Outcome = Outcome::Failure { latency: Millis(5) };

fn refusal(verdict: &Verdict) -> Option<Refusal> {
    match verdict {
        Verdict::Refuse { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Sends requests one after the other, completes each with `outcome` and returns the sends.
fn run_sequence(
    dispatcher: &mut Dispatcher,
    numbers: std::ops::Range<u64>,
    start: Millis,
    outcome: impl Fn(&Pick) -> Outcome,
) -> Vec<(Millis, VmId)> {
    let mut sends = Vec::new();
    for number in numbers.clone() {
        let now = start + Millis((number - numbers.start) * 10);
        let pick = expect_send(dispatcher.dispatch(request(number), now));
        dispatcher.finish(RequestId(number), outcome(&pick), now + Millis(5));
        sends.push((now, pick.vm));
    }
    sends
}

/// Guards against exceeding the slots of an endpoint, also after they are reduced below the
/// requests in flight.
#[test]
fn slots_are_never_exceeded() {
    let mut dispatcher = dispatcher(2, 2);
    let first: Vec<Verdict> = (0..6)
        .map(|n| dispatcher.dispatch(request(n), NOW))
        .collect();
    dispatcher.set_endpoints(&service(), shares(2, 1), NOW);

    let woken = dispatcher.finish(RequestId(0), success(5), Millis(5));

    let sends = first.iter().filter(|v| matches!(v, Verdict::Send(_)));
    assert_eq!(sends.count(), 4);
    assert!(
        woken.is_empty(),
        "each endpoint still holds its one slot or more"
    );
    assert_eq!(dispatcher.load(&service()).in_progress, 3);
}

/// Guards against "not run" for a request that an endpoint may have run.
#[test]
fn a_refusal_means_not_run() {
    for outcome in [
        Outcome::Stalled,
        Outcome::Broken,
        FAILED,
        Outcome::Refused,
        Outcome::NotSent,
    ] {
        let mut dispatcher = dispatcher(1, 1);
        // An idempotent request on a stalled connection is retried at the only endpoint.
        let idempotent = outcome != Outcome::Stalled;
        let req = IncomingRequest {
            idempotent,
            ..request(1)
        };
        expect_send(dispatcher.dispatch(req, NOW));

        let (verdict, _) = dispatcher.retry(RequestId(1), outcome, Millis(5));

        let not_run = matches!(outcome, Outcome::Refused | Outcome::NotSent);
        assert_eq!(refusal(&verdict).is_some(), not_run, "{outcome:?}");
        assert_eq!(verdict == Verdict::Unknown, !not_run, "{outcome:?}");
    }
}

/// Guards against avoiding the only endpoint when just one connection to it has stalled.
#[test]
fn a_stalled_connection_to_the_only_endpoint_allows_a_retry_there() {
    let mut dispatcher = dispatcher(1, 1);
    let first = expect_send(dispatcher.dispatch(request(1), NOW));

    let (verdict, _) = dispatcher.retry(RequestId(1), Outcome::Stalled, Millis(5));

    assert_eq!(expect_send(verdict).vm, first.vm);
}

/// Guards against "not run" for a request whose first attempt may have run and whose retry did not.
#[test]
fn an_attempt_that_may_have_run_is_remembered() {
    let mut dispatcher = dispatcher(3, 1);
    expect_send(dispatcher.dispatch(request(1), NOW));
    let (second, _) = dispatcher.retry(RequestId(1), Outcome::Broken, Millis(5));
    expect_send(second);
    dispatcher.set_endpoints(&service(), Vec::new(), Millis(6));

    let (verdict, _) = dispatcher.retry(RequestId(1), Outcome::Refused, Millis(7));

    assert_eq!(verdict, Verdict::Unknown);
}

/// Guards against a second run of a non-idempotent request by a hedge or a retry.
#[test]
fn non_idempotent_requests_run_at_most_once() {
    for outcome in [
        Outcome::Stalled,
        Outcome::Broken,
        FAILED,
        Outcome::Refused,
        Outcome::NotSent,
    ] {
        let mut dispatcher = dispatcher(3, 1);
        let req = IncomingRequest {
            idempotent: false,
            ..request(1)
        };
        expect_send(dispatcher.dispatch(req, NOW));

        let hedge = dispatcher.hedge(RequestId(1), Millis(4));
        let (verdict, _) = dispatcher.retry(RequestId(1), outcome, Millis(5));

        let not_run = matches!(outcome, Outcome::Refused | Outcome::NotSent);
        assert_eq!(hedge, None);
        assert_eq!(matches!(verdict, Verdict::Send(_)), not_run, "{outcome:?}");
    }
}

/// Guards against sending new or queued requests to an endpoint that is shutting down.
#[test]
fn leaving_endpoints_get_nothing_new() {
    let mut dispatcher = dispatcher(2, 4);
    let leaving = |vm| EndpointShare {
        leaving: vm == 0,
        ..share(vm, 4)
    };
    (0..8).for_each(|n| drop(expect_send(dispatcher.dispatch(request(n), NOW))));
    dispatcher.set_endpoints(&service(), (0..2).map(leaving).collect(), NOW);
    assert_eq!(dispatcher.dispatch(request(8), NOW), Verdict::Wait);

    let mut sends = Vec::new();
    for n in 0..200 {
        let now = Millis(5 + n);
        sends.extend(dispatcher.finish(RequestId(n), success(5), now));
        let number = RequestId(n + 9);
        sends.push((number, dispatcher.dispatch(request(number.0), now)));
    }

    let picked = sends.into_iter().filter_map(|(_, verdict)| match verdict {
        Verdict::Send(pick) => Some(pick.vm),
        _ => None,
    });
    let picked: Vec<VmId> = picked.collect();
    assert!(picked.len() > 100);
    assert!(picked.iter().all(|vm| *vm == id("vm-1")));
}

/// Guards against ejecting so many endpoints that the remaining ones cannot carry the load.
#[test]
fn at_most_the_permitted_part_is_ejected() {
    for (permille, most) in [(500, 4), (250, 2), (0, 0)] {
        let mut dispatcher = dispatcher(8, 4);
        let changes = json!({"max_ejected_permille": permille});
        dispatcher.configure(&bundle_with(2, changes), NOW);

        run_sequence(&mut dispatcher, 0..400, NOW, |_| FAILED);

        assert_eq!(dispatcher.load(&service()).ejected, most, "{permille}");
    }
}

/// Guards against endpoints that stay ejected after a shorter list has lowered the maximum number
/// of ejections.
#[test]
fn a_shorter_list_readmits_endpoints() {
    let mut dispatcher = dispatcher(8, 4);
    run_sequence(&mut dispatcher, 0..400, NOW, |_| FAILED);

    dispatcher.set_endpoints(&service(), shares(3, 4), Millis(5000));

    assert!(dispatcher.load(&service()).ejected <= 1);
}

/// Guards against regular requests at a failing endpoint, and against never readmitting it after it
/// recovers.
#[test]
fn a_failing_endpoint_is_ejected_probed_and_readmitted() {
    let mut dispatcher = dispatcher(4, 4);
    let bad: VmId = id("vm-0");
    let failing = |pick: &Pick| if pick.vm == bad { FAILED } else { success(5) };
    run_sequence(&mut dispatcher, 0..200, NOW, failing);
    assert_eq!(dispatcher.load(&service()).ejected, 1);

    let still_bad = run_sequence(&mut dispatcher, 200..2200, Millis(2000), failing);
    let probes: Vec<Millis> = still_bad
        .into_iter()
        .filter_map(|(at, vm)| (vm == bad).then_some(at))
        .collect();
    let well = run_sequence(&mut dispatcher, 2200..4200, Millis(22_000), |_| success(5));

    let gaps: Vec<u64> = probes.windows(2).map(|w| w[1].since(w[0]).get()).collect();
    assert!(probes.len() <= 6, "each probe is one request: {probes:?}");
    assert!(
        gaps.windows(2).all(|w| w[1] > w[0]),
        "ejections grow: {gaps:?}"
    );
    assert!(well.iter().filter(|(_, vm)| *vm == bad).count() > 100);
    assert_eq!(dispatcher.load(&service()).ejected, 0);
}

/// Guards against probing an ejected endpoint with more than one request at a time.
#[test]
fn a_probe_is_a_single_request() {
    let mut dispatcher = dispatcher(2, 8);
    let bad: VmId = id("vm-0");
    let failing = |pick: &Pick| {
        if pick.vm == bad {
            Outcome::Stalled
        } else {
            success(5)
        }
    };
    run_sequence(&mut dispatcher, 0..40, NOW, failing);
    assert_eq!(dispatcher.load(&service()).ejected, 1);

    let verdicts = (100..116).map(|n| dispatcher.dispatch(request(n), Millis(5000)));
    let picks: Vec<VmId> = verdicts
        .filter_map(|verdict| match verdict {
            Verdict::Send(pick) => Some(pick.vm),
            _ => None,
        })
        .collect();

    assert_eq!(picks.iter().filter(|vm| **vm == bad).count(), 1);
}

/// Guards against a retry storm. Retries stay within a tenth of the requests and a small burst.
#[test]
fn retries_stay_within_the_budget() {
    let mut dispatcher = dispatcher(8, 8);
    let mut retries = 0;
    for number in 0..1000 {
        let now = Millis(number * 10);
        expect_send(dispatcher.dispatch(request(number), now));
        let (verdict, _) = dispatcher.retry(RequestId(number), Outcome::Broken, now);
        if matches!(verdict, Verdict::Send(_)) {
            retries += 1;
            dispatcher.finish(RequestId(number), success(5), now);
        }
    }

    assert!((100..=110).contains(&retries), "{retries} retries");
}

/// Guards against a retry at the endpoint where the last attempt failed.
#[test]
fn a_retry_avoids_the_endpoint_just_used() {
    for number in 0..50 {
        let mut dispatcher = dispatcher(2, 8);
        let first = expect_send(dispatcher.dispatch(request(number), NOW));

        let (second, _) = dispatcher.retry(RequestId(number), Outcome::NotSent, NOW);

        assert_ne!(expect_send(second).vm, first.vm);
    }
}

/// Guards against queueing requests that cannot meet their deadline or the maximum wait of their
/// class.
#[test]
fn unservable_requests_are_refused_at_once_with_a_hint() {
    let mut dispatcher = dispatcher(1, 1);
    run_sequence(&mut dispatcher, 0..50, NOW, |_| success(100));
    let busy = expect_send(dispatcher.dispatch(request(100), Millis(1000)));
    let with = |number, deadline| IncomingRequest {
        deadline: Some(Millis(deadline)),
        ..request(number)
    };

    let short = dispatcher.dispatch(with(101, 150), Millis(1000));
    let enough = dispatcher.dispatch(with(102, 1500), Millis(1000));
    let verdicts: Vec<Verdict> = (103..130)
        .map(|number| dispatcher.dispatch(request(number), Millis(1000)))
        .collect();

    assert_eq!(busy.deadline, Millis(3000));
    assert_eq!(refusal(&short), Some(Refusal::DeadlineTooShort));
    assert_eq!(enough, Verdict::Wait);
    let waiting = verdicts.iter().filter(|v| **v == Verdict::Wait).count();
    assert_eq!(
        waiting, 9,
        "ten requests of 100 ms fit into the longest wait of 1 s"
    );
    let Some(Verdict::Refuse {
        reason,
        retry_after,
    }) = verdicts.last()
    else {
        panic!("expected a refusal");
    };
    assert_eq!(*reason, Refusal::QueueFull);
    assert!(
        (Millis(1000)..Millis(3000)).contains(retry_after),
        "{retry_after}"
    );
}

/// Guards against requests that wait beyond the maximum wait of their class, or are sent after it.
#[test]
fn waiting_ends_at_the_limit_of_the_class() {
    let mut dispatcher = dispatcher(1, 1);
    expect_send(dispatcher.dispatch(request(1), NOW));
    assert_eq!(
        dispatcher.dispatch(request_of_class(2, "urgent"), NOW),
        Verdict::Wait
    );

    let due = dispatcher.next_tick();
    let out = dispatcher.tick(Millis(200));

    assert_eq!(due, Some(Millis(200)));
    assert_eq!(out.len(), 1);
    assert_eq!(refusal(&out[0].1), Some(Refusal::WaitedTooLong));
    assert!(
        dispatcher
            .finish(RequestId(1), success(5), Millis(250))
            .is_empty()
    );
}

/// Guards against a verdict on a request that was cancelled before the verdict was fetched.
#[test]
fn an_ended_request_gets_no_verdict() {
    let mut dispatcher = dispatcher(1, 1);
    expect_send(dispatcher.dispatch(request(1), NOW));
    assert_eq!(dispatcher.dispatch(request(2), NOW), Verdict::Wait);
    dispatcher.set_endpoints(&service(), shares(2, 1), NOW);
    assert_eq!(dispatcher.dispatch(request(3), NOW), Verdict::Wait);

    let cancelled = dispatcher.cancel(RequestId(2), NOW);
    let ticked = dispatcher.tick(NOW);

    let mut out = cancelled.into_iter().chain(ticked);
    assert!(out.all(|(id, _)| id == RequestId(3)));
    assert_eq!(dispatcher.load(&service()).in_progress, 2);
}

/// Guards against unbounded queues while no latency is known, so that waits cannot be estimated.
#[test]
fn the_queue_is_bounded() {
    let mut dispatcher = dispatcher(200, 8);
    let deadline = Some(Millis(30_000));
    let mut waiting = 0;
    for number in 0..20_000 {
        let req = IncomingRequest {
            deadline,
            ..request_of_class(number, "patient")
        };
        if dispatcher.dispatch(req, NOW) == Verdict::Wait {
            waiting += 1;
        }
    }

    assert!((1000..=8192 / 3).contains(&waiting), "{waiting} wait");
}

/// Guards against forwarding while a local slot is free, more than once, or to a peer without free
/// slots.
#[test]
fn busy_processes_forward_once_to_a_peer_with_free_slots() {
    let mut dispatcher = dispatcher(1, 1);
    run_sequence(&mut dispatcher, 0..50, NOW, |_| success(100));
    let peer = |name: &str, free_slots| PeerLoad {
        member: id(name),
        zone: id("buga"),
        free_slots,
        queue_delay: Millis::ZERO,
        age: Millis::ZERO,
    };
    let peers = vec![peer("full", 0), peer("idle", 4)];
    dispatcher.set_peers(&service(), peers, Millis(1000));

    let own = dispatcher.dispatch(request(100), Millis(1000));
    let second = dispatcher.dispatch(request(101), Millis(1000));
    let came_from_peer = IncomingRequest {
        forwarded: true,
        ..request(102)
    };
    let third = dispatcher.dispatch(came_from_peer, Millis(1000));

    expect_send(own);
    assert_eq!(second, Verdict::Forward(id("idle")));
    assert_eq!(third, Verdict::Wait);
}

/// Guards against crossing zones without need, and against queueing while remote slots are free.
#[test]
fn local_endpoints_are_preferred_until_they_are_slow_or_full() {
    let mut dispatcher = dispatcher(3, 2);
    let local: VmId = id("vm-0");

    let even = run_sequence(&mut dispatcher, 0..200, NOW, |_| success(20));
    let slow = run_sequence(&mut dispatcher, 200..600, Millis(2000), |pick| {
        success(if pick.vm == local { 60 } else { 20 })
    });
    let burst: Vec<Verdict> = (600..606)
        .map(|n| dispatcher.dispatch(request(n), Millis(6000)))
        .collect();

    let share = |sends: &[(Millis, VmId)]| {
        sends.iter().filter(|(_, vm)| *vm == local).count() as f64 / sends.len() as f64
    };
    assert!(share(&even) > 0.9, "{}", share(&even));
    assert!(share(&slow) < 0.2, "{}", share(&slow));
    assert!(
        burst
            .iter()
            .all(|verdict| matches!(verdict, Verdict::Send(_)))
    );
}

/// Guards against a bundle that takes effect late or only for some requests.
#[test]
fn a_bundle_takes_effect_at_once() {
    let mut dispatcher = Dispatcher::new(id("tulua"), 7);
    dispatcher.set_endpoints(&service(), shares(2, 2), NOW);
    let before = dispatcher.dispatch(request(1), NOW);
    dispatcher.configure(&bundle(4), NOW);
    let with = expect_send(dispatcher.dispatch(request(2), NOW));
    let unknown_class = dispatcher.dispatch(request_of_class(3, "other"), NOW);
    let unknown_team = IncomingRequest {
        team: Some(id("other")),
        ..request(4)
    };
    let unknown_team = dispatcher.dispatch(unknown_team, NOW);
    let mut empty = bundle(5);
    empty.bundle.service.clear();
    dispatcher.configure(&empty, NOW);

    let after = dispatcher.dispatch(request(5), NOW);

    assert_eq!(refusal(&before), Some(Refusal::NoBundle));
    assert_eq!(with.version, Version(4));
    assert_eq!(refusal(&unknown_class), Some(Refusal::UnknownClass));
    assert_eq!(refusal(&unknown_team), Some(Refusal::UnknownTeam));
    assert_eq!(refusal(&after), Some(Refusal::UnknownService));
}
