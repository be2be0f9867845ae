//! Authentication of operators by bearer token.

use std::time::Duration;

use http::{HeaderMap, header};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::bundle::{BundleKeeper, BundleManager, digest_of};
use crate::prelude::*;
use crate::schema::config::{ApiError, ErrorKind, OperatorRecord};

/// Minimum time between two reads of the key ring because of unknown tokens. Without it, callers
/// with invalid tokens could exhaust the rate limit of the store.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Identity of the caller of the API.
pub(super) enum Caller {
    Operator(Box<OperatorRecord>),
    /// The call has no token.
    Anonymous,
}

/// Authenticates callers by the digest of their token.
pub(super) struct Auth {
    keeper: Arc<BundleKeeper>,
    last_reload: Mutex<Option<Instant>>,
}

impl Auth {
    pub fn new(keeper: Arc<BundleKeeper>) -> Self {
        Self {
            keeper,
            last_reload: Mutex::new(None),
        }
    }

    /// Identifies the caller by the bearer token, which appears in no message.
    ///
    /// An unknown token may be newer than the key ring in this process, so the ring is read from
    /// the store, at most once per `RELOAD_INTERVAL`.
    pub async fn identify(
        &self,
        headers: &HeaderMap,
        manager: &BundleManager,
    ) -> Result<Caller, ApiError> {
        let Some(value) = headers.get(header::AUTHORIZATION) else {
            return Ok(Caller::Anonymous);
        };
        let token = value
            .to_str()
            .ok()
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| unauthenticated("authorization header is not a bearer token"))?;
        let digest = digest_of(token.trim().as_bytes());
        if let Some(operator) = self.find(&digest) {
            return Ok(Caller::Operator(Box::new(operator)));
        }
        if self.may_reload() {
            let loaded = manager.load().await;
            if self.keeper.ring_serial() == 0 {
                loaded?;
            }
        }
        self.find(&digest)
            .map(|operator| Caller::Operator(Box::new(operator)))
            .ok_or_else(|| unauthenticated("token is not known"))
    }

    fn find(&self, digest: &Digest) -> Option<OperatorRecord> {
        self.keeper.ring()?.find_by_token(digest).cloned()
    }

    /// Returns whether the key ring may be read again, and if so counts the read.
    fn may_reload(&self) -> bool {
        let mut last = self.last_reload.lock();
        let now = Instant::now();
        if last.is_some_and(|last| now.duration_since(last) < RELOAD_INTERVAL) {
            return false;
        }
        *last = Some(now);
        true
    }
}

/// Returns the error for a call without a valid token.
pub(super) fn unauthenticated(message: &str) -> ApiError {
    ApiError {
        kind: ErrorKind::Unauthenticated,
        message: message.to_string(),
        faults: Vec::new(),
        other: None,
    }
}
