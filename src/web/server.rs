//! An xitca-web server for one face of the daemon.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use http::StatusCode;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_server::ServerHandle;
use xitca_service::ServiceExt;
use xitca_web::WebContext;
use xitca_web::service::fn_service;

use super::inbound::{AcceptorBuilder, ConnectionId, Inbound, InboundRequest};
use super::{WebRes, WebService, text};
use crate::prelude::*;

/// Largest head of a request, and empty lines before it, in bytes. Clients keep to 16 KiB.
const MAX_HEAD_BYTES: usize = 20 << 10;

/// Time for a whole head. Clients keep to 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Receive buffer of a connection in the kernel, in bytes. It bounds what a client may send while its
/// last request is served, and still carries several MB a second over the usual links.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// What a server answers, and whether it is about to stop.
struct Face {
    service: Arc<dyn WebService>,
    stopping: CancellationToken,
    inbound: Arc<Inbound>,
    port: u16,
}

/// A running server; it stops gracefully when its token is cancelled.
pub struct Server {
    addr: SocketAddr,
    handle: ServerHandle,
    ended: CancellationToken,
}

impl Server {
    /// Binds `addr` and serves until `cancel` fires, then lets requests in progress finish. The server
    /// keeps the default limits on its connections, apart from other servers of the process.
    pub fn start(
        addr: &str,
        service: Arc<dyn WebService>,
        threads: usize,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        Self::start_within(Arc::default(), addr, service, threads, cancel)
    }

    /// Starts a server like [`Self::start`] whose connections count together with those of all other
    /// servers over `inbound`.
    pub fn start_within(
        inbound: Arc<Inbound>,
        addr: &str,
        service: Arc<dyn WebService>,
        threads: usize,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        // Connections inherit the size from the listening socket.
        let sized = socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        if let Err(err) = sized {
            tracing::info!(%addr, %err, "receive buffer keeps its default size");
        }
        let face = Face {
            service,
            stopping: cancel.clone(),
            inbound: inbound.clone(),
            port: addr.port(),
        };
        let acceptor = AcceptorBuilder {
            inbound,
            port: addr.port(),
        };
        let config = HttpServiceConfig::new()
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<MAX_HEAD_BYTES>();
        let http = HttpServiceBuilder::h1().config(config).with_tls(acceptor);
        let app = xitca_web::App::new()
            .with_state(Arc::new(face))
            .at("/{*}", fn_service(handle))
            .finish();
        let mut server = xitca_server::Builder::new()
            .disable_signal()
            .worker_threads(threads)
            .listen::<_, _, _, (TcpStream, SocketAddr)>("web", listener, app.enclosed(http))
            .build();
        let handle = server.handle()?;
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        // The server owns a runtime, which must not be dropped within another one.
        std::thread::Builder::new()
            .name("web-server".to_string())
            .spawn(move || {
                if let Err(err) = server.wait() {
                    tracing::warn!(%err, "server failed");
                }
                drop(guard);
            })?;
        let stop = handle.clone();
        tokio::spawn(async move {
            cancel.cancelled().await;
            stop.stop(true);
        });
        Ok(Self {
            addr,
            handle,
            ended,
        })
    }

    /// Returns the address that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections at once.
    pub fn abort(&self) {
        self.handle.stop(false);
    }

    /// Waits until the server has stopped.
    pub async fn stopped(&self) {
        self.ended.cancelled().await;
    }
}

async fn handle(mut cx: WebContext<'_, Arc<Face>>) -> Result<WebRes, Infallible> {
    let req = cx.take_request();
    let (parts, ext) = req.into_parts();
    let client = *ext.socket_addr();
    let (_, body) = ext.replace_body(());
    let mut req = http::Request::from_parts(parts, body);
    let face = cx.state();
    let id = ConnectionId {
        port: face.port,
        client,
    };
    let mut res = match InboundRequest::begin(&face.inbound, id) {
        Some(inbound) => {
            req.extensions_mut().insert(inbound.clone());
            let res = face.service.call(req).await;
            inbound.answered();
            res
        }
        None => text(StatusCode::SERVICE_UNAVAILABLE, "too many connections"),
    };
    if face.stopping.is_cancelled() {
        // A peer that keeps its connection open would go on using it until the process ends.
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(res)
}
