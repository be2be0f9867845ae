//! Requests that may run only once, across several entry processes.

mod proxy_support;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use proxy_support::*;
use sapphirecroft::standin::Endpoint;

const NAMES: [&str; 3] = ["entry-a", "entry-b", "entry-c"];

struct Region {
    ring: Ring,
    endpoints: Vec<Arc<Endpoint>>,
    entries: Vec<Entry>,
}

/// Starts three entry processes that share two endpoints.
async fn region() -> Region {
    let ring = Ring::new(&NAMES);
    let endpoints = endpoints(2).await;
    let mut entries = Vec::new();
    for name in NAMES {
        entries.push(Entry::start(&ring, name, shares(&endpoints, 2)).await);
    }
    Region {
        ring,
        endpoints,
        entries,
    }
}

impl Region {
    fn entry(&self, name: &str) -> &Entry {
        let found = self.entries.iter().find(|entry| entry.member == id(name));
        found.expect("entry exists")
    }

    /// Removes a member that answers nothing any more, and tells the others.
    fn lose(&self, lost: &[&str], left: &[&str]) {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        for name in lost {
            self.ring.set_addr(&id(name), nowhere);
        }
        let view = self.ring.change(left);
        for name in left {
            self.entry(name).proxy.adopt_view(Arc::new(view.clone()));
        }
    }
}

