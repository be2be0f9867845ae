//! Passes answers on to the caller, piece by piece.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};

use super::attempt::{Won, WonBody};
use super::call::Call;
use super::head::{header_value, strip_answer};
use super::link::Link;
use super::metrics::RequestOutcome;
use super::out_body::Piece;
use super::reply::{Reply, ReplyBody};
use super::settle::Victory;
use super::shared::Shared;
use crate::dedup::Completion;
use crate::error::CutOff;
use crate::prelude::*;
use crate::routing::Outcome;
use crate::schema::dedup::{RecordedAnswer, RecordedHeader};

/// Header of the bundle version under which a request was decided.
pub(super) const BUNDLE_VERSION: &str = "sapphirecroft-bundle-version";

/// Pieces that wait for a slow caller.
const PIECES: usize = 4;

/// Time without a piece from the endpoint after which a late answer is given up.
const ENDPOINT_STALL: Millis = Millis::from_secs(2);

/// Time without progress of the caller after which its answer is given up.
const CALLER_STALL: Duration = Duration::from_secs(10);

/// Records how a keyed request ended.
pub(super) type Record = Box<dyn FnOnce(Completion) + Send>;

/// Where the answer of a request goes.
pub(super) struct Outlet {
    pub(super) tx: Option<oneshot::Sender<Reply>>,
    /// Keeps a copy of at most this size for repeats of the key.
    pub(super) capture: Option<usize>,
    /// Called before the caller sees the end of its answer, so that its next repeat is answered.
    pub(super) record: Option<Record>,
}

impl Outlet {
    /// Hands the answer's head over; returns whether the caller is still there.
    pub(super) fn reply(&mut self, reply: Reply) -> bool {
        self.tx.take().is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Records how the request ended, once.
    pub(super) fn record(&mut self, completion: Completion) {
        if let Some(record) = self.record.take() {
            record(completion);
        }
    }
}

/// Copy of an answer for repeats of its key; `None` once it is too large.
struct Capture {
    limit: usize,
    content: Option<Vec<u8>>,
}

impl Capture {
    fn new(limit: Option<usize>) -> Self {
        Self {
            limit: limit.unwrap_or(0),
            content: limit.map(|_| Vec::new()),
        }
    }

    fn add(&mut self, data: &[u8]) {
        self.content = self.content.take().filter(|content| {
            let size = content.len() + data.len();
            size <= self.limit
        });
        if let Some(content) = &mut self.content {
            content.extend_from_slice(data);
        }
    }
}

/// Passes an endpoint's answer on and reports its end to the dispatcher.
pub(super) async fn relay(
    shared: &Shared,
    call: &Call,
    victory: Victory,
    outlet: &mut Outlet,
) -> RequestOutcome {
    let Victory {
        won,
        version,
        ticket,
        others,
    } = victory;
    let (sent_at, status) = (won.sent_at, won.head.status);
    let end = pass_on(shared, call, *won, Some(version), outlet).await;
    // The slots of abandoned attempts are held until their connections are closed.
    let _ = others.await;
    let latency = shared.clock.now().since(sent_at);
    ticket.finish(match end {
        RequestOutcome::CutOff => Outcome::Broken,
        RequestOutcome::Abandoned => Outcome::Abandoned,
        _ if status.is_server_error() => Outcome::Failure { latency },
        _ => Outcome::Success { latency },
    });
    end
}

/// Passes an answer on; `version` is absent if a peer has made the decision and stated it.
pub(super) async fn pass_on(
    shared: &Shared,
    call: &Call,
    won: Won,
    version: Option<Version>,
    outlet: &mut Outlet,
) -> RequestOutcome {
    let mut headers = strip_answer(&won.head.headers, version.is_none());
    if let Some(version) = version {
        headers.insert(BUNDLE_VERSION, header_value(version));
    }
    let mut capture = Capture::new(outlet.capture);
    let mut reply = Reply {
        status: won.head.status,
        headers,
        body: ReplyBody::None,
        end: RequestOutcome::Answered,
    };
    let recorded = Recorded::of(&reply);
    match won.body {
        WonBody::Whole(content) => {
            capture.add(&content);
            reply.body = if has_no_body(call, &reply) {
                if let Some(length) = won.head.headers.get(header::CONTENT_LENGTH) {
                    reply.headers.insert(header::CONTENT_LENGTH, length.clone());
                }
                ReplyBody::None
            } else {
                ReplyBody::Whole(content)
            };
            outlet.record(recorded.with(capture.content));
            if outlet.reply(reply) {
                RequestOutcome::Answered
            } else {
                RequestOutcome::Abandoned
            }
        }
        WonBody::Stream(body, link) => {
            let (tx, rx) = mpsc::channel(PIECES);
            let length = body.size_hint().exact();
            reply.body = ReplyBody::Stream { rx, length };
            let mut copy = Copy {
                shared,
                deadline: call.deadline,
                caller: outlet.reply(reply).then_some(tx),
                capture,
            };
            copy.run(body, link, &won.pool, |content| {
                outlet.record(recorded.with(content));
            })
            .await
        }
    }
}

struct Copy<'a> {
    shared: &'a Shared,
    deadline: Millis,
    caller: Option<mpsc::Sender<Piece>>,
    capture: Capture,
}

