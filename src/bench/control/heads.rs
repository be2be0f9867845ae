//! What HTTP adds to a heartbeat, measured over loopback with the real server and client.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_trait::async_trait;
use xitca_web::body::ResponseBody;

use crate::prelude::*;
use crate::web::{Caller, Server, WebReq, WebRes, WebService, read_body};

/// Body of the measured messages, about as long as a heartbeat.
const BODY: [u8; 80] = [7; 80];

/// Exchanges for the measurement of processor time.
const EXCHANGES: u32 = 4000;

/// Longest wait for a message.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Clock ticks a second in `/proc`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of the HTTP heads of one exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct HeadSizes {
    /// Head of a request.
    pub request: u64,
    /// Head of an answer.
    pub answer: u64,
}

struct Echo;

#[async_trait(?Send)]
impl WebService for Echo {
    async fn call(&self, req: WebReq) -> WebRes {
        let body = read_body(req, 1 << 16).await.unwrap_or_default();
        WebRes::new(ResponseBody::bytes(body))
    }
}

/// Measures the heads; zero where loopback is not available.
pub(super) fn measure() -> HeadSizes {
    HeadSizes {
        request: in_runtime(request_head()).unwrap_or_default(),
        answer: in_runtime(answer_head()).unwrap_or_default(),
    }
}

/// Returns the processor time of one exchange at both of its ends, in microseconds.
pub(super) fn exchange_micros() -> f64 {
    in_runtime(exchange()).unwrap_or_default()
}

/// Runs on a thread of its own, because the caller may be inside a runtime.
fn in_runtime<T: Send>(task: impl Future<Output = Option<T>> + Send) -> Option<T> {
    std::thread::scope(|scope| {
        let thread = scope.spawn(|| {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()
                .ok()?;
            runtime.block_on(task)
        });
        thread.join().ok().flatten()
    })
}

async fn request_head() -> Option<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let addr = listener.local_addr().ok()?.to_string();
    let received = tokio::task::spawn_blocking(move || {
        let (stream, _) = listener.accept().ok()?;
        let received = receive(&stream)?;
        (&stream)
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .ok()?;
        Some(received)
    });
    let caller = Caller::new();
    let _ = caller
        .post(&addr, "/peer/heartbeat", BODY.to_vec(), Millis(2000))
        .await;
    head_size(&received.await.ok()??)
}

async fn answer_head() -> Option<u64> {
    let cancel = CancellationToken::new();
    let server = Server::start("127.0.0.1:0", Arc::new(Echo), 1, cancel.clone()).ok()?;
    let addr = server.addr();
    let received = tokio::task::spawn_blocking(move || {
        let stream = TcpStream::connect(addr).ok()?;
        let head = format!(
            "POST /peer/heartbeat HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {}\r\n\r\n",
            BODY.len()
        );
        (&stream).write_all(head.as_bytes()).ok()?;
        (&stream).write_all(&BODY).ok()?;
        receive(&stream)
    });
    let received = received.await;
    cancel.cancel();
    // A server that is dropped while it runs panics with the runtime.
    server.stopped().await;
    head_size(&received.ok()??)
}

/// Receives until the body has arrived.
fn receive(mut stream: &TcpStream) -> Option<Vec<u8>> {
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while !received.ends_with(&BODY) {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&buf[..count]),
        }
    }
    Some(received)
}

fn head_size(message: &[u8]) -> Option<u64> {
    let end = message.windows(4).position(|part| part == b"\r\n\r\n")?;
    u64::try_from(end + 4).ok()
}

async fn exchange() -> Option<f64> {
    let cancel = CancellationToken::new();
    let server = Server::start("127.0.0.1:0", Arc::new(Echo), 1, cancel.clone()).ok()?;
    let addr = server.addr().to_string();
    let caller = Caller::new();
    let before = processor_seconds();
    let mut answered = 0;
    for _ in 0..EXCHANGES {
        let answer = caller.post(&addr, "/peer/heartbeat", BODY.to_vec(), Millis(2000));
        answered += u32::from(answer.await.is_ok());
    }
    let used = processor_seconds()
        .zip(before)
        .map(|(now, then)| now - then);
    cancel.cancel();
    server.stopped().await;
    used.filter(|_| answered == EXCHANGES)
        .map(|used| used * 1e6 / f64::from(EXCHANGES))
}

/// Returns the processor time of this process so far.
fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
