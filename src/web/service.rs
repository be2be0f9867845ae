//! What a face of the daemon implements to be served.

use async_trait::async_trait;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use super::encode;

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

/// Reads a whole request body of at most `limit` bytes.
pub async fn read_body(req: WebReq, limit: usize) -> Result<Vec<u8>, String> {
    let mut body = req.into_body();
    let mut buf = Vec::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|err| err.to_string())?;
        if buf.len() + data.len() > limit {
            return Err(format!("body exceeds {limit} bytes"));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf)
}
