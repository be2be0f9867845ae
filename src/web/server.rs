//! An xitca-web server for one face of the daemon.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};

use xitca_server::ServerHandle;
use xitca_web::WebContext;
use xitca_web::service::fn_service;

use super::{WebRes, WebService};
use crate::prelude::*;

/// What a server answers, and whether it is about to stop.
struct Face {
    service: Arc<dyn WebService>,
    stopping: CancellationToken,
}

/// A running server; it stops gracefully when its token is cancelled.
pub struct Server {
    addr: SocketAddr,
    handle: ServerHandle,
    ended: CancellationToken,
}

impl Server {
    /// Binds `addr` and serves until `cancel` fires, then lets requests in progress finish.
    pub fn start(
        addr: &str,
        service: Arc<dyn WebService>,
        threads: usize,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let face = Face {
            service,
            stopping: cancel.clone(),
        };
        let mut server = xitca_web::App::new()
            .with_state(Arc::new(face))
            .at("/{*}", fn_service(handle))
            .serve()
            .disable_signal()
            .worker_threads(threads)
            .listen(listener)?
            .run();
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
    let (_, body) = ext.replace_body(());
    let req = http::Request::from_parts(parts, body);
    let face = cx.state();
    let mut res = face.service.call(req).await;
    if face.stopping.is_cancelled() {
        // A peer that keeps its connection open would go on using it until the process ends.
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(res)
}
