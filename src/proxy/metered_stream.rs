//! TCP stream that counts written bytes and records the time of its last progress.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use super::Clock;
use crate::prelude::*;

/// Maximum wait for the other side to close a connection that this side has closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Buffer size for draining a connection that is being closed.
const DRAIN_BYTES: usize = 16 << 10;

/// Traffic statistics of one connection.
#[derive(Debug)]
pub(super) struct StreamStats {
    clock: Clock,
    written: AtomicU64,
    last_progress_ms: AtomicU64,
}

impl StreamStats {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            written: AtomicU64::new(0),
            last_progress_ms: AtomicU64::new(clock.now().get()),
        }
    }

    /// Returns the number of bytes that were handed to the kernel.
    pub(super) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Returns the time at which bytes were last sent or received.
    pub(super) fn last_progress(&self) -> Millis {
        Millis(self.last_progress_ms.load(Ordering::Acquire))
    }

    fn record_progress(&self) {
        self.last_progress_ms
            .store(self.clock.now().get(), Ordering::Release);
    }
}

/// TCP stream that updates its [`StreamStats`].
pub(super) struct MeteredStream {
    stream: TcpStream,
    stats: Arc<StreamStats>,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, stats: Arc<StreamStats>) -> Self {
        Self { stream, stats }
    }

    /// Closes this side and waits until the other side has closed its side.
    ///
    /// The endpoint counts a connection as open until it has seen the end of the stream.
    pub(super) async fn close(mut self) {
        let mut buf = vec![0; DRAIN_BYTES];
        let drain = async {
            self.stream.shutdown().await?;
            while self.stream.read(&mut buf).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drain).await;
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.stats.record_progress();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.stats.written.fetch_add(count as u64, Ordering::AcqRel);
        self.stats.record_progress();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
