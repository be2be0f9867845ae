//! Calls over pooled connections to one peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Method;
use sapphirecroft::entry::{PollRequest, WorkerCalls};
use sapphirecroft::model::{Millis, WorkerId};
use sapphirecroft::platform::WorkerClient;
use sapphirecroft::telemetry::Activity;
use sapphirecroft::web::{Link, LinkError, LinkRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A peer that counts its connections and requests.
#[derive(Default)]
struct Peer {
    connections: AtomicUsize,
    /// Connections that are open now.
    open: AtomicUsize,
    requests: AtomicUsize,
}

/// Starts a peer whose connections answer this many requests each. Then they are closed, or with
/// `silent`, read on without an answer.
async fn start_peer(answers: usize, silent: bool) -> (Arc<Peer>, Link) {
    let (peer, address) = listen(answers, silent).await;
    (peer, Link::new(address, Activity::WorkerLink))
}

async fn listen(answers: usize, silent: bool) -> (Arc<Peer>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address").to_string();
    let peer = Arc::new(Peer::default());
    let own = peer.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            own.connections.fetch_add(1, Ordering::Relaxed);
            own.open.fetch_add(1, Ordering::Relaxed);
            let peer = own.clone();
            tokio::spawn(async move {
                serve(peer.clone(), stream, answers, silent).await;
                peer.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (peer, address)
}

async fn serve(peer: Arc<Peer>, mut stream: TcpStream, answers: usize, silent: bool) {
    let mut buf = [0; 4096];
    let mut answered = 0;
    while let Ok(1..) = stream.read(&mut buf).await {
        peer.requests.fetch_add(1, Ordering::Relaxed);
        if answered < answers {
            answered += 1;
            if stream.write_all(ANSWER.as_bytes()).await.is_err() {
                return;
            }
        }
        if answered == answers && !silent {
            return;
        }
    }
}

async fn call(link: &Link, timeout: u64) -> Result<u16, LinkError> {
    let req = LinkRequest {
        method: Method::GET,
        path: "/path",
        headers: &[],
        body: Vec::new(),
        timeout: Millis(timeout),
    };
    let (status, _, body) = link.call(req).await?;
    assert_eq!(&body[..], b"ok");
    Ok(status.as_u16())
}

/// Guards against a connection for each call, which workers charge for.
#[tokio::test]
async fn calls_share_a_connection() {
    let (peer, link) = start_peer(100, false).await;

    for _ in 0..20 {
        assert_eq!(call(&link, 5000).await, Ok(200));
    }

    assert_eq!(peer.connections.load(Ordering::Relaxed), 1);
}

/// Guards against a failed call after the peer has closed a connection between two calls.
#[tokio::test]
async fn a_closed_connection_is_replaced_without_a_failure() {
    let (peer, link) = start_peer(1, false).await;

    for _ in 0..5 {
        assert_eq!(call(&link, 5000).await, Ok(200));
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }

    assert_eq!(peer.requests.load(Ordering::Relaxed), 5);
}

/// Guards against further calls on connections that have gone silent, and against a silent call
/// that is taken for one that was not sent.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let (peer, link) = start_peer(2, true).await;
    let both = tokio::join!(call(&link, 5000), call(&link, 5000));
    assert_eq!(both, (Ok(200), Ok(200)));
    let (first, second) = tokio::join!(call(&link, 5000), call(&link, 5000));
    assert_eq!((first, second), (Ok(200), Ok(200)));

    let silent = call(&link, 300).await;
    let next = call(&link, 5000).await;

    assert!(matches!(silent, Err(LinkError::NoAnswer(_))), "{silent:?}");
    assert_eq!(next, Ok(200));
    assert_eq!(peer.connections.load(Ordering::Relaxed), 3);
}

/// Guards against a refused connection that leaves a call in doubt.
#[tokio::test]
async fn a_refused_connection_has_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address").to_string();
    drop(listener);
    let link = Link::new(address, Activity::WorkerLink);

    let refused = call(&link, 5000).await;

    assert!(matches!(refused, Err(LinkError::NotSent(_))), "{refused:?}");
}

/// Guards against a leader that keeps so many connections to a worker that the leaders after it reach
/// the worker no more once a few of them have lost power (review case 7), and against calls that wait
/// for a connection, because they are out of date by the time they are sent.
#[tokio::test]
async fn a_link_keeps_no_more_idle_connections_than_it_is_told() {
    let (peer, address) = listen(100, false).await;
    let link = Link::new(address, Activity::WorkerLink).keep_idle(1);

    let calls = (0..30).map(|_| call(&link, 5000));
    let answers = futures_util::future::join_all(calls).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;

    assert!(
        answers.iter().all(|answer| *answer == Ok(200)),
        "{answers:?}"
    );
    assert_eq!(peer.requests.load(Ordering::Relaxed), 30);
    assert_eq!(peer.open.load(Ordering::Relaxed), 1);
}

/// Guards against a call that waits behind others that have gone silent.
#[tokio::test]
async fn a_call_does_not_wait_for_others() {
    let (peer, address) = listen(0, true).await;
    let link = Link::new(address, Activity::WorkerLink).keep_idle(1);

    let (first, second) = tokio::join!(call(&link, 200), call(&link, 200));

    assert!(matches!(first, Err(LinkError::NoAnswer(_))), "{first:?}");
    assert!(matches!(second, Err(LinkError::NoAnswer(_))), "{second:?}");
    assert_eq!(peer.requests.load(Ordering::Relaxed), 2);
}

/// Guards against a process that keeps its connections to workers after its term has ended: a site
/// of many processes would take all that a worker allows (review case 7).
#[tokio::test]
async fn the_connections_to_workers_are_closed_on_request() {
    let (peer, address) = listen(100, false).await;
    let client = WorkerClient::new(None);
    let request = PollRequest {
        address,
        fence: 1,
        last_acknowledged: 0,
        deadline: None,
        wait: Millis::ZERO,
    };
    let worker: WorkerId = "w1".parse().expect("valid id");

    // The answers of the peer are no lists.
    for _ in 0..3 {
        assert!(client.poll(&worker, &request).await.is_err());
    }
    let before = peer.open.load(Ordering::Relaxed);
    client.disconnect();
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;

    assert_eq!(before, 1);
    assert_eq!(peer.open.load(Ordering::Relaxed), 0);
}
