//! The server side of the request path, on the server's worker threads.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use super::answer_body::{AnswerBody, Content, Upload};
use super::call::{Call, CallBody};
use super::drive::{drive, internal_error};
use super::gauge::InProgress;
use super::head::{Face, Head, header_value};
use super::out_body::Piece;
use super::relay::BUNDLE_VERSION;
use super::reply::{Reply, ReplyBody};
use super::shared::Shared;
use crate::error::CutOff;
use crate::prelude::*;
use crate::web::{WebReq, WebRes};

/// Request bodies of at most this size are read whole, so that they can be sent again.
const WHOLE_BYTES: u64 = 64 << 10;

/// Longest wait for the body of a request that is not accepted.
const DRAIN_WAIT: Millis = Millis::from_secs(1);

/// Pieces of a request body that wait for the endpoint.
const PIECES: usize = 4;

/// Answers a request of a caller or a peer.
pub(super) async fn serve(shared: &Arc<Shared>, req: WebReq, face: Face) -> WebRes {
    let guard = shared.gauge.enter();
    let arrived = shared.clock.now();
    let (parts, body) = req.into_parts();
    let head = match Head::parse(&parts, face) {
        Ok(head) => head,
        Err(invalid) => {
            // A body that is left unread would reset the connection before the answer is read.
            let length = declared_length(&parts).filter(|length| *length <= WHOLE_BYTES);
            if let Some(length) = length {
                let _ = read_whole(shared, body, length, arrived + DRAIN_WAIT).await;
            }
            let reply = Reply::invalid(invalid.status, &invalid.reason);
            return respond(shared, reply, guard, None);
        }
    };
    let deadline = arrived + shared.time_for(&head.service, head.deadline);
    let whole = head.length <= WHOLE_BYTES;
    let held = if whole { head.length } else { 0 };
    let held = u32::try_from(held).unwrap_or(u32::MAX);
    let Ok(held) = shared.body_bytes.clone().try_acquire_many_owned(held) else {
        let reply = Reply::unavailable("too-many-bytes-in-flight");
        return respond(shared, reply, guard, None);
    };
    let (body, mut upload) = if whole {
        match read_whole(shared, body, head.length, deadline).await {
            Some(content) => (CallBody::Whole(content), None),
            None => {
                let reply = Reply::invalid(StatusCode::REQUEST_TIMEOUT, "body-incomplete");
                return respond(shared, reply, guard, None);
            }
        }
    } else {
        let (tx, rx) = mpsc::channel(PIECES);
        let upload: Upload = Box::pin(pump(body, tx));
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
        _held: held,
    });
    let (tx, mut rx) = oneshot::channel();
    shared.runtime.spawn(drive(shared.clone(), call, tx));
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

fn respond(shared: &Shared, reply: Reply, guard: InProgress, upload: Option<Upload>) -> WebRes {
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
        ReplyBody::Whole(content) => Some(Content::Whole(Some(content))),
        ReplyBody::Stream { rx, length } => Some(Content::Stream { rx, left: length }),
    };
    let body = content.map_or_else(ResponseBody::none, |content| {
        ResponseBody::boxed(AnswerBody {
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

/// Reads a body of a known length; `None` if it does not arrive whole in time.
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
    // xitca reports a body that was cut off like a complete one.
    (buf.len() as u64 == length).then(|| Bytes::from(buf))
}

fn declared_length(parts: &Parts) -> Option<u64> {
    let value = parts.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Passes a request body on as fast as the endpoint takes it.
async fn pump(mut body: RequestBody, tx: mpsc::Sender<Piece>) {
    while let Some(data) = body.data().await {
        let piece = data.map_err(|err| CutOff::new(err.to_string()));
        let failed = piece.is_err();
        if tx.send(piece).await.is_err() || failed {
            return;
        }
    }
}
