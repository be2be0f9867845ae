//! Calls to one peer over pooled HTTP connections that are replaced when they fall silent.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use parking_lot::Mutex;

use crate::prelude::*;
use crate::telemetry::{Activity, MeasuredExecutor};

/// Largest answer: a page of the store has at most about 1 MB of values in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time to open a connection; a VM without power does not answer, and links take a few ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections that are kept to one peer.
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
}

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Connections to one peer.
pub struct Link {
    address: String,
    activity: Activity,
    pool: Mutex<Pool>,
}

/// A request on a link.
pub struct LinkRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides those of HTTP itself.
    pub headers: &'a [(&'static str, String)],
    /// Body.
    pub body: Vec<u8>,
    /// Time for the whole exchange.
    pub timeout: Millis,
}

impl Link {
    /// Creates a link to `address` without opening a connection. The work of its connections is
    /// measured as `activity`.
    pub fn new(address: String, activity: Activity) -> Self {
        Self {
            address,
            activity,
            pool: Mutex::new(new_pool(activity)),
        }
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
        let timeout = req.timeout;
        let pool = self.pool.lock().clone();
        match tokio::time::timeout(timeout.into(), self.exchange(&pool, req)).await {
            Ok(result) => result,
            Err(_) => {
                // Other pooled connections may have fallen silent for the same reason.
                *self.pool.lock() = new_pool(self.activity);
                Err(LinkError::NoAnswer(format!("silent for {timeout} ms")))
            }
        }
    }

    async fn exchange(
        &self,
        pool: &Pool,
        req: LinkRequest<'_>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), LinkError> {
        let mut builder = Request::builder()
            .method(req.method)
            .uri(format!("http://{}{}", self.address, req.path));
        for (name, value) in req.headers {
            builder = builder.header(*name, value);
        }
        let message = builder
            .body(Full::new(Bytes::from(req.body)))
            .map_err(|err| LinkError::NotSent(err.to_string()))?;
        let res = pool.request(message).await.map_err(|err| {
            if err.is_connect() {
                LinkError::NotSent(err.to_string())
            } else {
                LinkError::NoAnswer(err.to_string())
            }
        })?;
        let (head, body) = res.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| LinkError::NoAnswer(err.to_string()))?;
        Ok((head.status, head.headers, body.to_bytes()))
    }
}

fn new_pool(activity: Activity) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(MeasuredExecutor(activity))
        .pool_max_idle_per_host(MAX_IDLE)
        .build(connector)
}
