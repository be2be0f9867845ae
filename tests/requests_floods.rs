//! Shares of classes and teams under overload, in virtual time.

mod requests_support;

use std::collections::BTreeMap;

use requests_support::*;
use sapphirecroft::admission::ConcurrencyLimit;
use sapphirecroft::model::*;
use sapphirecroft::routing::*;

/// Service time of a request. At this service time, 20 slots serve 1,000 requests a second.
const SERVICE_MS: u64 = 20;
const CAPACITY: u64 = 1000;
const SECONDS: u64 = 20;

/// Source of requests at even intervals.
struct Source {
    class: &'static str,
    team: Option<&'static str>,
    per_sec: u64,
    from_ms: u64,
    deadline_ms: Option<u64>,
}

fn source(class: &'static str, per_sec: u64) -> Source {
    Source {
        class,
        team: None,
        per_sec,
        from_ms: 0,
        deadline_ms: None,
    }
}

/// Runs the sources for [`SECONDS`] and returns, by source, the requests offered and those
/// completed in time.
fn run(sources: &[Source], service_ms: impl Fn(usize) -> u64) -> Vec<(u64, u64)> {
    let mut dispatcher = dispatcher(5, 4);
    let mut counts = vec![(0, 0); sources.len()];
    let mut ends: BTreeMap<(Millis, RequestId), (Millis, Millis)> = BTreeMap::new();
    let mut owner = Vec::new();
    let mut due = vec![0; sources.len()];
    for ms in 0..SECONDS * 1000 {
        let now = Millis(ms);
        let mut out = dispatcher.tick(now);
        while let Some((&(at, id), &(started, deadline))) = ends.first_key_value()
            && at <= now
        {
            ends.pop_first();
            let source: usize = owner[id.0 as usize];
            counts[source].1 += u64::from(at <= deadline);
            out.extend(dispatcher.finish(id, success(at.since(started).get()), now));
        }
        for (at, source) in sources.iter().enumerate() {
            if ms >= source.from_ms {
                due[at] += source.per_sec;
            }
            while due[at] >= 1000 {
                due[at] -= 1000;
                counts[at].0 += 1;
                let number = owner.len() as u64;
                owner.push(at);
                let req = IncomingRequest {
                    team: source.team.map(id),
                    deadline: source.deadline_ms.map(Millis),
                    ..request_of_class(number, source.class)
                };
                out.push((RequestId(number), dispatcher.dispatch(req, now)));
            }
        }
        for (id, verdict) in out {
            if let Verdict::Send(pick) = verdict {
                let at = now + Millis(service_ms(owner[id.0 as usize]));
                ends.insert((at, id), (now, pick.deadline));
            }
        }
    }
    counts
}

/// Guards against urgent requests that are delayed or refused during a surge of less urgent ones.
#[test]
fn a_flood_of_the_least_urgent_class_leaves_the_others_their_responses() {
    let sources = [
        source("urgent", 300),
        source("normal", 300),
        source("patient", 10 * CAPACITY),
    ];

    let counts = run(&sources, |_| SERVICE_MS);

    for (at, (offered, useful)) in counts.iter().take(2).enumerate() {
        assert!(
            useful * 100 >= offered * 99,
            "class {at}: {useful} of {offered}"
        );
    }
    let useful: u64 = counts.iter().map(|(_, useful)| useful).sum();
    assert!(
        useful >= CAPACITY * SECONDS * 95 / 100,
        "{useful} useful responses"
    );
}

/// Guards against starvation of less urgent classes below their guaranteed share during a surge of
/// the most urgent class.
#[test]
fn a_flood_of_the_most_urgent_class_leaves_the_others_their_share() {
    let sources = [
        source("urgent", 10 * CAPACITY),
        source("normal", CAPACITY),
        source("patient", CAPACITY),
    ];

    let counts = run(&sources, |_| SERVICE_MS);

    let total: u64 = counts.iter().map(|(_, useful)| useful).sum();
    assert!(
        total >= CAPACITY * SECONDS * 95 / 100,
        "{total} useful responses"
    );
    for (at, permille) in [(1, 300), (2, 100)] {
        let useful = counts[at].1;
        assert!(
            useful * 1000 >= total * permille * 98 / 100,
            "class {at}: {useful} of {total}"
        );
    }
}

