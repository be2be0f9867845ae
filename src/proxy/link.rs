//! One connection to an endpoint or peer.

use std::future::poll_fn;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::out_body::OutBody;
use super::pool::Permit;
use super::wire::{Wire, WireStats};
use super::{Clock, Pool};
use crate::prelude::*;
use crate::routing::Outcome;

/// Read buffer of a connection; it bounds the size of one piece of an answer.
const MAX_BUF_BYTES: usize = 64 << 10;

/// Wait for a connection to become ready for its next request.
const READY_WAIT: Duration = Duration::from_millis(100);

/// Wait for the endpoint to confirm the end of an abandoned connection.
const CLOSE_CONFIRM: Duration = Duration::from_millis(200);

/// A connection that carries one request at a time; dropping it closes it.
pub(super) struct Link {
    sender: SendRequest<OutBody>,
    stats: Arc<WireStats>,
    kill: CancellationToken,
    closed: CancellationToken,
    addr: std::net::SocketAddr,
    /// Time at which the last answer ended.
    pub(super) idle_since: Millis,
}

impl Link {
    /// Opens a connection; the permit is held until both sides have closed it.
    pub(super) async fn open(pool: &Pool, clock: Clock, permit: Permit) -> Result<Self, String> {
        let addr = pool.addr();
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|err| err.to_string())?;
        stream.set_nodelay(true).map_err(|err| err.to_string())?;
        let stats = Arc::new(WireStats::new(clock));
        let wire = TokioIo::new(Wire::new(stream, stats.clone()));
        let (sender, conn) = Builder::new()
            .max_buf_size(MAX_BUF_BYTES)
            .handshake(wire)
            .await
            .map_err(|err| err.to_string())?;
        let kill = CancellationToken::new();
        let closed = CancellationToken::new();
        tokio::spawn(drive(conn, kill.clone(), closed.clone(), permit));
        Ok(Self {
            sender,
            stats,
            kill,
            closed,
            addr,
            idle_since: clock.now(),
        })
    }

    /// Returns the progress of the connection.
    pub(super) fn stats(&self) -> Arc<WireStats> {
        self.stats.clone()
    }

    /// Sends a request and returns the head of its answer.
    pub(super) async fn send(
        &mut self,
        req: Request<OutBody>,
    ) -> Result<Response<Incoming>, Outcome> {
        let before = self.stats.written();
        self.sender.try_send_request(req).await.map_err(|err| {
            let unsent = err.message().is_some() || self.stats.written() == before;
            if unsent {
                Outcome::NotSent
            } else {
                Outcome::Broken
            }
        })
    }

    /// Returns whether the other side answers on this connection.
    pub(super) async fn probe(&mut self, timeout: Millis) -> bool {
        let mut req = Request::new(OutBody::empty());
        *req.method_mut() = Method::OPTIONS;
        *req.uri_mut() = Uri::from_static("*");
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        let answered = async {
            let Ok(res) = self.send(req).await else {
                return false;
            };
            res.into_body().collect().await.is_ok() && self.is_ready().await
        };
        tokio::time::timeout(timeout.into(), answered)
            .await
            .unwrap_or(false)
    }

    /// Waits shortly for the connection to become ready for its next request.
    pub(super) async fn is_ready(&mut self) -> bool {
        matches!(
            tokio::time::timeout(READY_WAIT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.kill.is_cancelled()
    }

    /// Closes the connection and waits a little for the other side to confirm it.
    pub(super) async fn close(self) {
        let closed = self.closed.clone();
        drop(self);
        let _ = tokio::time::timeout(CLOSE_CONFIRM, closed.cancelled()).await;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

async fn drive(
    mut conn: Connection<TokioIo<Wire>, OutBody>,
    kill: CancellationToken,
    closed: CancellationToken,
    permit: Permit,
) {
    tokio::select! {
        biased;
        () = kill.cancelled() => {}
        _ = poll_fn(|cx| conn.poll_without_shutdown(cx)) => {}
    }
    conn.into_parts().io.into_inner().close().await;
    drop(permit);
    closed.cancel();
}