/// Guards against a repeat that runs again, wherever it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_through_any_process_gets_the_recorded_answer() {
    let region = region().await;
    let key = region.ring.key_of("entry-a", "entry-b");

    let mut answers = Vec::new();
    for entry in &region.entries {
        answers.push(call(entry.addr, post(&key, 1, 30_000)).await);
    }

    for got in &answers {
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
        assert!(got.is_whole_answer_to(&key));
        assert_eq!(got.body, answers[0].body);
        assert_eq!(got.header("x-request-id"), key);
    }
    assert_eq!(answers[2].header("sapphirecroft-repeat"), "true");
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against copies that run because the first one is still in progress.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_run_once() {
    let region = region().await;
    let key = region.ring.key_of("entry-b", "entry-c");

    let calls: Vec<_> = (0..12)
        .map(|i| {
            let addr = region.entries[i % 3].addr;
            let req = post(&key, 200, 0);
            tokio::spawn(async move { call(addr, req).await })
        })
        .collect();
    let mut answered = 0;
    for task in calls {
        let got = task.await.expect("caller ends");
        match got.status {
            StatusCode::OK => answered += 1,
            _ => assert_eq!(got.outcome(), "unknown", "{got:?}"),
        }
    }

    assert!(answered >= 1);
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against the use of a key for a different request.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_request_is_refused() {
    let region = region().await;
    let entry = &region.entries[0];
    call(entry.addr, post("k", 1, 0)).await;
    let mut other = post("k", 1, 0);
    *other.uri_mut() = "/booking/other".parse().expect("path");

    let got = call(entry.addr, other).await;

    assert_eq!(got.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(got.outcome(), "not-run");
    assert_eq!(runs(&region.endpoints, "k"), 1);
}

/// Guards against sending a keyed request that only one member has recorded.
#[tokio::test(flavor = "multi_thread")]
async fn key_that_the_backup_cannot_record_is_refused() {
    let region = region().await;
    let key = region.ring.key_of("entry-a", "entry-b");
    let addr = region.ring.addr(&id("entry-b"));
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    region.ring.set_addr(&id("entry-b"), nowhere);

    let refused = call(region.entries[0].addr, post(&key, 1, 0)).await;
    let ran = runs(&region.endpoints, &key);
    region.ring.set_addr(&id("entry-b"), addr);
    let answered = call(region.entries[0].addr, post(&key, 1, 0)).await;

    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    assert_eq!(ran, 0);
    assert!(answered.is_whole_answer_to(&key), "{answered:?}");
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against a key that is forgotten with its home.
#[tokio::test(flavor = "multi_thread")]
async fn backup_answers_repeats_after_the_home_is_lost() {
    let region = region().await;
    let key = region.ring.key_of("entry-a", "entry-b");
    call(region.entries[0].addr, post(&key, 1, 0)).await;
    let backup = region.entry("entry-b");
    until("the backup has the record", || {
        backup.proxy.keys_held() == 1
    })
    .await;

    region.lose(&["entry-a"], &["entry-b", "entry-c"]);
    let entry = region.entry("entry-c");
    until("the new holder has the record", || {
        entry.proxy.keys_held() == 1
    })
    .await;
    let got = call(entry.addr, post(&key, 1, 0)).await;

    // The answer is known unless the home was lost before it told the backup.
    assert!(
        got.is_whole_answer_to(&key) || got.outcome() == "unknown",
        "{got:?}"
    );
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against a second run when nobody is left who knows of the first one.
#[tokio::test(flavor = "multi_thread")]
async fn keys_whose_holders_are_all_lost_are_refused() {
    let region = region().await;
    let lost = region.ring.key_of("entry-a", "entry-b");
    let kept = region.ring.key_of("entry-a", "entry-c");
    call(region.entries[0].addr, post(&lost, 1, 0)).await;

    region.lose(&["entry-a", "entry-b"], &["entry-c"]);
    let entry = region.entry("entry-c");
    let refused = call(entry.addr, post(&lost, 1, 0)).await;
    let fresh = call(entry.addr, post(&kept, 1, 0)).await;

    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    let retry_after: u64 = refused.header("retry-after-ms").parse().expect("hint");
    assert!(retry_after > 300_000, "{retry_after}");
    assert!(fresh.is_whole_answer_to(&kept), "{fresh:?}");
    assert_eq!(runs(&region.endpoints, &lost), 1);
}

/// Guards against a process without slots that refuses what a peer could serve.
#[tokio::test(flavor = "multi_thread")]
async fn process_without_slots_forwards_to_a_peer() {
    let ring = Ring::new(&["entry-a", "entry-b"]);
    let endpoints = endpoints(1).await;
    let bare = Entry::start(&ring, "entry-a", Vec::new()).await;
    let peer = Entry::start(&ring, "entry-b", shares(&endpoints, 4)).await;
    bare.set_peers(&["entry-b"]);

    let plain = call(bare.addr, get("plain", 1, 200_000)).await;
    let key = ring.key_of("entry-a", "entry-b");
    let keyed = call(bare.addr, post(&key, 1, 0)).await;
    peer.cancel.cancel();
    let drained = call(bare.addr, get("drained", 1, 0)).await;

    assert!(plain.is_whole_answer_to("plain"), "{:?}", plain.headers);
    assert!(
        !plain.headers.contains_key("sapphirecroft-free-slots"),
        "load is for peers only"
    );
    assert!(keyed.is_whole_answer_to(&key), "{keyed:?}");
    assert_eq!(drained.outcome(), "not-run", "{drained:?}");
    assert_eq!(bare.metric("sapphirecroft_forwards_total") as u64, 3);
    assert_eq!(runs(&endpoints, "drained"), 0);
}

/// Guards against a lost answer of a peer that is taken for a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_a_peer_is_unknown() {
    let ring = Ring::new(&["entry-a", "entry-b"]);
    let bare = Entry::start(&ring, "entry-a", Vec::new()).await;
    bare.set_peers(&["entry-b"]);
    let key = ring.key_of("entry-b", "entry-a");
    let raw = RawEndpoint::start("").await;
    ring.set_addr(&id("entry-b"), raw.addr);

    let got = call(bare.addr, post(&key, 1, 0)).await;

    assert_eq!(got.outcome(), "unknown", "{got:?}");
    assert_eq!(raw.heads.lock().len(), 1);
}

/// Guards against forwarded requests that wait for a silent peer until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_to_a_peer_is_given_up_before_the_deadline() {
    let ring = Ring::new(&["entry-a", "entry-b"]);
    let bare = Entry::start(&ring, "entry-a", Vec::new()).await;
    bare.set_peers(&["entry-b"]);
    let peer = endpoints(1).await;
    ring.set_addr(&id("entry-b"), peer[0].addr());
    call(bare.addr, get("warm", 1, 0)).await;
    peer[0].faults.silence_open_connections();
    let mut req = get("r", 1, 0);
    let deadline = "6000".parse().expect("value");
    req.headers_mut()
        .insert("sapphirecroft-deadline-ms", deadline);

    let silent = call(bare.addr, req).await;
    let fresh = call(bare.addr, get("fresh", 1, 0)).await;

    assert_eq!(silent.status, StatusCode::BAD_GATEWAY, "{silent:?}");
    assert_eq!(silent.outcome(), "unknown");
    assert!(fresh.is_whole_answer_to("fresh"), "{fresh:?}");
}

/// Guards against a request that is cut short by its caller and runs all the same.
#[tokio::test(flavor = "multi_thread")]
async fn request_cut_off_by_its_caller_does_not_run() {
    use tokio::io::AsyncWriteExt;
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 2)).await;
    let mut stream = tokio::net::TcpStream::connect(entry.addr)
        .await
        .expect("connects");
    let head = "POST /booking/x HTTP/1.1\r\nhost: t\r\nx-request-id: cut\r\nidempotency-key: cut\r\ncontent-length: 100\r\n\r\nhalf";

    stream
        .write_all(head.as_bytes())
        .await
        .expect("head is sent");
    until("the request has arrived", || entry.proxy.in_flight() == 1).await;
    drop(stream);
    until("the request has ended", || entry.proxy.in_flight() == 0).await;

    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(runs(&endpoints, "cut"), 0);
}
