//! Bodies of requests to endpoints and peers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::error::CutOff;

/// Piece of a body that is passed between threads.
pub(super) type Piece = Result<Bytes, CutOff>;

/// A request body, whole or streamed from the caller.
pub(super) enum OutBody {
    /// All bytes are here.
    Whole(Option<Bytes>),
    /// Bytes arrive through a bounded channel.
    Stream {
        /// Source of the pieces.
        rx: mpsc::Receiver<Piece>,
        /// Bytes that are still due.
        left: u64,
    },
}

impl OutBody {
    pub(super) const fn empty() -> Self {
        Self::Whole(None)
    }

    pub(super) fn whole(content: Bytes) -> Self {
        Self::Whole(Some(content).filter(|content| !content.is_empty()))
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(content) => Poll::Ready(content.take().map(|data| Ok(Frame::data(data)))),
            Self::Stream { rx, left } => rx.poll_recv(cx).map(|piece| match piece {
                Some(Ok(data)) => {
                    *left = left.saturating_sub(data.len() as u64);
                    Some(Ok(Frame::data(data)))
                }
                Some(Err(err)) => Some(Err(err)),
                None if *left > 0 => Some(Err(CutOff::new("caller's body ended early"))),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(content) => content.is_none(),
            Self::Stream { left, .. } => *left == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream { left, .. } => SizeHint::with_exact(*left),
        }
    }
}
