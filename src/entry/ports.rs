//! Interfaces to the platform, which an adapter implements: store, workers and data formats.

use async_trait::async_trait;

use crate::prelude::*;
use crate::scheduler::{
    AdviceRequest, JobSpec, JobView, QueueTable, StartAnswer, StartCommand, StopCommand,
    WorkerEntry, WorkerReport,
};

/// An item of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Value of the item.
    pub value: Vec<u8>,
    /// Store revision of the last write of the item.
    pub revision: u64,
}

/// A page of items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub truncated: bool,
    /// Store revision at the time of the read.
    pub at: u64,
}

/// A change of an item that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// The item under this key was removed.
    Removed(String),
}

/// Response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// Changes, and the store revision up to which they are complete.
    Changes(Vec<Change>, u64),
    /// The history after the requested revision is gone, or too large to be read; the prefix has to be
    /// read again.
    Compacted,
}

/// An atomic change of several items under conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that their items must have; 0 if the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys, values and leases to write; lease 0 stands for none.
    pub writes: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was committed at this store revision.
    Done(u64),
    /// A condition failed and nothing was written. Holds those items of the conditions that exist.
    Conflict(Vec<Item>),
    /// A lease has expired and nothing was written.
    NoLease,
}

/// Client of the platform's key-value service.
#[async_trait]
pub trait StateStore: Send + Sync {
    /// Reads an item, if it exists, and the store revision.
    async fn get(&self, key: &str, timeout: Millis) -> Result<(Option<Item>, u64), StoreError>;
    /// Reads the page of items under `prefix` whose keys follow `after`.
    async fn page(&self, prefix: &str, after: &str) -> Result<Page, StoreError>;
    /// Waits up to `wait` for changes under `prefix` after the revision `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<WatchResponse, StoreError>;
    /// Commits a transaction.
    async fn commit(&self, txn: &Transaction, timeout: Millis) -> Result<TxnOutcome, StoreError>;
    /// Creates a lease and returns its id.
    async fn grant(&self, ttl: Millis) -> Result<u64, StoreError>;
    /// Renews a lease; returns `false` if it has expired.
    async fn renew(&self, lease: u64, timeout: Millis) -> Result<bool, StoreError>;
}

/// Client of the workers and of the advice service.
#[async_trait]
pub trait WorkerCalls: Send + Sync {
    /// Reads a worker's lists and renews its lease.
    async fn poll(
        &self,
        worker: &WorkerId,
        request: &PollRequest,
    ) -> Result<WorkerReport, PollError>;
    /// Sends a start command.
    async fn start(&self, command: &StartCommand) -> StartAnswer;
    /// Sends a stop command; returns whether the worker acknowledged it.
    async fn stop(&self, command: &StopCommand) -> bool;
    /// Asks the advice service which workers may run a step. Returns the workers with their
    /// tickets, or `None` without a usable response.
    async fn advise(&self, advice_request: &AdviceRequest) -> Option<Vec<(WorkerId, String)>>;
    /// Throttles a run to a percentage of its speed; returns whether the worker acknowledged it.
    async fn pace(&self, command: &StopCommand, percent: u32) -> bool;
    /// Closes the connections to all workers, except those of calls that are in progress.
    fn disconnect(&self);
}

/// Why a worker's lists could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PollError {
    /// Another incarnation or another worker answers at the address.
    #[error("another incarnation or another worker answers at the address")]
    OtherIncarnation,
    /// There was no usable response.
    #[error(transparent)]
    Failed(CallError),
}

/// Request to read a worker's lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of the last end that the leader has recorded.
    pub last_acknowledged: u64,
    /// New end of the worker's lease, on the worker's clock; `None` leaves the lease as it is.
    pub deadline: Option<Millis>,
    /// Longest time for which the worker may wait for an end before it responds.
    pub wait: Millis,
}

/// Data formats of the platform: what operators, workers and callers write, and responses to them.
pub trait PlatformFormat: Send + Sync {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &str;
    /// Returns the key prefix of the worker entries.
    fn workers_prefix(&self) -> &str;
    /// Decodes the configuration.
    fn config(&self, value: &[u8]) -> Result<QueueTable, String>;
    /// Decodes a worker entry from its key and value.
    fn worker(&self, key: &str, value: &[u8]) -> Result<WorkerEntry, String>;
    /// Decodes a submitted job.
    fn job(&self, body: &[u8]) -> Result<JobSpec, String>;
    /// Encodes the state of a job.
    fn state(&self, view: JobView) -> Vec<u8>;
    /// Encodes the number of waiting jobs.
    fn pending(&self, count: usize) -> Vec<u8>;
}
