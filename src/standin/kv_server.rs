//! Serves the key-value stand-in over HTTP and in process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{Kv, StoreFaults};
use crate::prelude::*;
use crate::provider::{CasOutcome, Expected, Record, Store, StoreCall};
use crate::web::{WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Interval at which waiting watches look for lapsed leases.
const WATCH_TICK: Duration = Duration::from_millis(100);

/// Largest call: a value of 1 MB and its key.
const MAX_CALL_BYTES: usize = 3 << 20;

/// The key-value stand-in with its faults; it also counts calls.
pub struct KvServer {
    kv: Mutex<Kv>,
    changed: Notify,
    started: Instant,
    calls: AtomicU64,
    /// Faults to show.
    pub faults: StoreFaults,
}

impl KvServer {
    /// Creates an empty service.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            kv: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
            calls: AtomicU64::new(0),
            faults: StoreFaults::default(),
        })
    }

    /// Returns the number of calls so far, a watch counted once.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Lets a lease lapse at once.
    pub fn drop_lease(&self, name: &str) {
        self.kv.lock().drop_lease(name);
        self.changed.notify_waiters();
    }

    async fn enter(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.faults.delay_ms();
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if self.faults.is_down() {
            return Err(StoreError::Unavailable("stand-in is down".to_string()));
        }
        self.kv.lock().expire(self.now());
        Ok(())
    }

    fn leave(&self) -> Result<(), StoreError> {
        self.changed.notify_waiters();
        if self.faults.takes_answer() {
            return Err(StoreError::AnswerLost(
                "stand-in dropped the answer".to_string(),
            ));
        }
        Ok(())
    }

    fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    async fn answer(&self, call: StoreCall) -> Result<WebRes, StoreError> {
        Ok(match call {
            StoreCall::Get { key } => packed(&self.get(&key).await?),
            StoreCall::List { prefix } => packed(&self.list(&prefix).await?),
            StoreCall::Cas {
                key,
                expected,
                value,
                lease,
            } => packed(&self.cas(&key, expected, value, lease.as_deref()).await?),
            StoreCall::KeepLease { lease, ttl, create } => {
                packed(&self.keep_lease(&lease, ttl, create).await?)
            }
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => packed(&self.watch(&prefix, after, wait).await?),
        })
    }
}

#[async_trait]
impl Store for KvServer {
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.enter().await?;
        Ok(self.kv.lock().get(key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError> {
        self.enter().await?;
        Ok(self.kv.lock().list(prefix))
    }

    async fn cas(
        &self,
        key: &str,
        expected: Expected,
        value: Option<Vec<u8>>,
        lease: Option<&str>,
    ) -> Result<CasOutcome, StoreError> {
        self.enter().await?;
        let outcome = self
            .kv
            .lock()
            .cas(key, expected, value, lease)
            .map_err(StoreError::Invalid)?;
        self.leave()?;
        Ok(outcome)
    }

    async fn keep_lease(&self, lease: &str, ttl: Millis, create: bool) -> Result<bool, StoreError> {
        self.enter().await?;
        let kept = self.kv.lock().keep_lease(lease, ttl, create, self.now());
        self.leave()?;
        Ok(kept)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Record>, StoreError> {
        self.enter().await?;
        let deadline = Instant::now() + Duration::from(wait);
        loop {
            if self.faults.is_down() {
                return Err(StoreError::Unavailable("stand-in is down".to_string()));
            }
            let changes = {
                let mut kv = self.kv.lock();
                kv.expire(self.now());
                kv.changes(prefix, after)
            };
            if !changes.is_empty() || Instant::now() >= deadline {
                return Ok(changes);
            }
            let _ = tokio::time::timeout(WATCH_TICK, self.changed.notified()).await;
        }
    }
}

#[async_trait(?Send)]
impl WebService for KvServer {
    async fn call(&self, req: WebReq) -> WebRes {
        let call = match read_body(req, MAX_CALL_BYTES)
            .await
            .map_err(|err| err.to_string())
            .and_then(|buf| decode(&buf))
        {
            Ok(call) => call,
            Err(err) => return text(StatusCode::BAD_REQUEST, err),
        };
        match self.answer(call).await {
            Ok(res) => res,
            Err(StoreError::Unavailable(err)) => text(StatusCode::SERVICE_UNAVAILABLE, err),
            // A lost answer shows as a call that hangs until the caller's timeout.
            Err(StoreError::AnswerLost(_)) => std::future::pending().await,
            Err(StoreError::Invalid(err)) => text(StatusCode::BAD_REQUEST, err),
        }
    }
}
