//! What a web server does with open connections when it stops.

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

async fn ask(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n")
        .await
        .expect("sent");
    let mut answer = String::new();
    let mut buf = [0; 1024];
    while !answer.ends_with("hello") {
        let read = stream.read(&mut buf).await.expect("answered");
        if read == 0 {
            break;
        }
        answer.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    answer.to_ascii_lowercase()
}

/// Guards against a process that stops and goes on answering over open connections, so that its
/// peers take it for alive until their connections time out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_server_closes_connections_that_are_used() {
    let cancel = CancellationToken::new();
    let server = Server::start("127.0.0.1:0", Arc::new(Hello), 1, cancel.clone()).expect("starts");
    let mut stream = TcpStream::connect(server.addr()).await.expect("connects");

    let before = ask(&mut stream).await;
    cancel.cancel();
    let after = ask(&mut stream).await;
    let end = tokio::time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert!(!before.contains("connection: close"), "{before}");
    assert!(after.contains("hello"), "requests still get their answers");
    assert!(after.contains("connection: close"), "{after}");
    assert!(matches!(end, Ok(Err(_))), "the connection ends: {end:?}");
    server.stopped().await;
}