impl Copy<'_> {
    /// Copies until the answer is whole, cut off or of no use to anybody.
    async fn run(
        &mut self,
        mut body: Incoming,
        mut link: Link,
        pool: &super::Pool,
        mut record: impl FnMut(Option<Vec<u8>>),
    ) -> RequestOutcome {
        let left = loop {
            match self.next(&mut body).await {
                Ok(Some(data)) => {
                    self.capture.add(&data);
                    self.send(Ok(data)).await;
                    if self.caller.is_none() && self.capture.content.is_none() {
                        record(None);
                        link.close().await;
                        return RequestOutcome::Abandoned;
                    }
                }
                Ok(None) => break self.caller.is_none(),
                Err(err) => {
                    tracing::debug!(addr = %pool.addr(), %err, "answer was cut off");
                    record(None);
                    link.close().await;
                    self.send(Err(err)).await;
                    return RequestOutcome::CutOff;
                }
            }
        };
        record(self.capture.content.take());
        if link.is_ready().await {
            pool.put_back(link);
        }
        // An empty piece marks the end, so that a lost sender never looks like the end.
        self.send(Ok(Bytes::new())).await;
        if left {
            RequestOutcome::Abandoned
        } else {
            RequestOutcome::Answered
        }
    }

    async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, CutOff> {
        let clock = self.shared.clock;
        let limit = self.deadline.max(clock.now() + ENDPOINT_STALL);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = clock.sleep_until(limit) => {
                    return Err(CutOff::new("endpoint made no progress"));
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(err)) => return Err(CutOff::new(err.to_string())),
                Some(Ok(frame)) => {
                    // Trailers are dropped; an empty piece would look like the end.
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn send(&mut self, piece: Piece) {
        let Some(tx) = &self.caller else {
            return;
        };
        let sent = tokio::time::timeout(CALLER_STALL, tx.send(piece)).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.caller = None;
        }
    }
}

fn has_no_body(call: &Call, reply: &Reply) -> bool {
    call.head.method == http::Method::HEAD || matches!(reply.status.as_u16(), 204 | 304)
}

/// Head of an answer for repeats of its key.
struct Recorded {
    status: u16,
    headers: Vec<RecordedHeader>,
}

impl Recorded {
    fn of(reply: &Reply) -> Self {
        let headers = reply.headers.iter();
        let headers = headers.filter_map(|(name, value)| {
            Some(RecordedHeader {
                name: name.to_string(),
                value: value.to_str().ok()?.to_string(),
            })
        });
        Self {
            status: reply.status.as_u16(),
            headers: headers.collect(),
        }
    }

    /// Completes the record; the answer is lost if its body was cut off or too large.
    fn with(&self, content: Option<Vec<u8>>) -> Completion {
        content.map_or(Completion::Unknown, |body| {
            Completion::Answered(Arc::new(RecordedAnswer {
                status: self.status,
                headers: self.headers.clone(),
                body,
            }))
        })
    }
}
