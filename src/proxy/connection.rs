//! HTTP/1.1 connection to an endpoint or peer.

use std::future::poll_fn;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::metered_stream::{MeteredStream, StreamStats};
use super::pool::Permit;
use super::upstream_request_body::UpstreamRequestBody;
use super::{Clock, Pool};
use crate::prelude::*;
use crate::routing::Outcome;

/// Read buffer of a connection, in bytes. It bounds the size of one chunk of a response.
const MAX_BUF_BYTES: usize = 64 << 10;

/// Maximum wait for a connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum wait for the endpoint to close an abandoned connection too.
const CLOSE_CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);

/// Connection that carries one request at a time. Dropping it closes it.
pub(super) struct PooledConnection {
    sender: SendRequest<UpstreamRequestBody>,
    stats: Arc<StreamStats>,
    kill: CancellationToken,
    closed: CancellationToken,
    addr: std::net::SocketAddr,
    /// Time at which the last response ended.
    pub(super) idle_since: Millis,
}

impl PooledConnection {
    /// Opens a connection; the permit is held until both sides have closed it.
    pub(super) async fn open(pool: &Pool, clock: Clock, permit: Permit) -> Result<Self, String> {
        let addr = pool.addr();
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|err| err.to_string())?;
        stream.set_nodelay(true).map_err(|err| err.to_string())?;
        let stats = Arc::new(StreamStats::new(clock));
        let metered = TokioIo::new(MeteredStream::new(stream, stats.clone()));
        let (sender, conn) = Builder::new()
            .max_buf_size(MAX_BUF_BYTES)
            .handshake(metered)
            .await
            .map_err(|err| err.to_string())?;
        let kill = CancellationToken::new();
        let closed = CancellationToken::new();
        tokio::spawn(run_connection(conn, kill.clone(), closed.clone(), permit));
        Ok(Self {
            sender,
            stats,
            kill,
            closed,
            addr,
            idle_since: clock.now(),
        })
    }

    /// Returns the traffic statistics of the connection.
    pub(super) fn stats(&self) -> Arc<StreamStats> {
        self.stats.clone()
    }

    /// Sends a request and returns the head of its response.
    pub(super) async fn send(
        &mut self,
        req: Request<UpstreamRequestBody>,
    ) -> Result<Response<Incoming>, Outcome> {
        let before = self.stats.written();
        self.sender.try_send_request(req).await.map_err(|err| {
            let not_sent = err.message().is_some() || self.stats.written() == before;
            if not_sent {
                Outcome::NotSent
            } else {
                Outcome::Broken
            }
        })
    }

    /// Sends a probe and returns whether the other side responds to it within `timeout`.
    pub(super) async fn probe(&mut self, timeout: Millis) -> bool {
        let mut req = Request::new(UpstreamRequestBody::empty());
        *req.method_mut() = Method::OPTIONS;
        *req.uri_mut() = Uri::from_static("*");
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        let completed = async {
            let Ok(res) = self.send(req).await else {
                return false;
            };
            res.into_body().collect().await.is_ok() && self.is_ready().await
        };
        tokio::time::timeout(timeout.into(), completed)
            .await
            .unwrap_or(false)
    }

    /// Returns whether the connection becomes ready for its next request within a short time.
    pub(super) async fn is_ready(&mut self) -> bool {
        matches!(
            tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Returns whether the connection is closed or being closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.kill.is_cancelled()
    }

    /// Closes the connection and waits briefly for the other side to close it too.
    pub(super) async fn close(self) {
        let closed = self.closed.clone();
        drop(self);
        let _ = tokio::time::timeout(CLOSE_CONFIRM_TIMEOUT, closed.cancelled()).await;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.kill.cancel();
    }
}

async fn run_connection(
    mut conn: Connection<TokioIo<MeteredStream>, UpstreamRequestBody>,
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
