//! Server side of the request path, which runs on the web server's worker threads.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use super::call::{Call, CallBody};
use super::caller_response_body::{CallerResponseBody, Content, Upload};
use super::head::{Head, Listener, header_value};
use super::in_flight::InFlightGuard;
use super::relay::BUNDLE_VERSION;
use super::reply::{Reply, ReplyBody};
use super::request_task::{internal_error, run_request};
use super::shared::Shared;
use super::upstream_request_body::Chunk;
use crate::error::CutOff;
use crate::prelude::*;
use crate::web::{WebReq, WebRes};

/// Request bodies of at most this size are buffered, so that their requests can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Maximum wait for the body of an invalid request.
const DRAIN_WAIT: Millis = Millis::from_secs(1);

/// Maximum number of chunks of a request body that wait for the endpoint.
const MAX_PENDING_CHUNKS: usize = 4;

/// Serves a request of a caller or a peer.
pub(super) async fn serve(shared: &Arc<Shared>, req: WebReq, listener: Listener) -> WebRes {
    let guard = shared.in_flight_counter.enter();
    let arrived = shared.clock.now();
    let (parts, body) = req.into_parts();
    let head = match Head::parse(&parts, listener) {
        Ok(head) => head,
        Err(invalid) => {
            // An unread body would reset the connection before the caller reads the response.
            let length = declared_length(&parts).filter(|length| *length <= MAX_BUFFERED_BYTES);
            if let Some(length) = length {
                let _ = read_whole(shared, body, length, arrived + DRAIN_WAIT).await;
            }
            let reply = Reply::invalid(invalid.status, &invalid.reason);
            return respond(shared, reply, guard, None);
        }
    };
    let deadline = arrived + shared.time_limit(&head.service, head.deadline);
    let is_buffered = head.length <= MAX_BUFFERED_BYTES;
    let body_permit = if is_buffered { head.length } else { 0 };
    let body_permit = u32::try_from(body_permit).unwrap_or(u32::MAX);
    let Ok(body_permit) = shared
        .body_bytes
        .clone()
        .try_acquire_many_owned(body_permit)
    else {
        let reply = Reply::unavailable("too-many-bytes-in-flight");
        return respond(shared, reply, guard, None);
    };
    let (body, mut upload) = if is_buffered {
        match read_whole(shared, body, head.length, deadline).await {
            Some(content) => (CallBody::Buffered(content), None),
            None => {
                let reply = Reply::invalid(StatusCode::REQUEST_TIMEOUT, "body-incomplete");
                return respond(shared, reply, guard, None);
            }
        }
    } else {
        let (tx, rx) = mpsc::channel(MAX_PENDING_CHUNKS);
        let upload: Upload = Box::pin(upload_body(body, tx));
        (CallBody::Stream(Mutex::new(Some(rx))), Some(upload))
    };
    if shared.cancel.is_cancelled() {
        let reply = Reply::unavailable("shutting-down");
        return respond(shared, reply, guard, upload);
    }
    let call = Arc::new(Call {
        head,
        body,
        arrived,
        deadline,
        _guard: guard.clone(),
        _body_permit: body_permit,
    });
    let (tx, mut rx) = oneshot::channel();
    shared.runtime.spawn(run_request(shared.clone(), call, tx));
    let reply = loop {
        let Some(pending) = &mut upload else {
            break rx.await;
        };
        tokio::select! {
            reply = &mut rx => break reply,
            () = pending => upload = None,
        }
    };
    let reply = reply.unwrap_or_else(|_| internal_error());
    respond(shared, reply, guard, upload)
}

fn respond(shared: &Shared, reply: Reply, guard: InFlightGuard, upload: Option<Upload>) -> WebRes {
    let Reply {
        status,
        mut headers,
        body,
        ..
    } = reply;
    if !headers.contains_key(BUNDLE_VERSION) {
        headers.insert(BUNDLE_VERSION, header_value(shared.bundle.version()));
    }
    if shared.cancel.is_cancelled() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let content = match body {
        ReplyBody::None => None,
        ReplyBody::Buffered(content) => Some(Content::Buffered(Some(content))),
        ReplyBody::Stream { rx, length } => Some(Content::Stream {
            rx,
            remaining: length,
        }),
    };
    let body = content.map_or_else(ResponseBody::none, |content| {
        ResponseBody::boxed(CallerResponseBody {
            content,
            upload,
            _guard: guard,
        })
    });
    let mut res = WebRes::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Reads a body of a known length, or returns `None` if it is not complete before the deadline.
async fn read_whole(
    shared: &Shared,
    mut body: RequestBody,
    length: u64,
    deadline: Millis,
) -> Option<Bytes> {
    let read = async {
        let mut buf = Vec::new();
        while let Some(Ok(data)) = body.data().await {
            buf.extend_from_slice(&data);
        }
        buf
    };
    let buf = tokio::select! {
        buf = read => buf,
        () = shared.clock.sleep_until(deadline) => return None,
    };
    // xitca reports a body that was cut off as if it were complete.
    (buf.len() as u64 == length).then(|| Bytes::from(buf))
}

fn declared_length(parts: &Parts) -> Option<u64> {
    let value = parts.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Sends the chunks of a request body as fast as the endpoint accepts them.
async fn upload_body(mut body: RequestBody, tx: mpsc::Sender<Chunk>) {
    while let Some(data) = body.data().await {
        let chunk = data.map_err(|err| CutOff::new(err.to_string()));
        let failed = chunk.is_err();
        if tx.send(chunk).await.is_err() || failed {
            return;
        }
    }
}
