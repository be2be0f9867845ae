//! Relays responses to the caller, chunk by chunk.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};

use super::attempt::{UpstreamBody, UpstreamResponse};
use super::call::Call;
use super::connection::PooledConnection;
use super::dispatch::EndpointResponse;
use super::head::{header_value, strip_response};
use super::metrics::RequestOutcome;
use super::reply::{Reply, ReplyBody};
use super::shared::Shared;
use super::upstream_request_body::Chunk;
use crate::dedup::Completion;
use crate::error::CutOff;
use crate::prelude::*;
use crate::routing::Outcome;
use crate::schema::dedup::{RecordedAnswer, RecordedHeader};

/// Header of the bundle version under which a request was decided.
pub(super) const BUNDLE_VERSION: &str = "sapphirecroft-bundle-version";

/// Maximum number of chunks that wait for a slow caller.
const MAX_PENDING_CHUNKS: usize = 4;

/// Time without a chunk from the endpoint after which a response past its deadline is cut off.
const ENDPOINT_STALL_TIMEOUT: Millis = Millis::from_secs(2);

/// Time without progress after which a caller counts as disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Callback that records the completion of a keyed request.
pub(super) type RecordCompletion = Box<dyn FnOnce(Completion) + Send>;

/// Destination of the response to a request.
pub(super) struct ResponseSink {
    pub(super) tx: Option<oneshot::Sender<Reply>>,
    /// Maximum size of the copy that is kept for repeats of the key; `None` keeps no copy.
    pub(super) capture: Option<usize>,
    /// Called before the caller receives the end of its response, so that an immediate repeat finds
    /// the recorded response.
    pub(super) record: Option<RecordCompletion>,
}

impl ResponseSink {
    /// Sends the reply to the caller and returns whether the caller is still connected.
    pub(super) fn reply(&mut self, reply: Reply) -> bool {
        self.tx.take().is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Records the completion of the request. Later calls do nothing.
    pub(super) fn record(&mut self, completion: Completion) {
        if let Some(record) = self.record.take() {
            record(completion);
        }
    }
}

/// Copy of a response body for repeats of its key; `None` once it exceeds the limit.
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

/// Relays the winning response of an endpoint and reports the completion of its request to the
/// dispatcher.
pub(super) async fn relay_winner(
    shared: &Shared,
    call: &Call,
    winner: EndpointResponse,
    sink: &mut ResponseSink,
) -> RequestOutcome {
    let EndpointResponse {
        response,
        version,
        handle,
        other_attempts,
    } = winner;
    let (sent_at, status) = (response.sent_at, response.head.status);
    let end = relay_response(shared, call, *response, Some(version), sink).await;
    // The slots of cancelled attempts are held until their connections are closed.
    let _ = other_attempts.await;
    let latency = shared.clock.now().since(sent_at);
    handle.finish(match end {
        RequestOutcome::CutOff => Outcome::Broken,
        RequestOutcome::Abandoned => Outcome::Abandoned,
        _ if status.is_server_error() => Outcome::Failure { latency },
        _ => Outcome::Success { latency },
    });
    end
}

/// Relays a response. `version` is absent if a peer responded, which states its own version.
pub(super) async fn relay_response(
    shared: &Shared,
    call: &Call,
    response: UpstreamResponse,
    version: Option<Version>,
    sink: &mut ResponseSink,
) -> RequestOutcome {
    let mut headers = strip_response(&response.head.headers, version.is_none());
    if let Some(version) = version {
        headers.insert(BUNDLE_VERSION, header_value(version));
    }
    let mut capture = Capture::new(sink.capture);
    let mut reply = Reply {
        status: response.head.status,
        headers,
        body: ReplyBody::None,
        end: RequestOutcome::Answered,
    };
    let recorded_head = RecordedHead::of(&reply);
    match response.body {
        UpstreamBody::Buffered(content) => {
            capture.add(&content);
            reply.body = if has_no_body(call, &reply) {
                if let Some(length) = response.head.headers.get(header::CONTENT_LENGTH) {
                    reply.headers.insert(header::CONTENT_LENGTH, length.clone());
                }
                ReplyBody::None
            } else {
                ReplyBody::Buffered(content)
            };
            sink.record(recorded_head.with(capture.content));
            if sink.reply(reply) {
                RequestOutcome::Answered
            } else {
                RequestOutcome::Abandoned
            }
        }
        UpstreamBody::Stream(body, connection) => {
            let (tx, rx) = mpsc::channel(MAX_PENDING_CHUNKS);
            let length = body.size_hint().exact();
            reply.body = ReplyBody::Stream { rx, length };
            let mut body_relay = BodyRelay {
                shared,
                deadline: call.deadline,
                caller: sink.reply(reply).then_some(tx),
                capture,
            };
            body_relay
                .run(body, connection, &response.pool, |content| {
                    sink.record(recorded_head.with(content));
                })
                .await
        }
    }
}

struct BodyRelay<'a> {
    shared: &'a Shared,
    deadline: Millis,
    caller: Option<mpsc::Sender<Chunk>>,
    capture: Capture,
}

impl BodyRelay<'_> {
    /// Relays the body until it is complete, it is cut off, or neither caller nor copy needs it.
    async fn run(
        &mut self,
        mut body: Incoming,
        mut connection: PooledConnection,
        pool: &super::Pool,
        mut record: impl FnMut(Option<Vec<u8>>),
    ) -> RequestOutcome {
        let caller_gone = loop {
            match self.next(&mut body).await {
                Ok(Some(data)) => {
                    self.capture.add(&data);
                    self.send(Ok(data)).await;
                    if self.caller.is_none() && self.capture.content.is_none() {
                        record(None);
                        connection.close().await;
                        return RequestOutcome::Abandoned;
                    }
                }
                Ok(None) => break self.caller.is_none(),
                Err(err) => {
                    tracing::debug!(addr = %pool.addr(), %err, "response was cut off");
                    record(None);
                    connection.close().await;
                    self.send(Err(err)).await;
                    return RequestOutcome::CutOff;
                }
            }
        };
        record(self.capture.content.take());
        if connection.is_ready().await {
            pool.put_back(connection);
        }
        // An empty chunk marks the end, so that a dropped sender never looks like the end.
        self.send(Ok(Bytes::new())).await;
        if caller_gone {
            RequestOutcome::Abandoned
        } else {
            RequestOutcome::Answered
        }
    }

    async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, CutOff> {
        let clock = self.shared.clock;
        let limit = self.deadline.max(clock.now() + ENDPOINT_STALL_TIMEOUT);
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
                    // Trailers are dropped. So are empty chunks, which would look like the end.
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn send(&mut self, chunk: Chunk) {
        let Some(tx) = &self.caller else {
            return;
        };
        let sent = tokio::time::timeout(CALLER_STALL_TIMEOUT, tx.send(chunk)).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.caller = None;
        }
    }
}

fn has_no_body(call: &Call, reply: &Reply) -> bool {
    call.head.method == http::Method::HEAD || matches!(reply.status.as_u16(), 204 | 304)
}

/// Head of a response that is recorded for repeats of its key.
struct RecordedHead {
    status: u16,
    headers: Vec<RecordedHeader>,
}

impl RecordedHead {
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

    /// Returns the completion with this head and a body. Without a body, which was cut off or too
    /// large, the completion is unknown.
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