/// Guards against shares that count requests, which favour classes with long requests.
#[test]
fn shares_are_shares_of_slot_time() {
    let sources = [source("urgent", 10 * CAPACITY), source("patient", CAPACITY)];
    let service_ms = |class| [SERVICE_MS, 10 * SERVICE_MS][class];

    let counts = run(&sources, service_ms);

    let slot_time = |class: usize| counts[class].1 * service_ms(class);
    let share = slot_time(1) as f64 / (slot_time(0) + slot_time(1)) as f64;
    assert!((0.09..0.2).contains(&share), "{share}");
}

/// Guards against urgent requests that find every slot taken by long, less urgent requests.
#[test]
fn a_flood_of_long_patient_requests_leaves_room_for_urgent_ones() {
    let patient = |per_sec, from_ms| Source {
        from_ms,
        deadline_ms: Some(20_000),
        ..source("patient", per_sec)
    };
    let surge = patient(CAPACITY, 5000);
    let sources = [source("urgent", 10), patient(5, 0), surge];
    let service_ms = |class| [SERVICE_MS, 100 * SERVICE_MS, 100 * SERVICE_MS][class];

    let counts = run(&sources, service_ms);

    let (offered, useful) = counts[0];
    assert!(useful * 100 >= offered * 99, "{useful} of {offered}");
    let started_in_time = 20 * (SECONDS - 5 - 2) * 1000;
    let slot_time = (counts[1].1 + counts[2].1) * service_ms(1);
    assert!(
        slot_time >= started_in_time * 80 / 100,
        "{slot_time} ms of patient work"
    );
}

/// Guards against a team that exceeds its weight at the expense of another in the same class.
#[test]
fn teams_share_a_class_by_weight() {
    let of_team = |team, per_sec| Source {
        team: Some(team),
        ..source("normal", per_sec)
    };
    let sources = [
        of_team("crews", 2 * CAPACITY),
        of_team("masters", 8 * CAPACITY),
    ];

    let counts = run(&sources, |_| SERVICE_MS);

    let ratio = counts[0].1 as f64 / counts[1].1 as f64;
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

/// Records responses whose latency depends on the current limit, and returns the final limit.
fn feed(
    limit: &mut ConcurrencyLimit,
    now: &mut Millis,
    reviews: u64,
    latency: impl Fn(u32) -> u64,
) -> u32 {
    for _ in 0..reviews * 30 {
        *now = *now + Millis(20);
        limit.record(Millis(latency(limit.get())), limit.get(), *now);
    }
    limit.get()
}

/// Guards against a limit that ignores contention, falls below one or never recovers.
#[test]
fn the_concurrency_limit_follows_the_latency() {
    let mut limit = ConcurrencyLimit::new(8);
    let mut now = Millis::ZERO;

    let well = feed(&mut limit, &mut now, 10, |_| 20);
    let contended = feed(&mut limit, &mut now, 20, |in_flight| {
        100 * u64::from(in_flight)
    });
    let again_well = feed(&mut limit, &mut now, 20, |_| 20);

    assert_eq!((well, contended, again_well), (8, 1, 8));
}

/// Guards against lost capacity: a lower limit does not help if the latency has another cause than
/// concurrency.
#[test]
fn an_ineffective_reduction_of_the_limit_is_undone() {
    let mut limit = ConcurrencyLimit::new(8);
    let mut now = Millis::ZERO;
    feed(&mut limit, &mut now, 10, |_| 20);

    let slow = feed(&mut limit, &mut now, 10, |_| 100);

    assert_eq!(slow, 8);
}
