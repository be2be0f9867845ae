//! A caller that records what it was told.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

use crate::prelude::*;

/// Allowance for an answer after the request's own deadline.
const GRACE: Duration = Duration::from_secs(5);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Name of the request, repeated by the endpoint.
    pub id: String,
    /// Service to call.
    pub service: String,
    /// Class of urgency.
    pub class: String,
    /// Team that sends it.
    pub team: String,
    /// Deadline.
    pub deadline: Millis,
    /// Service time at the endpoint.
    pub work: Millis,
    /// Size of the answer.
    pub answer_bytes: usize,
    /// Idempotency key; requests with a key are sent as non-idempotent.
    pub key: Option<String>,
}

/// What a caller was told about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reported {
    /// A whole answer to this very request.
    Whole,
    /// A complete answer that is cut off or belongs to another request.
    Wrong,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The connection to the entry process broke; the caller knows nothing.
    Lost,
}

/// A request with what its caller was told.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub ask: Ask,
    /// What the caller was told.
    pub reported: Reported,
    /// Time to the end of the answer.
    pub latency: Millis,
    /// Bundle version that the answer names.
    pub version: Version,
    /// HTTP status, or zero.
    pub status: u16,
}

/// Sends requests over pooled connections.
#[derive(Clone)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl LoadClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Sends a request to an entry process and records what comes back.
    pub async fn send(&self, addr: &str, ask: Ask) -> Answer {
        let started = Instant::now();
        let limit = Duration::from(ask.deadline) + GRACE;
        let told = tokio::time::timeout(limit, self.exchange(addr, &ask)).await;
        let (reported, version, status) =
            told.ok()
                .flatten()
                .unwrap_or((Reported::Lost, Version(0), 0));
        Answer {
            ask,
            reported,
            latency: started.elapsed().into(),
            version,
            status,
        }
    }

    async fn exchange(&self, addr: &str, ask: &Ask) -> Option<(Reported, Version, u16)> {
        let mut req = Request::post(format!("http://{addr}/{}/work", ask.service))
            .header("x-request-id", &ask.id)
            .header("x-work-ms", ask.work.to_string())
            .header("x-answer-bytes", ask.answer_bytes.to_string())
            .header("sapphirecroft-class", &ask.class)
            .header("sapphirecroft-team", &ask.team)
            .header("sapphirecroft-deadline-ms", ask.deadline.to_string())
            .header(
                "sapphirecroft-idempotent",
                if ask.key.is_some() { "false" } else { "true" },
            );
        if let Some(key) = &ask.key {
            req = req.header("idempotency-key", key);
        }
        let req = req.body(Full::new(Bytes::from_static(b"{}"))).ok()?;
        let res = self.client.request(req).await.ok()?;
        let status = res.status().as_u16();
        let headers = res.headers().clone();
        let body = res.into_body().collect().await.ok()?.to_bytes();
        let version = header(&headers, "sapphirecroft-bundle-version")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let reported = match header(&headers, "sapphirecroft-outcome") {
            Some("not-run") => Reported::NotRun,
            Some("unknown") => Reported::Unknown,
            _ if status == 200 => whole(&ask.id, &body),
            _ => Reported::Unknown,
        };
        Some((reported, version, status))
    }
}

impl Default for LoadClient {
    fn default() -> Self {
        Self::new()
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn whole(id: &str, body: &[u8]) -> Reported {
    let begin = format!("begin {id}\n");
    let end = format!("end {id}\n");
    if body.starts_with(begin.as_bytes()) && body.ends_with(end.as_bytes()) {
        Reported::Whole
    } else {
        Reported::Wrong
    }
}
