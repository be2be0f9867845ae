//! Idempotency keys across several entry processes: a keyed request runs at most once.

mod proxy_support;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use proxy_support::*;
use sapphirecroft::standin::Endpoint;

const NAMES: [&str; 3] = ["entry-a", "entry-b", "entry-c"];

struct Region {
    membership: TestMembership,
    endpoints: Vec<Arc<Endpoint>>,
    entries: Vec<Entry>,
}

/// Starts three entry processes that share two endpoints.
async fn region() -> Region {
    let membership = TestMembership::new(&NAMES);
    let endpoints = endpoints(2).await;
    let mut entries = Vec::new();
    for name in NAMES {
        entries.push(Entry::start(&membership, name, shares(&endpoints, 2)).await);
    }
    Region {
        membership,
        endpoints,
        entries,
    }
}

impl Region {
    fn entry(&self, name: &str) -> &Entry {
        let found = self.entries.iter().find(|entry| entry.member == id(name));
        found.expect("entry exists")
    }

    /// Removes unreachable members and lets the remaining ones adopt the new view.
    fn lose(&self, lost: &[&str], left: &[&str]) {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        for name in lost {
            self.membership.set_addr(&id(name), nowhere);
        }
        let view = self.membership.change(left);
        for name in left {
            self.entry(name).proxy.adopt_view(Arc::new(view.clone()));
        }
    }
}

