//! Client of the platform's key-value service.

use async_trait::async_trait;
use http::{Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::de::DeserializeOwned;

use super::wire::{
    WireEvents, WireExpected, WireItem, WireLease, WirePage, WireRev, WireTxn, WireWrite,
    decode_value, encode_value,
};
use crate::entry::{Change, Item, Page, StateStore, Transaction, TxnOutcome, WatchResponse};
use crate::prelude::*;
use crate::telemetry::Activity;
use crate::web::{Link, LinkError, LinkRequest};

/// Time until the answer to a read begins, well above the latency of a degraded store (240 ms).
const READ_TIMEOUT: Millis = Millis(800);

/// Time after the wait of a watch until its answer begins.
const WATCH_MARGIN: Millis = Millis(700);

/// Client of the key-value service at one address.
pub struct KvClient {
    link: Link,
}

impl KvClient {
    /// Creates a client without opening a connection.
    pub fn new(address: String) -> Self {
        Self {
            link: Link::new(address, Activity::StoreLink),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        self.exchange(method, path, body, timeout)
            .await
            .map_err(store_error)?
    }

    /// Calls the service; the outer error is one of the connection.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<Result<(StatusCode, bytes::Bytes), StoreError>, LinkError> {
        let req = LinkRequest {
            method,
            path,
            headers: &[("content-type", "application/json")],
            body,
            timeout,
        };
        let (status, _, body) = self.link.call(req).await?;
        Ok(match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable(format!("status {status}")))
            }
            status if status.is_server_error() => {
                Err(StoreError::AnswerLost(format!("status {status}")))
            }
            _ => Ok((status, body)),
        })
    }
}

fn store_error(err: LinkError) -> StoreError {
    match err {
        LinkError::NotSent(_) => StoreError::Unavailable(err.to_string()),
        LinkError::NoAnswer(_) | LinkError::TooLarge { .. } => {
            StoreError::AnswerLost(err.to_string())
        }
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
    if !matches!(status, StatusCode::OK | StatusCode::PRECONDITION_FAILED) {
        return Err(StoreError::Invalid(format!(
            "status {status}: {}",
            String::from_utf8_lossy(body)
        )));
    }
    serde_json::from_slice(body).map_err(|err| StoreError::Invalid(err.to_string()))
}

/// Characters that a key in a query keeps. Other writers may use any in the keys under their
/// prefixes.
const QUERY_KEY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

fn encode_query(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, QUERY_KEY)
}

/// Decodes an item. A value that cannot be decoded is taken as empty, which no reader accepts: it
/// must not keep the other items of a page or watch from being read.
fn decode_item(wire: WireItem) -> Item {
    let value = decode_value(&wire.value).unwrap_or_else(|err| {
        tracing::warn!(
            key = wire.key,
            revision = wire.rev,
            err,
            "value of an item cannot be decoded; it is taken as empty"
        );
        Vec::new()
    });
    Item {
        value,
        key: wire.key,
        revision: wire.rev,
    }
}

#[async_trait]
impl StateStore for KvClient {
    async fn get(&self, key: &str, timeout: Millis) -> Result<(Option<Item>, u64), StoreError> {
        let path = format!("/kv-key?key={}", encode_query(key));
        let (status, body) = self.call(Method::GET, &path, Vec::new(), timeout).await?;
        if status == StatusCode::NOT_FOUND {
            let at = serde_json::from_slice::<WireItem>(&body).map_or(0, |wire| wire.at);
            return Ok((None, at));
        }
        let wire: WireItem = parse(status, &body)?;
        let at = wire.at;
        Ok((Some(decode_item(wire)), at))
    }

    async fn page(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let mut path = format!("/kv-range?prefix={}", encode_query(prefix));
        if !after.is_empty() {
            path.push_str(&format!("&after={}", encode_query(after)));
        }
        let (status, body) = self
            .call(Method::GET, &path, Vec::new(), READ_TIMEOUT)
            .await?;
        let wire: WirePage = parse(status, &body)?;
        Ok(Page {
            items: wire.items.into_iter().map(decode_item).collect(),
            truncated: wire.truncated,
            at: wire.at,
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<WatchResponse, StoreError> {
        let prefix = encode_query(prefix);
        let path = format!("/kv-watch?prefix={prefix}&after={after}&waitMs={wait}");
        let exchanged = self
            .exchange(Method::GET, &path, Vec::new(), wait + WATCH_MARGIN)
            .await;
        let (status, body) = match exchanged {
            // Each repetition would be as large, so the present values are read page by page.
            Err(LinkError::TooLarge { limit }) => {
                tracing::warn!(%prefix, after, limit, "history is too large to be read");
                return Ok(WatchResponse::Compacted);
            }
            exchanged => exchanged.map_err(store_error)??,
        };
        if status == StatusCode::GONE {
            return Ok(WatchResponse::Compacted);
        }
        let wire: WireEvents = parse(status, &body)?;
        let changes = wire
            .events
            .into_iter()
            .map(|event| match event.deleted {
                true => Change::Removed(event.key),
                false => Change::Put(decode_item(event)),
            })
            .collect();
        Ok(WatchResponse::Changes(changes, wire.at))
    }

    async fn commit(&self, txn: &Transaction, timeout: Millis) -> Result<TxnOutcome, StoreError> {
        let wire = WireTxn {
            expected_rev: txn
                .expected
                .iter()
                .map(|(key, rev)| WireExpected { key, rev: *rev })
                .collect(),
            writes: txn
                .writes
                .iter()
                .map(|(key, value, lease)| WireWrite {
                    key,
                    value: encode_value(value),
                    lease_id: *lease,
                })
                .collect(),
            remove: &txn.removes,
        };
        let body = serde_json::to_vec(&wire).map_err(|err| StoreError::Invalid(err.to_string()))?;
        let (status, body) = self.call(Method::POST, "/kv-txn", body, timeout).await?;
        match status {
            StatusCode::NOT_FOUND => Ok(TxnOutcome::NoLease),
            StatusCode::PRECONDITION_FAILED => {
                let wire: WirePage = parse(status, &body)?;
                let found = wire.items.into_iter().filter(|found| found.rev > 0);
                Ok(TxnOutcome::Conflict(found.map(decode_item).collect()))
            }
            _ => Ok(TxnOutcome::Done(parse::<WireRev>(status, &body)?.rev)),
        }
    }

    async fn grant(&self, ttl: Millis) -> Result<u64, StoreError> {
        let body = format!("{{\"ttlMs\":{ttl}}}").into_bytes();
        let (status, body) = self
            .call(Method::POST, "/kv-lease", body, READ_TIMEOUT)
            .await?;
        Ok(parse::<WireLease>(status, &body)?.lease_id)
    }

    async fn renew(&self, lease: u64, timeout: Millis) -> Result<bool, StoreError> {
        let path = format!("/kv-keep/{lease}");
        let (status, body) = self.call(Method::POST, &path, Vec::new(), timeout).await?;
        match status {
            StatusCode::NOT_FOUND => Ok(false),
            StatusCode::OK => Ok(true),
            _ => Err(StoreError::Invalid(format!(
                "status {status}: {}",
                String::from_utf8_lossy(&body)
            ))),
        }
    }
}
