//! Responses of the administration API.

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use serde_json::Value;

use crate::prelude::*;
use crate::schema::config::{ApiError, ErrorKind};
use crate::web::{WebRes, text};

/// Status and JSON body of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// JSON body.
    pub body: Value,
}

impl AdminAnswer {
    /// Creates a successful response with `data` as its body.
    pub fn ok<T: Serialize>(data: &T) -> Self {
        match serde_json::to_value(data) {
            Ok(body) => Self {
                status: StatusCode::OK,
                body,
            },
            Err(err) => Self::error(ErrorKind::Internal, err.to_string()),
        }
    }

    /// Creates a response with the status code and body of an error.
    pub fn error(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::from(ApiError {
            kind,
            message: message.into(),
            faults: Vec::new(),
            other: None,
        })
    }

    pub(super) fn into_response(self) -> WebRes {
        let mut res = text(self.status, self.body.to_string());
        res.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        res
    }
}

impl<T: Serialize> From<Result<T, BundleError>> for AdminAnswer {
    fn from(result: Result<T, BundleError>) -> Self {
        match result {
            Ok(data) => Self::ok(&data),
            Err(err) => Self::from(ApiError::from(err)),
        }
    }
}

impl From<ApiError> for AdminAnswer {
    fn from(err: ApiError) -> Self {
        let status = match err.kind {
            ErrorKind::BadInput => StatusCode::BAD_REQUEST,
            ErrorKind::Unauthenticated => StatusCode::UNAUTHORIZED,
            ErrorKind::Forbidden => StatusCode::FORBIDDEN,
            ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::Refused | ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::UnknownOutcome => StatusCode::GATEWAY_TIMEOUT,
            ErrorKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        };
        Self {
            status,
            body: serde_json::to_value(err).unwrap_or_default(),
        }
    }
}

impl From<BundleError> for ApiError {
    fn from(err: BundleError) -> Self {
        let kind = match &err {
            BundleError::Invalid(_) | BundleError::BadInput(_) => ErrorKind::BadInput,
            BundleError::Forbidden(_) => ErrorKind::Forbidden,
            BundleError::NotFound(_) => ErrorKind::NotFound,
            BundleError::Refused(_) => ErrorKind::Refused,
            BundleError::Conflict(_) => ErrorKind::Conflict,
            BundleError::Unavailable(_) => ErrorKind::Unavailable,
            BundleError::Unknown { .. } => ErrorKind::UnknownOutcome,
            BundleError::Untrusted(_) | BundleError::BadRecord { .. } => ErrorKind::Internal,
        };
        let message = err.to_string();
        let (faults, other) = match err {
            BundleError::Invalid(faults) => (faults.0, None),
            BundleError::Conflict(other) => (Vec::new(), Some(other)),
            _ => (Vec::new(), None),
        };
        Self {
            kind,
            message,
            faults: faults.into_iter().map(Into::into).collect(),
            other: other.map(|other| crate::schema::config::OtherChange {
                who: other.who,
                what: other.what,
                at: other.at,
                version: other.version,
            }),
        }
    }
}

/// Returns the response to a path or method that no call has.
pub(super) fn no_such_call() -> AdminAnswer {
    AdminAnswer::error(ErrorKind::NotFound, "there is no such call")
}