/// Guards against a repeat that runs again because it arrives at another process than the first
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_through_any_process_gets_the_recorded_response() {
    let region = region().await;
    let key = region.membership.key_of("entry-a", "entry-b");

    let mut responses = Vec::new();
    for entry in &region.entries {
        responses.push(call(entry.addr, post(&key, 1, 30_000)).await);
    }

    for response in &responses {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert!(response.is_complete_response_to(&key));
        assert_eq!(response.body, responses[0].body);
        assert_eq!(response.header("x-request-id"), key);
    }
    assert_eq!(responses[2].header("sapphirecroft-repeat"), "true");
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against copies that run because the first one is still in flight.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_run_once() {
    let region = region().await;
    let key = region.membership.key_of("entry-b", "entry-c");

    let calls: Vec<_> = (0..12)
        .map(|i| {
            let addr = region.entries[i % 3].addr;
            let req = post(&key, 200, 0);
            tokio::spawn(async move { call(addr, req).await })
        })
        .collect();
    let mut answered = 0;
    for task in calls {
        let response = task.await.expect("caller ends");
        match response.status {
            StatusCode::OK => answered += 1,
            _ => assert_eq!(response.outcome(), "unknown", "{response:?}"),
        }
    }

    assert!(answered >= 1);
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against answering a different request with the response recorded under its reused key.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_request_is_refused() {
    let region = region().await;
    let entry = &region.entries[0];
    call(entry.addr, post("k", 1, 0)).await;
    let mut other = post("k", 1, 0);
    *other.uri_mut() = "/booking/other".parse().expect("path");

    let response = call(entry.addr, other).await;

    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(response.outcome(), "not-run");
    assert_eq!(runs(&region.endpoints, "k"), 1);
}

/// Guards against sending a keyed request whose backup is unreachable, since the loss of its home
/// would then lose the key.
#[tokio::test(flavor = "multi_thread")]
async fn key_that_the_backup_cannot_record_is_refused() {
    let region = region().await;
    let key = region.membership.key_of("entry-a", "entry-b");
    let addr = region.membership.addr(&id("entry-b"));
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    region.membership.set_addr(&id("entry-b"), nowhere);

    let refused = call(region.entries[0].addr, post(&key, 1, 0)).await;
    let ran = runs(&region.endpoints, &key);
    region.membership.set_addr(&id("entry-b"), addr);
    let answered = call(region.entries[0].addr, post(&key, 1, 0)).await;

    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    assert_eq!(ran, 0);
    assert!(answered.is_complete_response_to(&key), "{answered:?}");
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against a second run after the home of the key is lost.
#[tokio::test(flavor = "multi_thread")]
async fn backup_answers_repeats_after_the_home_is_lost() {
    let region = region().await;
    let key = region.membership.key_of("entry-a", "entry-b");
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
    let response = call(entry.addr, post(&key, 1, 0)).await;

    // The response is recorded at the backup unless the home was lost before it sent it there.
    assert!(
        response.is_complete_response_to(&key) || response.outcome() == "unknown",
        "{response:?}"
    );
    assert_eq!(runs(&region.endpoints, &key), 1);
}

/// Guards against a second run after all holders of a key are lost, and against refusing a key that
/// still has a holder.
#[tokio::test(flavor = "multi_thread")]
async fn keys_whose_holders_are_all_lost_are_refused() {
    let region = region().await;
    let lost = region.membership.key_of("entry-a", "entry-b");
    let kept = region.membership.key_of("entry-a", "entry-c");
    call(region.entries[0].addr, post(&lost, 1, 0)).await;

    region.lose(&["entry-a", "entry-b"], &["entry-c"]);
    let entry = region.entry("entry-c");
    let refused = call(entry.addr, post(&lost, 1, 0)).await;
    let fresh = call(entry.addr, post(&kept, 1, 0)).await;

    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    let retry_after: u64 = refused.header("retry-after-ms").parse().expect("hint");
    assert!(retry_after > 300_000, "{retry_after}");
    assert!(fresh.is_complete_response_to(&kept), "{fresh:?}");
    assert_eq!(runs(&region.endpoints, &lost), 1);
}

/// Guards against refusing requests at a process without slots while a peer can serve them.
#[tokio::test(flavor = "multi_thread")]
async fn process_without_slots_forwards_to_a_peer() {
    let membership = TestMembership::new(&["entry-a", "entry-b"]);
    let endpoints = endpoints(1).await;
    let bare = Entry::start(&membership, "entry-a", Vec::new()).await;
    let peer = Entry::start(&membership, "entry-b", shares(&endpoints, 4)).await;
    bare.set_peers(&["entry-b"]);

    let plain = call(bare.addr, get("plain", 1, 200_000)).await;
    let key = membership.key_of("entry-a", "entry-b");
    let keyed = call(bare.addr, post(&key, 1, 0)).await;
    peer.cancel.cancel();
    let drained = call(bare.addr, get("drained", 1, 0)).await;

    assert!(
        plain.is_complete_response_to("plain"),
        "{:?}",
        plain.headers
    );
    assert!(
        !plain.headers.contains_key("sapphirecroft-free-slots"),
        "load is for peers only"
    );
    assert!(keyed.is_complete_response_to(&key), "{keyed:?}");
    assert_eq!(drained.outcome(), "not-run", "{drained:?}");
    assert_eq!(bare.metric("sapphirecroft_forwards_total") as u64, 3);
    assert_eq!(runs(&endpoints, "drained"), 0);
}

/// Guards against "not run" for a forwarded request whose peer closed the connection without a
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_of_a_peer_is_unknown() {
    let membership = TestMembership::new(&["entry-a", "entry-b"]);
    let bare = Entry::start(&membership, "entry-a", Vec::new()).await;
    bare.set_peers(&["entry-b"]);
    let key = membership.key_of("entry-b", "entry-a");
    let raw = RawEndpoint::start("").await;
    membership.set_addr(&id("entry-b"), raw.addr);

    let response = call(bare.addr, post(&key, 1, 0)).await;

    assert_eq!(response.outcome(), "unknown", "{response:?}");
    assert_eq!(raw.heads.lock().len(), 1);
}

/// Guards against forwarded requests that wait until their deadline on a stalled connection to a
/// peer.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection_to_a_peer_is_given_up_before_the_deadline() {
    let membership = TestMembership::new(&["entry-a", "entry-b"]);
    let bare = Entry::start(&membership, "entry-a", Vec::new()).await;
    bare.set_peers(&["entry-b"]);
    let peer = endpoints(1).await;
    membership.set_addr(&id("entry-b"), peer[0].addr());
    call(bare.addr, get("warm", 1, 0)).await;
    peer[0].faults.silence_open_connections();
    let mut req = get("r", 1, 0);
    let deadline = "6000".parse().expect("value");
    req.headers_mut()
        .insert("sapphirecroft-deadline-ms", deadline);

    let stalled = call(bare.addr, req).await;
    let fresh = call(bare.addr, get("fresh", 1, 0)).await;

    assert_eq!(stalled.status, StatusCode::BAD_GATEWAY, "{stalled:?}");
    assert_eq!(stalled.outcome(), "unknown");
    assert!(fresh.is_complete_response_to("fresh"), "{fresh:?}");
}

/// Guards against running a request whose body was cut off by its caller.
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
