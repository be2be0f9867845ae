//! Stand-in of a service endpoint with 8 slots and 64 connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::EndpointFaults;
use crate::prelude::*;

/// Header by which a test caller names its request; the answer repeats it.
const REQUEST_HEADER: &str = "x-request-id";

/// Header by which a test caller sets the service time in milliseconds.
const WORK_HEADER: &str = "x-work-ms";

/// Header by which a test caller sets the size of the answer in bytes.
const SIZE_HEADER: &str = "x-answer-bytes";

/// Service time of a request that does not set one.
const DEFAULT_WORK_MS: u64 = 5;

/// Largest answer that a test caller can ask for.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Pieces in which an answer is sent.
const CHUNK_BYTES: usize = 16 << 10;

/// What an endpoint saw, for checking promises afterwards.
#[derive(Clone, Debug, Default)]
pub struct EndpointLog {
    /// Requests that were run, with the time of their start since the endpoint started.
    pub runs: Vec<(String, Millis)>,
    /// Requests in progress now.
    pub in_progress: usize,
    /// Most requests that were in progress at once.
    pub max_in_progress: usize,
    /// Connections that are open now.
    pub connections: usize,
    /// Most connections that were open at once.
    pub max_connections: usize,
}

/// An endpoint that records what it runs.
pub struct Endpoint {
    started: Instant,
    addr: SocketAddr,
    log: Mutex<EndpointLog>,
    answered: AtomicU64,
    /// Faults to show.
    pub faults: EndpointFaults,
}

impl Endpoint {
    /// Binds `addr` and serves until `cancel` fires.
    pub async fn start(addr: &str, cancel: CancellationToken) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let endpoint = Arc::new(Self {
            started: Instant::now(),
            addr: listener.local_addr()?,
            log: Mutex::default(),
            answered: AtomicU64::new(0),
            faults: EndpointFaults::default(),
        });
        tokio::spawn(accept(endpoint.clone(), listener, cancel));
        Ok(endpoint)
    }

    /// Returns the address that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what the endpoint has seen so far.
    pub fn log(&self) -> EndpointLog {
        self.log.lock().clone()
    }

    /// Returns the number of requests that ran to their end.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns the time since the endpoint started.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    async fn answer(&self, req: Request<Incoming>, generation: u64) -> Response<Answer> {
        if generation < self.faults.generation() {
            std::future::pending::<()>().await;
        }
        if req.method() == http::Method::OPTIONS {
            return Response::new(Answer::new(Bytes::new(), false));
        }
        if self.faults.refuses() {
            return not_run();
        }
        let id = text_header(req.headers(), REQUEST_HEADER).unwrap_or_default();
        let work = number_header(req.headers(), WORK_HEADER).unwrap_or(DEFAULT_WORK_MS);
        let size = number_header(req.headers(), SIZE_HEADER).unwrap_or(0) as usize;
        let slot = Slot::take(self, id.clone());
        let _ = req.into_body().collect().await;
        tokio::time::sleep(Duration::from_millis(work + self.faults.slow_ms())).await;
        drop(slot);
        self.answered.fetch_add(1, Ordering::Relaxed);
        if generation < self.faults.generation() {
            std::future::pending::<()>().await;
        }
        let mut res = Response::new(Answer::new(
            answer_bytes(&id, size),
            self.faults.truncates(),
        ));
        if self.faults.fails() {
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        if let Ok(value) = id.parse() {
            res.headers_mut().insert(REQUEST_HEADER, value);
        }
        res
    }
}

/// Counts a request as in progress until it is dropped.
struct Slot<'a> {
    endpoint: &'a Endpoint,
}

impl<'a> Slot<'a> {
    fn take(endpoint: &'a Endpoint, id: String) -> Self {
        let at = endpoint.now();
        let mut log = endpoint.log.lock();
        log.runs.push((id, at));
        log.in_progress += 1;
        log.max_in_progress = log.max_in_progress.max(log.in_progress);
        Self { endpoint }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.endpoint.log.lock().in_progress -= 1;
    }
}

async fn accept(endpoint: Arc<Endpoint>, listener: TcpListener, cancel: CancellationToken) {
    loop {
        let stream = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        tokio::spawn(serve(endpoint.clone(), stream, cancel.clone()));
    }
}

async fn serve(endpoint: Arc<Endpoint>, stream: TcpStream, cancel: CancellationToken) {
    {
        let mut log = endpoint.log.lock();
        log.connections += 1;
        log.max_connections = log.max_connections.max(log.connections);
    }
    let _ = stream.set_nodelay(true);
    let generation = endpoint.faults.generation();
    let service = service_fn(|req| {
        let endpoint = endpoint.clone();
        async move { Ok::<_, Infallible>(endpoint.answer(req, generation).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = connection => {}
    }
    endpoint.log.lock().connections -= 1;
}

fn not_run() -> Response<Answer> {
    let mut res = Response::new(Answer::new(Bytes::new(), false));
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res.headers_mut().insert(
        "sapphirecroft-not-run",
        http::HeaderValue::from_static("true"),
    );
    res
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    text_header(headers, name)?.parse().ok()
}

/// Builds an answer that names its request at the start and the end.
fn answer_bytes(id: &str, size: usize) -> Bytes {
    let mut text = format!("begin {id}\n");
    let end = format!("end {id}\n");
    while text.len() + end.len() < size.min(MAX_ANSWER_BYTES) {
        text.push_str("................................................................\n");
    }
    text.push_str(&end);
    Bytes::from(text)
}

/// An answer body that is sent in pieces and may break off half-way.
struct Answer {
    rest: Bytes,
    size: u64,
    cut_at: usize,
}

impl Answer {
    fn new(content: Bytes, cut: bool) -> Self {
        let size = content.len() as u64;
        let cut_at = if cut { content.len() / 2 } else { 0 };
        Self {
            rest: content,
            size,
            cut_at,
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.cut_at > 0 && self.rest.len() <= self.cut_at {
            return Poll::Ready(Some(Err(io::Error::other("answer is cut off"))));
        }
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let most = self.rest.len() - self.cut_at;
        let piece = self.rest.split_to(most.min(CHUNK_BYTES));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size)
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }
}
