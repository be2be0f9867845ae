//! Endpoints that respond with fixed bytes or not at all.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Endpoint that records request heads, writes fixed bytes and closes the connection.
pub struct RawEndpoint {
    pub addr: SocketAddr,
    pub heads: Arc<Mutex<Vec<String>>>,
}

impl RawEndpoint {
    pub async fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("port is free");
        let addr = listener.local_addr().expect("socket is bound");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let seen = heads.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, response, seen.clone()));
            }
        });
        Self { addr, heads }
    }
}

async fn serve(mut stream: TcpStream, response: &str, heads: Arc<Mutex<Vec<String>>>) {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => buf.push(byte),
            Err(_) => return,
        }
    }
    heads
        .lock()
        .push(String::from_utf8_lossy(&buf).into_owned());
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Endpoint that accepts connections, never responds and never closes them.
pub struct UnresponsiveEndpoint {
    pub addr: SocketAddr,
    pub open: Arc<Mutex<Vec<TcpStream>>>,
}

impl UnresponsiveEndpoint {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("port is free");
        let addr = listener.local_addr().expect("socket is bound");
        let open = Arc::new(Mutex::new(Vec::new()));
        let held = open.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                held.lock().push(stream);
            }
        });
        Self { addr, open }
    }
}
