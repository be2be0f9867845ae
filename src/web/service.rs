//! What a face of the daemon implements to be served.

use std::time::Duration;

use async_trait::async_trait;
use futures_util::FutureExt;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, timeout_at};
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use super::encode;
use super::inbound::{BodyError, InboundRequest};

/// Time without a byte of a body after which it is given up.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a body may take beside the time for its size.
const BODY_GRACE: Duration = Duration::from_secs(10);

/// Bytes a second that a body has to arrive with on average, a hundredth of the narrowest link of an
/// entry VM.
const SLOWEST_BODY: f64 = 12.0 * 1024.0;

/// A request with its head and a streaming body.
pub type WebReq = Request<RequestBody>;

/// An answer with its head and a streaming body.
pub type WebRes = Response<ResponseBody>;

/// Answers requests; implementations run on the server's worker threads.
#[async_trait(?Send)]
pub trait WebService: Send + Sync {
    /// Answers one request.
    async fn call(&self, req: WebReq) -> WebRes;
}

/// Builds a plain-text answer.
pub fn text(status: StatusCode, message: impl Into<String>) -> WebRes {
    let mut res = Response::new(ResponseBody::bytes(message.into()));
    *res.status_mut() = status;
    res
}

/// Builds a MessagePack answer.
pub fn packed<T: Serialize>(message: &T) -> WebRes {
    match encode(message) {
        Ok(buf) => Response::new(ResponseBody::bytes(buf)),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err),
    }
}

/// Reads a whole request body of at most `limit` bytes. It may take as long as it makes progress.
pub async fn read_body(req: WebReq, limit: usize) -> Result<Vec<u8>, BodyError> {
    let inbound = req.extensions().get::<InboundRequest>().cloned();
    if let Some(inbound) = &inbound {
        inbound.receive_body();
    }
    let mut body = req.into_body();
    let mut buf = Vec::new();
    let started = Instant::now();
    loop {
        let received = buf.len();
        // A body may come in chunks of a byte; only those that have to be waited for need a timer.
        let data = match body.data().now_or_never() {
            Some(data) => data,
            None => timeout_at(body_deadline(started, received), body.data())
                .await
                .map_err(|_| BodyError::TooSlow { received })?,
        };
        let data = match data {
            None => break,
            Some(Ok(data)) => data,
            Some(Err(err)) => {
                let is_closing = inbound.is_some_and(|inbound| inbound.is_closing());
                return Err(match is_closing {
                    true => BodyError::NoRoom,
                    false => BodyError::Broken(err.to_string()),
                });
            }
        };
        let size = received + data.len();
        if size > limit {
            return Err(BodyError::TooLarge { limit });
        }
        if size > buf.capacity() {
            let capacity = (2 * buf.capacity()).clamp(size, limit);
            if let Some(inbound) = &inbound
                && !inbound.grow(capacity).await
            {
                return Err(BodyError::NoRoom);
            }
            buf.reserve_exact(capacity - received);
        }
        buf.extend_from_slice(&data);
    }
    match inbound {
        Some(inbound) if !inbound.complete() => Err(BodyError::NoRoom),
        _ => Ok(buf),
    }
}

/// Returns when a body that makes no progress from now on is given up.
fn body_deadline(started: Instant, received: usize) -> Instant {
    let slow_at = started + BODY_GRACE + Duration::from_secs_f64(received as f64 / SLOWEST_BODY);
    slow_at.min(Instant::now() + BODY_STALL_TIMEOUT)
}
