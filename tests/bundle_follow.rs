//! How fast a change reaches a process that hears from the store, from peers or from both.

mod bundle_support;

use std::sync::Arc;
use std::time::Duration;

use bundle_support::*;
use sapphirecroft::bundle::{ActiveBundle, BundleInForce, BundleStatus, parse_bundle};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::Store;
use tokio::time::Instant;

/// P9: a signed-off bundle is in effect everywhere within this time.
const BOUND: Duration = Duration::from_secs(8);

/// Starts following the store.
fn follow(p: &Process, watcher: bool) {
    p.keeper.set_watcher(watcher);
    let keeper = Arc::clone(&p.keeper);
    let store: Arc<dyn Store> = p.link.clone();
    tokio::spawn(async move { keeper.run(store, CancellationToken::new()).await });
}

/// Waits until a condition holds and returns how long it took.
async fn time_until(holds: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < 10 * BOUND, "condition never holds");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}

/// Guards against a process that reaches nothing but the store and learns too late, whether it
/// watches the store or not, and whenever in its cycle the change comes.
#[test]
fn change_arrives_from_the_store_within_the_bound() {
    for watcher in [false, true] {
        for offset in 0..16 {
            run(async {
                let (kv, p) = site().await;
                release(&p, variant(1)).await;
                let alone = process(&kv, "entry-1");
                follow(&alone, watcher);
                tokio::time::sleep(Duration::from_millis(60_000 + offset * 500)).await;

                release(&p, variant(2)).await;
                let took = time_until(|| alone.keeper.newest() == Version(2)).await;

                assert!(
                    took <= BOUND,
                    "watcher {watcher}, offset {offset}: {took:?}"
                );
            });
        }
    }
}

/// Guards against a watcher that trusts a watch that missed the change.
#[test]
fn missed_notification_costs_one_watch() {
    run(async {
        let (kv, p) = site().await;
        let watcher = process(&kv, "entry-1");
        follow(&watcher, true);
        tokio::time::sleep(Duration::from_secs(1)).await;
        watcher.link.miss_notifications(1);
        release(&p, variant(1)).await;

        let took = time_until(|| watcher.keeper.newest() == Version(1)).await;

        assert!(took <= BOUND, "{took:?}");
    });
}

/// Guards against a process that gives up or waits too long after an outage of hours.
#[test]
fn change_arrives_after_an_outage() {
    for watcher in [false, true] {
        run(async {
            let (kv, p) = site().await;
            let alone = process(&kv, "entry-1");
            follow(&alone, watcher);
            alone.link.set_cut(true);
            tokio::time::sleep(Duration::from_secs(3 * 3600)).await;
            release(&p, variant(1)).await;
            alone.link.set_cut(false);

            let took = time_until(|| alone.keeper.newest() == Version(1)).await;

            assert!(took <= BOUND, "watcher {watcher}: {took:?}");
        });
    }
}

/// Guards against reads by every process: those that hear from peers must leave the store alone.
#[test]
fn process_that_hears_from_peers_does_not_read() {
    run(async {
        let (kv, p) = site().await;
        release(&p, variant(1)).await;
        let quiet = process(&kv, "entry-1");
        follow(&quiet, false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = kv.calls();
        let status = BundleStatus {
            version: Version(1),
            ring: 1,
            age: Some(Millis(1500)),
        };

        for _ in 0..600 {
            assert!(!quiet.keeper.receive_status(&status));
            tokio::time::sleep(Duration::from_secs(1)).await;
        }

        assert_eq!(kv.calls(), before);
    });
}

/// Guards against news of a lower version or an older key ring that keep a process from reading.
#[test]
fn stale_peers_confirm_nothing() {
    run(async {
        let (kv, p) = site().await;
        release(&p, variant(1)).await;
        let alone = process(&kv, "entry-1");
        follow(&alone, false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut ring = stored_ring(&p).await;
        ring.revoke(&id("bo"), None, Version(1)).expect("bo exists");
        p.manager
            .change_ring(None, ring_request(&ring))
            .await
            .expect("accepted");
        let stale = BundleStatus {
            version: Version(0),
            ring: 1,
            age: Some(Millis::ZERO),
        };
        let ahead = BundleStatus {
            version: Version(1),
            ring: 2,
            age: Some(Millis::ZERO),
        };

        let start = Instant::now();
        while alone.keeper.ring_serial() < 2 {
            assert!(!alone.keeper.receive_status(&stale));
            assert!(alone.keeper.receive_status(&ahead));
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert!(start.elapsed() <= BOUND);
        }

        assert!(!alone.keeper.receive_status(&ahead));
    });
}

/// Guards against a version in force that goes down at the last place where it could.
#[test]
fn active_bundle_only_rises() {
    let active = ActiveBundle::default();
    let at = |version| BundleInForce {
        version: Version(version),
        bundle: parse_bundle(&variant(version)).expect("valid"),
    };

    let raised: Vec<bool> = [2, 2, 1, 3].map(|version| active.raise(at(version))).into();

    assert_eq!(raised, [true, false, false, true]);
    assert_eq!(active.version(), Version(3));
}
