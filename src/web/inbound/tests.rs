//! Which connections are closed when a limit is reached.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::connection::{ConnectionId, Phase};
use super::connection_table::ConnectionTable;
use super::limits::{CONNECTION_BYTES, InboundLimits};
use crate::prelude::*;

const LIMITS: InboundLimits = InboundLimits {
    memory: 100 * CONNECTION_BYTES,
    connections: 10,
};

fn id(client: u16) -> ConnectionId {
    ConnectionId {
        port: 80,
        client: ([127, 0, 0, 1], client).into(),
    }
}

/// Opens a connection and begins a phase on it. Returns what closes it.
fn open(table: &mut ConnectionTable, client: u16, phase: Phase, now: u64) -> CancellationToken {
    let close = CancellationToken::new();
    let opened = table.open(id(client), close.clone(), Millis(now));
    assert!(opened.is_some(), "there is room for connection {client}");
    table.begin(&id(client), phase, Millis(now));
    close
}

/// Guards against slow clients that keep others out by their number.
#[test]
fn a_new_connection_takes_the_place_of_the_oldest_incomplete_request() {
    let mut table = ConnectionTable::new(LIMITS);
    let idle = open(&mut table, 1, Phase::Idle, 0);
    let crowd: Vec<_> = (2..11)
        .map(|client| open(&mut table, client, Phase::Head, 1000 + u64::from(client)))
        .collect();

    open(&mut table, 11, Phase::Idle, 2000);

    assert!(crowd[0].is_cancelled());
    assert!(crowd[1..].iter().all(|close| !close.is_cancelled()));
    assert!(!idle.is_cancelled());
}

/// Guards against a request that is cut off after it may have been passed on.
#[test]
fn complete_requests_are_not_closed() {
    let mut table = ConnectionTable::new(LIMITS);
    let serving: Vec<_> = (1..11)
        .map(|client| open(&mut table, client, Phase::Serving, 0))
        .collect();

    let refused = table.open(id(11), CancellationToken::new(), Millis(9000));

    assert_eq!(refused, None);
    assert!(!table.make_room(LIMITS.memory, Millis(9000)));
    assert!(serving.iter().all(|close| !close.is_cancelled()));
}

/// Guards against memory that is given to another request before it is free.
#[test]
fn a_closed_connection_counts_until_it_has_ended() {
    let mut table = ConnectionTable::new(LIMITS);
    let slow = open(&mut table, 1, Phase::Body, 0);
    table.hold(&id(1), 90 * CONNECTION_BYTES);
    open(&mut table, 2, Phase::Body, 50);

    let before = table.make_room(20 * CONNECTION_BYTES, Millis(100));
    let used = table.used();
    table.remove(&id(1), 1);
    let after = table.make_room(20 * CONNECTION_BYTES, Millis(100));

    assert!(slow.is_cancelled());
    assert_eq!((before, after), (false, true));
    assert_eq!(used, 92 * CONNECTION_BYTES);
}

/// Guards against the entry of a new connection that is removed with an older one from the same
/// port of the client.
#[test]
fn the_end_of_an_older_connection_does_not_remove_a_newer_one() {
    let mut table = ConnectionTable::new(LIMITS);
    let older = table.open(id(1), CancellationToken::new(), Millis(0));
    let newer = table.open(id(1), CancellationToken::new(), Millis(10));

    table.remove(&id(1), older.expect("opened"));

    assert!(older.is_some() && newer.is_some());
    assert_eq!(table.len(), 1);
}

/// Guards against memory that is counted twice or never returned, over random histories.
#[test]
fn all_memory_is_returned_when_all_connections_have_ended() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = ConnectionTable::new(LIMITS);
        let mut open = Vec::new();
        let mut reserved = Vec::new();
        for at in 0..500u64 {
            let now = Millis(at * 10);
            let client = id(rng.random_range(1..30));
            match rng.random_range(0..8) {
                0 | 1 => {
                    let number = table.open(client, CancellationToken::new(), now);
                    open.extend(number.map(|number| (client, number)));
                }
                2 => table.receive(&client, rng.random_range(1..50_000), now),
                3 => table.hold(&client, rng.random_range(0..200_000)),
                4 => {
                    let phases = [Phase::Idle, Phase::Head, Phase::Body, Phase::Serving];
                    table.begin(&client, phases[rng.random_range(0..4)], now);
                }
                5 => {
                    let bytes = rng.random_range(1..300_000);
                    reserved.extend(table.reserve(bytes, now).then_some(bytes));
                }
                6 => reserved
                    .pop()
                    .into_iter()
                    .for_each(|bytes| table.release(bytes)),
                _ => open
                    .pop()
                    .into_iter()
                    .for_each(|(client, number)| table.remove(&client, number)),
            }
            assert!(table.len() <= 2 * LIMITS.connections, "seed {seed}");
        }
        for (client, number) in open {
            table.remove(&client, number);
        }
        for bytes in reserved {
            table.release(bytes);
        }
        assert_eq!((table.len(), table.used()), (0, 0), "seed {seed}");
    }
}

/// Guards against limits that exceed a VM, and against limits that ordinary clients meet.
#[test]
fn limits_follow_from_the_vm() {
    let smallest = InboundLimits::for_vm(160, 4100);
    let largest = InboundLimits::for_vm(512, 8192);

    assert_eq!(smallest.memory, 40 << 20);
    assert_eq!(smallest.connections, 853);
    assert_eq!(largest.memory, 128 << 20);
    assert_eq!(largest.connections, 2048);
    assert_eq!(InboundLimits::for_vm(0, 0), InboundLimits::default());
}
