//! One attempt to get an answer from an endpoint or peer.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::link::Link;
use super::out_body::OutBody;
use super::pool::Trust;
use super::wire::WireStats;
use super::{Clock, Pool};
use crate::prelude::*;
use crate::routing::Outcome;

/// Header of an endpoint's statement that it did not run a request.
const NOT_RUN: &str = "sapphirecroft-not-run";

/// Answers of at most this size are read whole before the caller gets their head.
const WHOLE_BYTES: u64 = 16 << 10;

/// Largest body of a refusal.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Body of an endpoint's answer.
pub(super) enum WonBody {
    /// The whole body; the connection is back in its pool.
    Whole(Bytes),
    /// The body is still on its connection.
    Stream(Incoming, Link),
}

/// The head of an endpoint's answer and the way to its body.
pub(super) struct Won {
    pub(super) head: response::Parts,
    pub(super) body: WonBody,
    pub(super) pool: Arc<Pool>,
    pub(super) sent_at: Millis,
}

/// What an attempt needs besides its request.
pub(super) struct Attempt {
    pub(super) pool: Arc<Pool>,
    pub(super) clock: Clock,
    pub(super) trust: Trust,
    pub(super) deadline: Millis,
    /// Ends the attempt; its connection is closed.
    pub(super) dead: CancellationToken,
    /// Time without progress that makes the connection suspect; `None` if nothing can be done.
    pub(super) silent_after: Option<Millis>,
}

impl Attempt {
    /// Sends the request; calls `suspect` once if the connection turns silent.
    ///
    /// `build` is called after a connection is there, so that the request carries the time left.
    pub(super) async fn run(
        self,
        build: impl FnOnce() -> Option<Request<OutBody>>,
        suspect: impl FnOnce(),
    ) -> Result<Won, Outcome> {
        let acquired = tokio::select! {
            link = self.pool.acquire(self.trust, self.deadline) => link,
            () = self.dead.cancelled() => None,
        };
        let mut link = acquired.ok_or(Outcome::NotSent)?;
        let Some(req) = build() else {
            self.pool.put_back(link);
            return Err(Outcome::NotSent);
        };
        let is_head = req.method() == http::Method::HEAD;
        let sent_at = self.clock.now();
        let res = match self.head(&mut link, req, sent_at, suspect).await {
            Ok(res) => res,
            Err(outcome) => {
                link.close().await;
                return Err(outcome);
            }
        };
        if is_refusal(&res) {
            self.discard(link, res).await;
            return Err(Outcome::Refused);
        }
        if !is_head && has_no_end(&res) {
            link.close().await;
            return Err(Outcome::Broken);
        }
        let (head, body) = res.into_parts();
        let body = self.body(link, body).await?;
        Ok(Won {
            head,
            body,
            pool: self.pool,
            sent_at,
        })
    }

    async fn head(
        &self,
        link: &mut Link,
        req: Request<OutBody>,
        sent_at: Millis,
        suspect: impl FnOnce(),
    ) -> Result<Response<Incoming>, Outcome> {
        let stats = link.stats();
        let mut suspect = Some(suspect);
        let silent = self.silent(&stats, sent_at);
        let send = link.send(req);
        tokio::pin!(silent, send);
        loop {
            tokio::select! {
                biased;
                res = &mut send => return res,
                () = self.dead.cancelled() => return Err(Outcome::Stalled),
                () = &mut silent, if suspect.is_some() => {
                    if let Some(suspect) = suspect.take() {
                        suspect();
                    }
                }
            }
        }
    }

    /// Returns once the connection is silent while a fresh one to the same address works.
    async fn silent(&self, stats: &WireStats, sent_at: Millis) {
        let Some(limit) = self.silent_after else {
            return std::future::pending().await;
        };
        let mut quiet_from = sent_at;
        loop {
            let due = stats.progress().max(quiet_from) + limit;
            self.clock.sleep_until(due).await;
            let progress = stats.progress();
            if progress > quiet_from && self.clock.now().since(progress) < limit {
                quiet_from = progress;
                continue;
            }
            if self.pool.replace_silent(limit).await {
                return;
            }
            quiet_from = self.clock.now();
        }
    }

    /// Reads a small body whole, so that a cut-off answer can still be replaced.
    async fn body(&self, mut link: Link, body: Incoming) -> Result<WonBody, Outcome> {
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|size| size <= WHOLE_BYTES);
        if !small {
            return Ok(WonBody::Stream(body, link));
        }
        let collected = tokio::select! {
            collected = body.collect() => collected.map_err(|_| Outcome::Broken),
            () = self.dead.cancelled() => Err(Outcome::Stalled),
        };
        match collected {
            Ok(content) => {
                if link.is_ready().await {
                    self.pool.put_back(link);
                }
                Ok(WonBody::Whole(content.to_bytes()))
            }
            Err(outcome) => {
                link.close().await;
                Err(outcome)
            }
        }
    }

    async fn discard(&self, mut link: Link, res: Response<Incoming>) {
        let body = Limited::new(res.into_body(), MAX_REFUSAL_BYTES);
        let read = tokio::select! {
            read = body.collect() => read.is_ok(),
            () = self.dead.cancelled() => false,
        };
        if read && link.is_ready().await {
            self.pool.put_back(link);
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

/// Returns whether only the end of the connection marks the end of the body.
///
/// Such an answer looks complete when it is cut off, so it cannot be passed on.
fn has_no_end(res: &Response<Incoming>) -> bool {
    let headers: &HeaderMap = res.headers();
    !res.body().is_end_stream()
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
