//! Bodies of the responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

use super::in_flight::InFlightGuard;
use super::upstream_request_body::Chunk;
use crate::error::CutOff;

/// Task that streams the rest of a request body to the endpoint.
pub(super) type Upload = Pin<Box<dyn Future<Output = ()>>>;

/// Body of a response to a caller. An error aborts the caller's connection.
pub(super) struct CallerResponseBody {
    pub(super) content: Content,
    pub(super) upload: Option<Upload>,
    /// Counts the request as in flight until its response is written.
    pub(super) _guard: InFlightGuard,
}

/// Source of a response body.
pub(super) enum Content {
    /// The complete body.
    Buffered(Option<Bytes>),
    /// Chunks from a bounded channel; an empty chunk marks the end.
    Stream {
        rx: mpsc::Receiver<Chunk>,
        remaining: Option<u64>,
    },
    /// The body has ended or failed.
    Ended,
}

impl Content {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let chunk = match self {
            Self::Buffered(content) => content.take().filter(|data| !data.is_empty()).map(Ok),
            Self::Ended => None,
            Self::Stream { rx, remaining } => match std::task::ready!(rx.poll_recv(cx)) {
                Some(Ok(data)) => check_length(remaining, data),
                Some(Err(err)) => Some(Err(err)),
                None => Some(Err(CutOff::new("sender of the response was dropped"))),
            },
        };
        if !matches!(chunk, Some(Ok(_))) {
            *self = Self::Ended;
        }
        Poll::Ready(chunk)
    }
}

/// Checks a chunk against the declared length; an empty chunk marks the end.
fn check_length(remaining: &mut Option<u64>, data: Bytes) -> Option<Chunk> {
    let size = data.len() as u64;
    match remaining {
        Some(remaining) if size > *remaining => {
            Some(Err(CutOff::new("response exceeds its declared length")))
        }
        Some(remaining) if size == 0 && *remaining > 0 => Some(Err(CutOff::new(
            "response is shorter than its declared length",
        ))),
        Some(remaining) => {
            *remaining -= size;
            (size > 0).then_some(Ok(data))
        }
        None => (size > 0).then_some(Ok(data)),
    }
}

impl Body for CallerResponseBody {
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
            .poll_chunk(cx)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::Data)))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(content) => {
                SizeHint::Exact(content.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Stream { remaining, .. } => {
                remaining.map_or(SizeHint::Unknown, SizeHint::Exact)
            }
            Content::Ended => SizeHint::Exact(0),
        }
    }
}
