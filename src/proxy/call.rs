//! A caller's request while it is in flight.

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::head::{DEADLINE, Head, header_value};
use super::in_flight::InFlightGuard;
use super::pool::ReusePolicy;
use super::upstream_request_body::{Chunk, UpstreamRequestBody};
use crate::prelude::*;
use crate::routing::{IncomingRequest, RequestId};

/// Body of a caller's request.
pub(super) enum CallBody {
    /// The complete body, so the request can be retried.
    Buffered(Bytes),
    /// Chunks from a bounded channel, which can be sent only once.
    Stream(Mutex<Option<mpsc::Receiver<Chunk>>>),
}

/// A request with its deadline and the guards that it holds while it is in flight.
pub(super) struct Call {
    pub(super) head: Head,
    pub(super) body: CallBody,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    /// Permit for the bytes of the buffered body.
    pub(super) _body_permit: OwnedSemaphorePermit,
    pub(super) _guard: InFlightGuard,
}

impl Call {
    /// Returns whether the body is still available for an attempt.
    pub(super) fn is_sendable(&self) -> bool {
        match &self.body {
            CallBody::Buffered(_) => true,
            CallBody::Stream(rx) => rx.lock().is_some(),
        }
    }

    /// Returns whether another attempt may be sent while the first one is in flight.
    pub(super) fn is_repeatable(&self) -> bool {
        self.head.idempotent && matches!(self.body, CallBody::Buffered(_))
    }

    /// Returns which idle connections the first attempt may reuse.
    pub(super) fn reuse_policy(&self) -> ReusePolicy {
        if self.head.idempotent {
            ReusePolicy::Idle
        } else {
            ReusePolicy::Recent
        }
    }

    /// Returns the description of the request for the dispatcher.
    pub(super) fn incoming_request(&self, forwarded: bool, now: Millis) -> IncomingRequest {
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

    /// Builds the request to the next hop, or returns `None` if a streamed body was sent before.
    pub(super) fn request(
        &self,
        prefix: &str,
        flags: &[(&'static str, bool)],
        deadline: Millis,
    ) -> Option<Request<UpstreamRequestBody>> {
        let uri: Uri = format!("{prefix}{}", self.head.target).parse().ok()?;
        let body = match &self.body {
            CallBody::Buffered(content) => UpstreamRequestBody::buffered(content.clone()),
            CallBody::Stream(rx) => UpstreamRequestBody::Stream {
                rx: rx.lock().take()?,
                remaining: self.head.length,
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
        for (name, value) in flags {
            headers.insert(*name, header_value(value));
        }
        Some(req)
    }
}
