//! Reply to a caller, as passed from the main runtime to the server.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use super::head::header_value;
use super::metrics::RequestOutcome;
use super::upstream_request_body::Chunk;
use crate::admission::Refusal;
use crate::prelude::*;
use crate::schema::dedup::RecordedAnswer;

/// Header that states whether a failed request was run.
pub(super) const OUTCOME: &str = "sapphirecroft-outcome";

/// Header of the reason why a request failed.
const REASON: &str = "sapphirecroft-reason";

/// Header of the time after which a retry is expected to be accepted, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Header that marks the response to a repeated idempotency key.
const REPEAT: &str = "sapphirecroft-repeat";

/// Retry hint of a refusal without an estimate.
pub(super) const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Body of a reply.
#[derive(Debug)]
pub(super) enum ReplyBody {
    /// No body, although the headers may describe one.
    None,
    /// The complete body.
    Buffered(Bytes),
    /// Chunks from a bounded channel; an empty chunk marks the end.
    Stream {
        rx: mpsc::Receiver<Chunk>,
        length: Option<u64>,
    },
}

/// Response to a caller, with the outcome of its request.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ReplyBody,
    pub(super) end: RequestOutcome,
}

impl Reply {
    /// Creates the reply to an invalid request, which was not run.
    pub(super) fn invalid(status: StatusCode, reason: &str) -> Self {
        Self::failure(status, RequestOutcome::NotRun, reason)
    }

    pub(super) fn bad_request(reason: &str) -> Self {
        Self::invalid(StatusCode::BAD_REQUEST, reason)
    }

    /// Creates the reply to a request that was not run.
    pub(super) fn not_run(status: StatusCode, reason: &str, retry_after: Millis) -> Self {
        let mut reply = Self::failure(status, RequestOutcome::NotRun, reason);
        let seconds = retry_after.get().div_ceil(1000);
        let headers = &mut reply.headers;
        headers.insert(RETRY_AFTER_MS, header_value(retry_after));
        headers.insert(header::RETRY_AFTER, header_value(seconds));
        reply
    }

    /// Creates the reply to a request that the dispatcher refused.
    pub(super) fn refused(reason: Refusal, retry_after: Millis) -> Self {
        let status = match reason {
            Refusal::UnknownService => StatusCode::NOT_FOUND,
            Refusal::UnknownClass | Refusal::UnknownTeam => StatusCode::BAD_REQUEST,
            Refusal::DeadlineTooShort | Refusal::QueueFull | Refusal::WaitedTooLong => {
                StatusCode::TOO_MANY_REQUESTS
            }
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::not_run(status, reason.as_str(), retry_after)
    }

    /// Creates the reply to a request that was not run for a temporary reason.
    pub(super) fn unavailable(reason: &str) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER)
    }

    /// Creates the reply to a request that may have run.
    pub(super) fn unknown(status: StatusCode, reason: &str) -> Self {
        Self::failure(status, RequestOutcome::Unknown, reason)
    }

    /// Creates the reply that repeats a recorded response.
    pub(super) fn recorded(response: &RecordedAnswer) -> Self {
        let mut headers = HeaderMap::new();
        for recorded_header in &response.headers {
            if let (Ok(name), Ok(value)) = (
                recorded_header.name.parse::<http::HeaderName>(),
                HeaderValue::from_str(&recorded_header.value),
            ) {
                headers.append(name, value);
            }
        }
        headers.insert(REPEAT, HeaderValue::from_static("true"));
        Self {
            status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
            headers,
            body: ReplyBody::Buffered(Bytes::from(response.body.clone())),
            end: RequestOutcome::Repeated,
        }
    }

    fn failure(status: StatusCode, end: RequestOutcome, reason: &str) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(OUTCOME, HeaderValue::from_static(end.as_str()));
        headers.insert(REASON, header_value(reason));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        Self {
            status,
            headers,
            body: ReplyBody::Buffered(Bytes::from(format!("{}: {reason}\n", end.as_str()))),
            end,
        }
    }
}
