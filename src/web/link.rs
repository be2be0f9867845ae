//! Calls to one peer over pooled HTTP connections that are replaced when they fall silent.

use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use super::transfer::{TransferError, read_answer, request_time};
use crate::prelude::*;
use crate::telemetry::Activity;

/// Largest answer: a page of the store has at most about 1 MB of values in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time to open a connection; a VM without power does not answer, and links take a few ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections that are kept to a peer unless its link sets another number.
const MAX_IDLE: usize = 8;

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// The request did not reach the peer.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer may have carried out the request, or may still do so.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The peer has carried out the request; its answer is not read.
    #[error("answer exceeds {limit} bytes")]
    TooLarge {
        /// Most bytes that are read.
        limit: usize,
    },
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one peer.
///
/// A connection carries one request at a time and is driven without the layers of a general client:
/// calls to workers are half of the work of a leader.
pub struct Link {
    address: String,
    activity: Activity,
    idle: Mutex<IdleConnections>,
    max_idle: usize,
}

/// Connections that wait for a request.
#[derive(Default)]
struct IdleConnections {
    connections: Vec<Connection>,
    /// Number of times that all connections have been given up. A connection that was opened before
    /// the last time is not kept.
    generation: u64,
}

/// A request on a link.
pub struct LinkRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides those of HTTP itself.
    pub headers: &'a [(&'static str, &'a str)],
    /// Body.
    pub body: Vec<u8>,
    /// Time until the answer begins, beside the time for sending a large body. The rest of the
    /// answer may take as long as it makes progress.
    pub timeout: Millis,
}

impl Link {
    /// Creates a link to `address` without opening a connection. The work of its connections is
    /// measured as `activity`.
    pub fn new(address: String, activity: Activity) -> Self {
        Self {
            address,
            activity,
            idle: Mutex::default(),
            max_idle: MAX_IDLE,
        }
    }

    /// Sets the number of idle connections that are kept. A call never waits for a connection:
    /// what it says may not be true any more by the time one is free.
    pub fn keep_idle(self, max_idle: usize) -> Self {
        Self { max_idle, ..self }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        req: LinkRequest<'_>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), LinkError> {
        let timeout = Duration::from(req.timeout) + request_time(req.body.len());
        let generation = self.idle.lock().generation;
        let Ok(sent) = tokio::time::timeout(timeout, self.send(req)).await else {
            self.give_up_idle();
            let timeout = Millis::from(timeout);
            return Err(LinkError::NoAnswer(format!("silent for {timeout} ms")));
        };
        let (res, connection) = sent?;
        let (head, body) = res.into_parts();
        let body = match read_answer(body, MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(TransferError::TooLarge { limit }) => return Err(LinkError::TooLarge { limit }),
            Err(err) => {
                if matches!(err, TransferError::Stalled { .. }) {
                    self.give_up_idle();
                }
                return Err(LinkError::NoAnswer(err.to_string()));
            }
        };
        self.keep(connection, generation);
        Ok((head.status, head.headers, body))
    }

    /// Sends a request and waits for the head of its answer.
    async fn send(
        &self,
        req: LinkRequest<'_>,
    ) -> Result<(Response<Incoming>, Connection), LinkError> {
        let mut message = self.message(req)?;
        while let Some(mut connection) = self.take_idle() {
            match connection.try_send_request(message).await {
                Ok(res) => return Ok((res, connection)),
                // The peer has closed the connection before the request was written.
                Err(mut err) => match err.take_message() {
                    Some(unsent) => message = unsent,
                    None => return Err(LinkError::NoAnswer(err.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.try_send_request(message).await {
            Ok(res) => Ok((res, connection)),
            Err(mut err) => Err(match err.take_message() {
                Some(_) => LinkError::NotSent(err.into_error().to_string()),
                None => LinkError::NoAnswer(err.into_error().to_string()),
            }),
        }
    }

    /// Gives up all idle connections: they may have fallen silent for the same reason as one that
    /// carried a call.
    fn give_up_idle(&self) {
        let mut idle = self.idle.lock();
        idle.connections.clear();
        idle.generation += 1;
    }

    /// Keeps a connection whose answer has been read for another request.
    fn keep(&self, connection: Connection, generation: u64) {
        let mut idle = self.idle.lock();
        if idle.generation == generation && idle.connections.len() < self.max_idle {
            idle.connections.push(connection);
        }
    }

    fn message(&self, req: LinkRequest<'_>) -> Result<Request<Full<Bytes>>, LinkError> {
        let mut builder = Request::builder()
            .method(req.method)
            .uri(req.path)
            .header(HOST, &self.address);
        for (name, value) in req.headers {
            let value = HeaderValue::from_str(value)
                .map_err(|err| LinkError::NotSent(format!("header {name}: {err}")))?;
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(Bytes::from(req.body)))
            .map_err(|err| LinkError::NotSent(err.to_string()))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, LinkError> {
        let not_sent = |err: String| LinkError::NotSent(err);
        let connecting = TcpStream::connect(&self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| not_sent("connection timed out".to_string()))?
            .map_err(|err| not_sent(err.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|err| not_sent(err.to_string()))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        let address = self.address.clone();
        tokio::spawn(self.activity.measure(async move {
            // The call that uses the connection reports the error as well.
            if let Err(err) = connection.await {
                tracing::debug!(address, %err, "connection has failed");
            }
        }));
        Ok(sender)
    }
}
