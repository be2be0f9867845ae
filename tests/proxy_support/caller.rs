//! HTTP/1.1 caller with one connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Response as a caller receives it.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Body, or an error if it was cut off.
    pub body: Result<Bytes, String>,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub fn outcome(&self) -> &str {
        self.header("sapphirecroft-outcome")
    }

    /// Returns whether the body is the stand-in endpoint's complete response to this request.
    pub fn is_complete_response_to(&self, request: &str) -> bool {
        let (begin, end) = (format!("begin {request}\n"), format!("end {request}\n"));
        self.body.as_ref().is_ok_and(|body| {
            let text = String::from_utf8_lossy(body);
            text.starts_with(&begin) && text.ends_with(&end) || text == end
        })
    }
}

/// Connection of a caller to a proxy.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    pub async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.expect("proxy accepts");
        let (sender, conn) = handshake(TokioIo::new(stream)).await.expect("handshake");
        tokio::spawn(conn);
        Self { sender }
    }

    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<CallerResponse, String> {
        let res = self.sender.send_request(req).await;
        let (head, body) = res.map_err(|err| err.to_string())?.into_parts();
        let body = body.collect().await;
        Ok(CallerResponse {
            status: head.status,
            headers: head.headers,
            body: body
                .map(|body| body.to_bytes())
                .map_err(|err| err.to_string()),
        })
    }
}

/// Sends a request on a new connection.
pub async fn call(addr: SocketAddr, req: Request<Full<Bytes>>) -> CallerResponse {
    let response = Client::connect(addr).await.send(req).await;
    response.expect("a response has a head")
}

/// Builds an idempotent request with a given service time and response size.
pub fn get(request: &str, work_ms: u64, size: usize) -> Request<Full<Bytes>> {
    build("GET", request, work_ms, size)
}

/// Builds a non-idempotent request whose key is its name.
pub fn post(request: &str, work_ms: u64, size: usize) -> Request<Full<Bytes>> {
    let mut req = build("POST", request, work_ms, size);
    let key = request.parse().expect("key is a header value");
    req.headers_mut().insert("idempotency-key", key);
    req
}

fn build(method: &str, request: &str, work_ms: u64, size: usize) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri("/booking/slots?day=1")
        .header("host", "test")
        .header("x-request-id", request)
        .header("x-work-ms", work_ms)
        .header("x-answer-bytes", size)
        .body(Full::new(Bytes::new()))
        .expect("request is valid")
}
