//! How soon a new bundle takes effect in a process that learns of it from the store, from peers or
//! from both.

mod bundle_support;

use std::sync::Arc;
use std::time::Duration;

use bundle_support::*;
use sapphirecroft::bundle::{ActiveBundle, BundleInForce, BundleStatus, parse_bundle};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::Store;
use tokio::time::Instant;

/// Guarantee P9: a signed-off bundle is in effect everywhere within this time.
const BOUND: Duration = Duration::from_secs(8);

/// Starts the task that keeps the process up to date with the store.
fn follow(p: &Process, watcher: bool) {
    p.keeper.set_watcher(watcher);
    let keeper = Arc::clone(&p.keeper);
    let store: Arc<dyn Store> = p.link.clone();
    tokio::spawn(async move { keeper.run(store, CancellationToken::new()).await });
}

/// Waits until a condition holds and returns how long that took.
async fn time_until(condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < 10 * BOUND, "condition never holds");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}

/// Guards against a process without peers in which a change takes effect too late. The change comes
/// at different points of the polling cycle, with and without a watch of the store.
#[test]
fn change_takes_effect_from_the_store_within_the_bound() {
    for watcher in [false, true] {
        for offset in 0..16 {
            run(async {
                let (kv, p) = site().await;
                release(&p, variant(1)).await;
                let alone = process(&kv, "entry-1");
                follow(&alone, watcher);
                tokio::time::sleep(Duration::from_millis(60_000 + offset * 500)).await;

                release(&p, variant(2)).await;
                let delay = time_until(|| alone.keeper.newest() == Version(2)).await;

                assert!(
                    delay <= BOUND,
                    "watcher {watcher}, offset {offset}: {delay:?}"
                );
            });
        }
    }
}

/// Guards against a watcher that never reads a change because the notification of one watch was
/// lost.
#[test]
fn missed_notification_delays_a_change_by_one_watch() {
    run(async {
        let (kv, p) = site().await;
        let watcher = process(&kv, "entry-1");
        follow(&watcher, true);
        tokio::time::sleep(Duration::from_secs(1)).await;
        watcher.link.miss_notifications(1);
        release(&p, variant(1)).await;

        let delay = time_until(|| watcher.keeper.newest() == Version(1)).await;

        assert!(delay <= BOUND, "{delay:?}");
    });
}

/// Guards against a process that stops retrying, or backs off too long, during an outage of hours.
#[test]
fn change_takes_effect_after_an_outage() {
    for watcher in [false, true] {
        run(async {
            let (kv, p) = site().await;
            let alone = process(&kv, "entry-1");
            follow(&alone, watcher);
            alone.link.set_cut(true);
            tokio::time::sleep(Duration::from_secs(3 * 3600)).await;
            release(&p, variant(1)).await;
            alone.link.set_cut(false);

            let delay = time_until(|| alone.keeper.newest() == Version(1)).await;

            assert!(delay <= BOUND, "watcher {watcher}: {delay:?}");
        });
    }
}

/// Guards against reads of the store by every process: a process whose peers have a recent
/// confirmation must not read the store.
#[test]
fn confirmation_by_peers_replaces_reads_of_the_store() {
    run(async {
        let (kv, p) = site().await;
        release(&p, variant(1)).await;
        let follower = process(&kv, "entry-1");
        follow(&follower, false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = kv.calls();
        let status = BundleStatus {
            version: Version(1),
            ring: 1,
            age: Some(Millis(1500)),
        };

        for _ in 0..600 {
            assert!(!follower.keeper.receive_status(&status));
            tokio::time::sleep(Duration::from_secs(1)).await;
        }

        assert_eq!(kv.calls(), before);
    });
}

/// Guards against a peer status with a lower version or an older key ring that counts as a
/// confirmation and keeps a process from reading the store.
#[test]
fn stale_peer_status_is_no_confirmation() {
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

/// Guards against a version in force that decreases or is replaced by another bundle with the same
/// version.
#[test]
fn active_version_never_decreases() {
    let active = ActiveBundle::default();
    let at = |version| BundleInForce {
        version: Version(version),
        bundle: parse_bundle(&variant(version)).expect("valid"),
    };

    let raised: Vec<bool> = [2, 2, 1, 3].map(|version| active.raise(at(version))).into();

    assert_eq!(raised, [true, false, false, true]);
    assert_eq!(active.version(), Version(3));
}
