//! Answers that take long, stall, or are larger than a caller takes.

use std::time::Duration;

use http::Method;
use sapphirecroft::entry::{StateStore, WatchResponse};
use sapphirecroft::model::Millis;
use sapphirecroft::platform::KvClient;
use sapphirecroft::telemetry::Activity;
use sapphirecroft::web::{Caller, Link, LinkError, LinkRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// An answer in pieces.
#[derive(Clone, Copy)]
struct Pieces {
    count: usize,
    bytes: usize,
    pause: Duration,
    /// Length that the head of the answer names.
    length: usize,
}

impl Pieces {
    /// Returns pieces that make up the whole answer.
    fn whole(count: usize, bytes: usize, pause_ms: u64) -> Self {
        Self {
            count,
            bytes,
            pause: Duration::from_millis(pause_ms),
            length: count * bytes,
        }
    }
}

/// Starts a peer that sends this answer to the first request of each connection and keeps the
/// connection open.
async fn start_peer(pieces: Pieces) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                    pieces.length
                );
                let mut sent = stream.write_all(head.as_bytes()).await;
                for _ in 0..pieces.count {
                    tokio::time::sleep(pieces.pause).await;
                    sent = sent.and(stream.write_all(&vec![b'x'; pieces.bytes]).await);
                }
                // The caller closes a connection whose answer it has given up.
                let _ = (sent, stream.read(&mut buf).await);
            });
        }
    });
    address
}

/// Calls with a timeout that is far below the time of the answers.
async fn call(address: &str) -> Result<usize, LinkError> {
    let link = Link::new(address.to_string(), Activity::StoreLink);
    let req = LinkRequest {
        method: Method::GET,
        path: "/path",
        headers: &[],
        body: Vec::new(),
        timeout: Millis(500),
    };
    let (_, _, body) = link.call(req).await?;
    Ok(body.len())
}

/// Guards against a timeout that bounds a whole transfer, so that an answer that is large for its
/// link can never be read.
#[tokio::test]
async fn an_answer_that_makes_progress_is_read_to_its_end() {
    let address = start_peer(Pieces::whole(15, 40_000, 100)).await;

    let read = call(&address).await;
    let posted = Caller::new()
        .post(&address, "/path", Vec::new(), Millis(500))
        .await;

    assert_eq!(read, Ok(600_000));
    assert_eq!(posted.map(|body| body.len()), Ok(600_000));
}

/// Guards against a call that waits for good for the rest of an answer.
#[tokio::test]
async fn an_answer_that_stalls_is_given_up() {
    let mut pieces = Pieces::whole(3, 1000, 10);
    pieces.length = 10_000;
    let address = start_peer(pieces).await;

    let read = tokio::time::timeout(Duration::from_secs(20), call(&address)).await;

    let Ok(Err(LinkError::NoAnswer(reason))) = read else {
        panic!("{read:?}");
    };
    assert!(reason.contains("stalled after 3000 bytes"), "{reason}");
}

/// Guards against an answer that keeps a call busy without end by a byte now and then.
#[tokio::test]
async fn an_answer_that_trickles_is_given_up() {
    let address = start_peer(Pieces::whole(1000, 1, 100)).await;

    let read = tokio::time::timeout(Duration::from_secs(20), call(&address)).await;

    let Ok(Err(LinkError::NoAnswer(reason))) = read else {
        panic!("{read:?}");
    };
    assert!(reason.contains("too slow"), "{reason}");
}

/// Guards against an answer that takes the memory of the caller.
#[tokio::test]
async fn an_answer_that_is_too_large_is_not_read() {
    let mut pieces = Pieces::whole(1, 1000, 0);
    pieces.length = 1 << 30;
    let address = start_peer(pieces).await;

    let read = call(&address).await;

    assert!(matches!(read, Err(LinkError::TooLarge { .. })), "{read:?}");
}

/// Guards against a watch that is repeated for good because the changes since its revision have grown
/// larger than an answer may be.
#[tokio::test]
async fn a_watch_whose_changes_are_too_large_is_read_anew() {
    let mut pieces = Pieces::whole(1, 1000, 0);
    pieces.length = 1 << 30;
    let store = KvClient::new(start_peer(pieces).await);

    let watch = store.watch("prefix/", 7, Millis(1000)).await;

    assert_eq!(watch, Ok(WatchResponse::Compacted));
}
