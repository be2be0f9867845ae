//! Adapter of the key-value service over HTTP with MessagePack.

use async_trait::async_trait;
use serde::de::DeserializeOwned;

use super::store::{CasOutcome, Expected, Record, Store, StoreCall};
use crate::prelude::*;
use crate::web::Caller;

/// Allowance for a watch's own wait on top of the timeout of a call.
const WATCH_GRACE: Millis = Millis(500);

/// Calls a key-value service that speaks `StoreCall`.
pub struct HttpStore {
    addr: String,
    caller: Caller,
    timeout: Millis,
}

impl HttpStore {
    /// Reaches the service at `addr`, giving each call at most `timeout`.
    pub fn new(addr: String, timeout: Millis) -> Self {
        Self {
            addr,
            caller: Caller::new(),
            timeout,
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        call: &StoreCall,
        timeout: Millis,
    ) -> Result<T, StoreError> {
        self.caller
            .exchange(&self.addr, "/store", call, timeout)
            .await
            .map_err(|err| match err {
                CallError::Connect { .. } => StoreError::Unavailable(err.to_string()),
                CallError::Status { status: 503, .. } => StoreError::Unavailable(err.to_string()),
                CallError::Broken { .. } => StoreError::AnswerLost(err.to_string()),
                CallError::Status { .. } | CallError::Codec { .. } => {
                    StoreError::Invalid(err.to_string())
                }
            })
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.call(
            &StoreCall::Get {
                key: key.to_string(),
            },
            self.timeout,
        )
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.call(
            &StoreCall::List {
                prefix: prefix.to_string(),
            },
            self.timeout,
        )
        .await
    }

    async fn cas(
        &self,
        key: &str,
        expected: Expected,
        value: Option<Vec<u8>>,
        lease: Option<&str>,
    ) -> Result<CasOutcome, StoreError> {
        let call = StoreCall::Cas {
            key: key.to_string(),
            expected,
            value,
            lease: lease.map(str::to_string),
        };
        self.call(&call, self.timeout).await
    }

    async fn keep_lease(&self, lease: &str, ttl: Millis, create: bool) -> Result<bool, StoreError> {
        let call = StoreCall::KeepLease {
            lease: lease.to_string(),
            ttl,
            create,
        };
        self.call(&call, self.timeout).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Record>, StoreError> {
        let call = StoreCall::Watch {
            prefix: prefix.to_string(),
            after,
            wait,
        };
        self.call(&call, wait + self.timeout + WATCH_GRACE).await
    }
}
