//! Configurations that take long to transfer, and daemons that cannot confirm theirs.

mod platform_support;

use std::time::Duration;

use platform_support::{Site, call, eventually, large_config};

/// Largest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Bytes a second of the narrowest links of entry VMs, 10 Mbit/s. The largest value is 1.4 MB long
/// on the wire and takes 1.1 s.
const NARROW_LINK: u64 = 1_250_000;

/// Status of a request for the number of waiting jobs of a queue.
async fn pending_status(site: &Site, prefix: &str) -> u16 {
    call(site.daemons[0].frontend, "GET", prefix, "").await.0
}

/// Guards against a read that is given up for its length although it makes progress: it starts from
/// nothing each time, and the daemon never gets a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_starts_with_the_largest_configuration_over_a_narrow_link() {
    let mut site = Site::start("narrow-start", 1, 1).await;
    site.daemons[0].kill();
    site.store
        .put("op/config", &large_config(2, MAX_VALUE_BYTES));
    site.daemons[0].store_link.limit_rate(NARROW_LINK);

    site.daemons[0].restart_if_exited();

    eventually("the last queue of the configuration is known", || async {
        pending_status(&site, "/last/").await == 200
    })
    .await;
}

/// Guards against the same for a daemon that runs: after a watch without an answer it read the whole
/// value again and kept the older version for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_daemon_takes_the_largest_configuration_over_a_narrow_link() {
    let site = Site::start("narrow-change", 1, 1).await;
    // Half of the rate, so that no phase of the watch leaves time for the whole answer.
    site.daemons[0].store_link.limit_rate(NARROW_LINK / 2);

    site.store
        .put("op/config", &large_config(2, MAX_VALUE_BYTES));

    eventually("the last queue of the configuration is known", || async {
        pending_status(&site, "/last/").await == 200
    })
    .await;
}

/// Guards against answers from a configuration that may be outdated: a daemon that cannot reach the
/// store said that a queue does not exist which had been added meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_cannot_confirm_its_configuration_does_not_deny_a_queue() {
    let site = Site::start("unconfirmed", 1, 1).await;
    let before = pending_status(&site, "/last/").await;
    site.daemons[0].store_link.cut(true, true);

    // The bound of the site after which a new version has to be in force, and a round of the watch.
    tokio::time::sleep(Duration::from_millis(3000 + 2500)).await;
    let unknown = pending_status(&site, "/last/").await;
    let known = pending_status(&site, "/queue/").await;
    site.daemons[0].store_link.heal();

    assert_eq!(before, 404);
    assert_eq!((unknown, known), (503, 503));
    eventually("the daemon confirms its configuration again", || async {
        pending_status(&site, "/last/").await == 404
    })
    .await;
}

/// Guards against a daemon that refuses its callers because it cannot reach the store, although the
/// leader can tell it that its configuration is the newest; and against one that goes on with an
/// older version when the leader tells of a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_cut_off_from_the_store_asks_the_leader() {
    let site = Site::start("cut-off", 1, 2).await;
    let cut_off = 1 - site.leader().await;
    let status = |prefix: &'static str| {
        let frontend = site.daemons[cut_off].frontend;
        async move { call(frontend, "GET", prefix, "").await.0 }
    };
    eventually("the daemon knows the leader", || async {
        status("/queue/").await == 200
    })
    .await;
    site.daemons[cut_off].store_link.cut(true, true);

    tokio::time::sleep(Duration::from_millis(3000 + 2500)).await;
    let confirmed = (status("/queue/").await, status("/last/").await);
    site.store.put("op/config", &large_config(2, 10_000));
    tokio::time::sleep(Duration::from_millis(3000 + 2500)).await;
    let outdated = (status("/queue/").await, status("/last/").await);

    assert_eq!(confirmed, (200, 404));
    assert_eq!(outdated, (503, 503));
}
