//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

use super::gauge::InProgress;
use super::out_body::Piece;
use crate::error::CutOff;

/// Rest of a request body that is still being passed to the endpoint.
pub(super) type Upload = Pin<Box<dyn Future<Output = ()>>>;

/// An answer body; an error aborts the caller's connection.
pub(super) struct AnswerBody {
    pub(super) content: Content,
    pub(super) upload: Option<Upload>,
    /// Counts the request as in progress until its answer is written.
    pub(super) _guard: InProgress,
}

/// Source of an answer body.
pub(super) enum Content {
    /// All bytes are here.
    Whole(Option<Bytes>),
    /// Bytes arrive through a bounded channel that ends with an empty piece.
    Stream {
        rx: mpsc::Receiver<Piece>,
        left: Option<u64>,
    },
    /// The end was reached.
    Ended,
}

impl Content {
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        let piece = match self {
            Self::Whole(content) => content.take().filter(|data| !data.is_empty()).map(Ok),
            Self::Ended => None,
            Self::Stream { rx, left } => match std::task::ready!(rx.poll_recv(cx)) {
                Some(Ok(data)) => take(left, data),
                Some(Err(err)) => Some(Err(err)),
                None => Some(Err(CutOff::new("sender of the answer is gone"))),
            },
        };
        if !matches!(piece, Some(Ok(_))) {
            *self = Self::Ended;
        }
        Poll::Ready(piece)
    }
}

/// Checks a piece against the declared length; an empty piece is the end.
fn take(left: &mut Option<u64>, data: Bytes) -> Option<Piece> {
    let size = data.len() as u64;
    match left {
        Some(left) if size > *left => Some(Err(CutOff::new("answer exceeds its length"))),
        Some(left) if size == 0 && *left > 0 => {
            Some(Err(CutOff::new("answer is shorter than its length")))
        }
        Some(left) => {
            *left -= size;
            (size > 0).then_some(Ok(data))
        }
        None => (size > 0).then_some(Ok(data)),
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        let this = self.get_mut();
        if let Some(upload) = &mut this.upload
            && upload.as_mut().poll(cx).is_ready()
        {
            this.upload = None;
        }
        this.content
            .poll_piece(cx)
            .map(|piece| piece.map(|piece| piece.map(Frame::Data)))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(content) => {
                SizeHint::Exact(content.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Stream { left, .. } => left.map_or(SizeHint::Unknown, SizeHint::Exact),
            Content::Ended => SizeHint::Exact(0),
        }
    }
}
