//! One attempt at a request, at an endpoint or peer.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::connection::PooledConnection;
use super::metered_stream::StreamStats;
use super::pool::ReusePolicy;
use super::upstream_request_body::UpstreamRequestBody;
use super::{Clock, Pool};
use crate::prelude::*;
use crate::routing::Outcome;

/// Response header by which an endpoint states that it did not run a request.
const NOT_RUN: &str = "sapphirecroft-not-run";

/// Responses of at most this size are read completely before the caller gets their head.
const MAX_BUFFERED_BYTES: u64 = 16 << 10;

/// Maximum body size of a refusal whose connection is reused.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Body of a response from an endpoint or peer.
pub(super) enum UpstreamBody {
    /// The complete body; its connection has been returned to the pool or closed.
    Buffered(Bytes),
    /// The body has yet to be read from its connection.
    Stream(Incoming, PooledConnection),
}

/// Response from an endpoint or peer: its head, its body and where it came from.
pub(super) struct UpstreamResponse {
    pub(super) head: response::Parts,
    pub(super) body: UpstreamBody,
    pub(super) pool: Arc<Pool>,
    pub(super) sent_at: Millis,
}

/// Parameters of an attempt.
pub(super) struct Attempt {
    pub(super) pool: Arc<Pool>,
    pub(super) clock: Clock,
    pub(super) reuse_policy: ReusePolicy,
    pub(super) deadline: Millis,
    /// Cancels the attempt and closes its connection.
    pub(super) cancellation: CancellationToken,
    /// Time without progress after which the connection is suspected to have stalled; `None` if
    /// the request cannot be hedged or retried.
    pub(super) stall_timeout: Option<Millis>,
}

impl Attempt {
    /// Sends the request and returns its response; calls `suspect` once if the connection stalls.
    ///
    /// `build` is called once a connection is available, so that the request states the remaining
    /// time.
    pub(super) async fn run(
        self,
        build: impl FnOnce() -> Option<Request<UpstreamRequestBody>>,
        suspect: impl FnOnce(),
    ) -> Result<UpstreamResponse, Outcome> {
        let acquired = tokio::select! {
            connection = self.pool.acquire(self.reuse_policy, self.deadline) => connection,
            () = self.cancellation.cancelled() => None,
        };
        let mut connection = acquired.ok_or(Outcome::NotSent)?;
        let Some(req) = build() else {
            self.pool.put_back(connection);
            return Err(Outcome::NotSent);
        };
        let is_head = req.method() == http::Method::HEAD;
        let sent_at = self.clock.now();
        let res = match self
            .response_head(&mut connection, req, sent_at, suspect)
            .await
        {
            Ok(res) => res,
            Err(outcome) => {
                connection.close().await;
                return Err(outcome);
            }
        };
        if is_refusal(&res) {
            self.discard_refusal(connection, res).await;
            return Err(Outcome::Refused);
        }
        if !is_head && is_close_delimited(&res) {
            connection.close().await;
            return Err(Outcome::Broken);
        }
        let (head, body) = res.into_parts();
        let body = self.body(connection, body).await?;
        Ok(UpstreamResponse {
            head,
            body,
            pool: self.pool,
            sent_at,
        })
    }

    async fn response_head(
        &self,
        connection: &mut PooledConnection,
        req: Request<UpstreamRequestBody>,
        sent_at: Millis,
        suspect: impl FnOnce(),
    ) -> Result<Response<Incoming>, Outcome> {
        let stats = connection.stats();
        let mut suspect = Some(suspect);
        let stalled = self.stalled(&stats, sent_at);
        let send = connection.send(req);
        tokio::pin!(stalled, send);
        loop {
            tokio::select! {
                biased;
                res = &mut send => return res,
                () = self.cancellation.cancelled() => return Err(Outcome::Stalled),
                () = &mut stalled, if suspect.is_some() => {
                    if let Some(suspect) = suspect.take() {
                        suspect();
                    }
                }
            }
        }
    }

    /// Returns once the connection has stalled while a new one to the same address works.
    async fn stalled(&self, stats: &StreamStats, sent_at: Millis) {
        let Some(timeout) = self.stall_timeout else {
            return std::future::pending().await;
        };
        let mut stalled_since = sent_at;
        loop {
            let due = stats.last_progress().max(stalled_since) + timeout;
            self.clock.sleep_until(due).await;
            let progress = stats.last_progress();
            if progress > stalled_since && self.clock.now().since(progress) < timeout {
                stalled_since = progress;
                continue;
            }
            if self.pool.replace_stalled(timeout).await {
                return;
            }
            stalled_since = self.clock.now();
        }
    }

    /// Reads a small body completely, so that the request can be retried if the body is cut off.
    async fn body(
        &self,
        mut connection: PooledConnection,
        body: Incoming,
    ) -> Result<UpstreamBody, Outcome> {
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|size| size <= MAX_BUFFERED_BYTES);
        if !small {
            return Ok(UpstreamBody::Stream(body, connection));
        }
        let collected = tokio::select! {
            collected = body.collect() => collected.map_err(|_| Outcome::Broken),
            () = self.cancellation.cancelled() => Err(Outcome::Stalled),
        };
        match collected {
            Ok(content) => {
                if connection.is_ready().await {
                    self.pool.put_back(connection);
                }
                Ok(UpstreamBody::Buffered(content.to_bytes()))
            }
            Err(outcome) => {
                connection.close().await;
                Err(outcome)
            }
        }
    }

    async fn discard_refusal(&self, mut connection: PooledConnection, res: Response<Incoming>) {
        let body = Limited::new(res.into_body(), MAX_REFUSAL_BYTES);
        let read = tokio::select! {
            read = body.collect() => read.is_ok(),
            () = self.cancellation.cancelled() => false,
        };
        if read && connection.is_ready().await {
            self.pool.put_back(connection);
        }
    }
}

fn is_refusal<B>(res: &Response<B>) -> bool {
    res.status() == StatusCode::SERVICE_UNAVAILABLE
        && res
            .headers()
            .get(NOT_RUN)
            .is_some_and(|value| value == "true")
}

/// Returns whether the end of the body is marked only by the end of the connection.
///
/// Such a response looks complete when it is cut off, so it cannot be relayed.
fn is_close_delimited(res: &Response<Incoming>) -> bool {
    let headers: &HeaderMap = res.headers();
    !res.body().is_end_stream()
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
