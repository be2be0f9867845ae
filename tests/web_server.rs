//! Shutdown of a web server with open connections.

use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use sapphirecroft::prelude::*;
use sapphirecroft::web::{Server, WebReq, WebRes, WebService, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Hello;

#[async_trait(?Send)]
impl WebService for Hello {
    async fn call(&self, _req: WebReq) -> WebRes {
        text(StatusCode::OK, "hello")
    }
}

async fn send_request(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n")
        .await
        .expect("sent");
    let mut response = String::new();
    let mut buf = [0; 1024];
    while !response.ends_with("hello") {
        let read = stream.read(&mut buf).await.expect("answered");
        if read == 0 {
            break;
        }
        response.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    response.to_ascii_lowercase()
}

/// Guards against a stopping process that keeps serving requests over open connections, so that
/// peers consider it alive until their connections time out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_server_closes_a_connection_after_its_next_response() {
    let cancel = CancellationToken::new();
    let server = Server::start("127.0.0.1:0", Arc::new(Hello), 1, cancel.clone()).expect("starts");
    let mut stream = TcpStream::connect(server.addr()).await.expect("connects");

    let before = send_request(&mut stream).await;
    cancel.cancel();
    let after = send_request(&mut stream).await;
    let end = tokio::time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert!(!before.contains("connection: close"), "{before}");
    assert!(after.contains("hello"), "requests still get their answers");
    assert!(after.contains("connection: close"), "{after}");
    assert!(matches!(end, Ok(Err(_))), "the connection ends: {end:?}");
    server.stopped().await;
}
