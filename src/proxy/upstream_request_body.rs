//! Bodies of requests to endpoints and peers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::error::CutOff;

/// Chunk of a body that is passed between threads, or the reason why the body was cut off.
pub(super) type Chunk = Result<Bytes, CutOff>;

/// Request body, buffered or streamed from the caller.
pub(super) enum UpstreamRequestBody {
    /// The complete body.
    Buffered(Option<Bytes>),
    /// Chunks from a bounded channel.
    Stream {
        /// Receiver of the chunks.
        rx: mpsc::Receiver<Chunk>,
        /// Number of bytes still to come.
        remaining: u64,
    },
}

impl UpstreamRequestBody {
    pub(super) const fn empty() -> Self {
        Self::Buffered(None)
    }

    pub(super) fn buffered(content: Bytes) -> Self {
        Self::Buffered(Some(content).filter(|content| !content.is_empty()))
    }
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Buffered(content) => {
                Poll::Ready(content.take().map(|data| Ok(Frame::data(data))))
            }
            Self::Stream { rx, remaining } => rx.poll_recv(cx).map(|chunk| match chunk {
                Some(Ok(data)) => {
                    *remaining = remaining.saturating_sub(data.len() as u64);
                    Some(Ok(Frame::data(data)))
                }
                Some(Err(err)) => Some(Err(err)),
                None if *remaining > 0 => Some(Err(CutOff::new("caller's body ended early"))),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(content) => content.is_none(),
            Self::Stream { remaining, .. } => *remaining == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream { remaining, .. } => SizeHint::with_exact(*remaining),
        }
    }
}
