//! The platform's key-value service.

use async_trait::async_trait;

use crate::prelude::*;

/// A record as the key-value service holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value, up to 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last change; it grows with every change of any record.
    pub revision: Revision,
    /// Lease that the record is bound to; the record vanishes with it.
    pub lease: Option<String>,
}

/// What a compare-and-swap expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Expected {
    /// No record with the key.
    Absent,
    /// The record at exactly this revision.
    At(Revision),
}

/// What a compare-and-swap did.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Written(Revision),
    /// Nothing was written; this is the record that was found.
    Conflict(Option<Record>),
}

/// A call on the wire between `HttpStore` and a service that speaks its format.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub enum StoreCall {
    /// Reads one record.
    Get {
        /// Key of the record.
        key: String,
    },
    /// Reads all records whose key starts with a prefix.
    List {
        /// Start of the keys.
        prefix: String,
    },
    /// Writes a record if it is as expected.
    Cas {
        /// Key of the record.
        key: String,
        /// What must be found.
        expected: Expected,
        /// New value; `None` deletes the record.
        value: Option<Vec<u8>>,
        /// Lease to bind the record to.
        lease: Option<String>,
    },
    /// Grants a lease, or extends it if it exists.
    KeepLease {
        /// Name of the lease.
        lease: String,
        /// Time to live.
        ttl: Millis,
        /// Whether an unknown lease is granted anew.
        create: bool,
    },
    /// Waits until a record with the prefix changes after a revision.
    Watch {
        /// Start of the keys.
        prefix: String,
        /// Last revision that the caller has seen.
        after: Revision,
        /// Longest wait.
        wait: Millis,
    },
}

/// Key-value service with compare-and-swap, leases and watches.
///
/// Every call counts against the service's rates, a waiting watch as one.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one record.
    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError>;

    /// Reads all records whose key starts with `prefix`, in key order.
    async fn list(&self, prefix: &str) -> Result<Vec<Record>, StoreError>;

    /// Writes `value` if the record is as expected; `None` deletes it.
    async fn cas(
        &self,
        key: &str,
        expected: Expected,
        value: Option<Vec<u8>>,
        lease: Option<&str>,
    ) -> Result<CasOutcome, StoreError>;

    /// Extends a lease, or grants it if `create` is set; `false` means that it has lapsed.
    async fn keep_lease(&self, lease: &str, ttl: Millis, create: bool) -> Result<bool, StoreError>;

    /// Waits up to `wait` for a change after `after`; returns the changed records, if any.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Record>, StoreError>;
}
