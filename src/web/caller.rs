//! Calls to the platform and to other entry processes.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::transfer::{read_answer, request_time};
use super::{decode, encode};
use crate::prelude::*;

/// Largest answer; a record of the key-value service has at most 1 MB.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Idle connections are closed before a stateful middlebox forgets them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest text of an error answer that is kept for the message.
const MAX_ERROR_CHARS: usize = 300;

/// Exchanges MessagePack messages over pooled HTTP connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(4)
            .build(connector);
        Self { client }
    }

    /// Posts `message` to `path` at `addr` and decodes the answer.
    pub async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        message: &T,
        timeout: Millis,
    ) -> Result<R, CallError> {
        let codec = |reason| CallError::Codec {
            addr: addr.to_string(),
            reason,
        };
        let body = encode(message).map_err(codec)?;
        let answer = self.post(addr, path, body, timeout).await?;
        decode(&answer).map_err(codec)
    }

    /// Posts `body` to `path` at `addr` and returns the body of the answer. The answer has to begin
    /// within `timeout` and the time for sending a large body, and may then take as long as it makes
    /// progress.
    pub async fn post(
        &self,
        addr: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<Bytes, CallError> {
        let sending = request_time(body.len());
        let req = Request::post(format!("http://{addr}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| CallError::Codec {
                addr: addr.to_string(),
                reason: err.to_string(),
            })?;
        let timeout = Duration::from(timeout) + sending;
        let res = tokio::time::timeout(timeout, self.client.request(req))
            .await
            .map_err(|_| CallError::Broken {
                addr: addr.to_string(),
                reason: format!("no answer within {} ms", timeout.as_millis()),
            })?;
        let res = res.map_err(|err| {
            let reason = error_chain(&err);
            let addr = addr.to_string();
            if err.is_connect() {
                CallError::Connect { addr, reason }
            } else {
                CallError::Broken { addr, reason }
            }
        })?;
        let status = res.status();
        let body = read_answer(res.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|err| CallError::Broken {
                addr: addr.to_string(),
                reason: err.to_string(),
            })?;
        if status != StatusCode::OK {
            return Err(CallError::Status {
                addr: addr.to_string(),
                status: status.as_u16(),
                message: String::from_utf8_lossy(&body)
                    .chars()
                    .take(MAX_ERROR_CHARS)
                    .collect(),
            });
        }
        Ok(body)
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
