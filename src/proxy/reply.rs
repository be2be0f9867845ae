//! An answer on its way from the main runtime to the caller.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use super::head::header_value;
use super::metrics::RequestOutcome;
use super::out_body::Piece;
use crate::admission::Refusal;
use crate::prelude::*;
use crate::schema::dedup::RecordedAnswer;

/// Returns whether a request that failed was run.
pub(super) const OUTCOME: &str = "sapphirecroft-outcome";

/// Says why a request failed.
const REASON: &str = "sapphirecroft-reason";

/// Says when another try is expected to be accepted.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Marks the answer to a repeated idempotency key.
const REPEAT: &str = "sapphirecroft-repeat";

/// Hint given with a refusal that has no estimate.
pub(super) const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Body of an answer.
#[derive(Debug)]
pub(super) enum ReplyBody {
    /// No body, although the headers may describe one.
    None,
    /// All bytes are here.
    Whole(Bytes),
    /// Bytes arrive through a bounded channel.
    Stream {
        rx: mpsc::Receiver<Piece>,
        length: Option<u64>,
    },
}

/// Head and body of an answer, and what it means for the request.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ReplyBody,
    pub(super) end: RequestOutcome,
}

impl Reply {
    /// Tells the caller that its request was malformed and not run.
    pub(super) fn invalid(status: StatusCode, reason: &str) -> Self {
        Self::failure(status, RequestOutcome::NotRun, reason)
    }

    pub(super) fn bad_request(reason: &str) -> Self {
        Self::invalid(StatusCode::BAD_REQUEST, reason)
    }

    /// Tells the caller that its request was not run.
    pub(super) fn not_run(status: StatusCode, reason: &str, retry_after: Millis) -> Self {
        let mut reply = Self::failure(status, RequestOutcome::NotRun, reason);
        let seconds = retry_after.get().div_ceil(1000);
        let headers = &mut reply.headers;
        headers.insert(RETRY_AFTER_MS, header_value(retry_after));
        headers.insert(header::RETRY_AFTER, header_value(seconds));
        reply
    }

    /// Tells the caller why its request was refused.
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

    /// Tells the caller that its request was not run, in a way that another try may change.
    pub(super) fn unavailable(reason: &str) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER)
    }

    /// Tells the caller that its request may have run.
    pub(super) fn unknown(status: StatusCode, reason: &str) -> Self {
        Self::failure(status, RequestOutcome::Unknown, reason)
    }

    /// Repeats a recorded answer.
    pub(super) fn recorded(answer: &RecordedAnswer) -> Self {
        let mut headers = HeaderMap::new();
        for held in &answer.headers {
            if let (Ok(name), Ok(value)) = (
                held.name.parse::<http::HeaderName>(),
                HeaderValue::from_str(&held.value),
            ) {
                headers.append(name, value);
            }
        }
        headers.insert(REPEAT, HeaderValue::from_static("true"));
        Self {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
            headers,
            body: ReplyBody::Whole(Bytes::from(answer.body.clone())),
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
            body: ReplyBody::Whole(Bytes::from(format!("{}: {reason}\n", end.as_str()))),
            end,
        }
    }
}
