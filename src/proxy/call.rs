//! A caller's request while it is being answered.

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::gauge::InProgress;
use super::head::{DEADLINE, Head, header_value};
use super::out_body::{OutBody, Piece};
use super::pool::Trust;
use crate::prelude::*;
use crate::routing::{IncomingRequest, RequestId};

/// Body of a caller's request.
pub(super) enum CallBody {
    /// All bytes are here, so the request can be sent again.
    Whole(Bytes),
    /// Bytes arrive through a bounded channel, once.
    Stream(Mutex<Option<mpsc::Receiver<Piece>>>),
}

/// A request, the time by which its answer is due, and its place in the count of requests.
pub(super) struct Call {
    pub(super) head: Head,
    pub(super) body: CallBody,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    /// Share of the bytes that may be held for sending again.
    pub(super) _held: OwnedSemaphorePermit,
    pub(super) _guard: InProgress,
}

impl Call {
    /// Returns whether the body can still be sent.
    pub(super) fn is_sendable(&self) -> bool {
        match &self.body {
            CallBody::Whole(_) => true,
            CallBody::Stream(rx) => rx.lock().is_some(),
        }
    }

    /// Returns whether a second copy may be sent while the first one is in progress.
    pub(super) fn is_repeatable(&self) -> bool {
        self.head.idempotent && matches!(self.body, CallBody::Whole(_))
    }

    /// Returns how far the first attempt trusts an idle connection.
    pub(super) fn trust(&self) -> Trust {
        if self.head.idempotent {
            Trust::Idle
        } else {
            Trust::Recent
        }
    }

    /// Describes the request to the dispatcher.
    pub(super) fn arrival(&self, forwarded: bool, now: Millis) -> IncomingRequest {
        IncomingRequest {
            id: RequestId::default(),
            service: self.head.service.clone(),
            class: self.head.class.clone(),
            team: self.head.team.clone(),
            deadline: Some(self.deadline.since(now)),
            idempotent: self.head.idempotent,
            forwarded,
        }
    }

    /// Builds the request to the next hop; `None` if the body has been sent before.
    pub(super) fn request(
        &self,
        prefix: &str,
        marks: &[(&'static str, bool)],
        deadline: Millis,
    ) -> Option<Request<OutBody>> {
        let uri: Uri = format!("{prefix}{}", self.head.target).parse().ok()?;
        let body = match &self.body {
            CallBody::Whole(content) => OutBody::whole(content.clone()),
            CallBody::Stream(rx) => OutBody::Stream {
                rx: rx.lock().take()?,
                left: self.head.length,
            },
        };
        let mut req = Request::new(body);
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = self.head.headers.clone();
        let headers = req.headers_mut();
        if !headers.contains_key(header::HOST) {
            headers.insert(header::HOST, HeaderValue::from_static("sapphirecroft"));
        }
        headers.insert(DEADLINE, header_value(deadline));
        for (name, value) in marks {
            headers.insert(*name, header_value(value));
        }
        Some(req)
    }
}
