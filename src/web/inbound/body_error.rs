//! Why the body of a request was not read.

use http::StatusCode;

/// Why the body of a request was not read. The request has not been served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the handler takes.
    #[error("body exceeds {limit} bytes")]
    TooLarge {
        /// Most bytes that the handler takes.
        limit: usize,
    },
    /// The body did not arrive fast enough.
    #[error("body is too slow: {received} bytes have arrived")]
    TooSlow {
        /// Bytes that had arrived.
        received: usize,
    },
    /// There is no memory for the body.
    #[error("too many requests are being received")]
    NoRoom,
    /// The connection failed, or the body is malformed.
    #[error("body cannot be read: {0}")]
    Broken(String),
}

impl BodyError {
    /// Returns the status of the answer to the request.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}
