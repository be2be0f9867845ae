//! What an entry process needs of the platform that it runs on.

use async_trait::async_trait;

use crate::prelude::*;
use crate::scheduler::{
    AdviceRequest, JobSpec, JobView, QueueTable, StartCommand, StartResponse, StopCommand,
    WorkerEntry, WorkerReport,
};

/// An item of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A page of items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, by key.
    pub items: Vec<Item>,
    /// More items follow.
    pub truncated: bool,
    /// Revision of the store.
    pub at: u64,
}

/// A change that a watch shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// The item under this key was removed.
    Removed(String),
}

/// An answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// Changes up to a revision.
    Changes(Vec<Change>, u64),
    /// The history is gone; the prefix has to be read anew.
    Compacted,
}

/// A change of several items under conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 if they must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys, values and leases (0 for none) to write.
    pub writes: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// An answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// Done under this revision.
    Done(u64),
    /// Nothing was done: these are the items of the conditions that exist.
    Conflict(Vec<Item>),
    /// Nothing was done: the lease has ended.
    NoLease,
}

/// The platform's key-value service.
#[async_trait]
pub trait StateStore: Send + Sync {
    /// Reads an item and the store's revision.
    async fn get(&self, key: &str, timeout: Millis) -> Result<(Option<Item>, u64), StoreError>;
    /// Reads the page of items under `prefix` that follows the key `after`.
    async fn page(&self, prefix: &str, after: &str) -> Result<Page, StoreError>;
    /// Waits for changes under `prefix` after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<WatchResponse, StoreError>;
    /// Carries out a transaction.
    async fn commit(&self, txn: &Transaction, timeout: Millis) -> Result<TxnOutcome, StoreError>;
    /// Creates a lease.
    async fn grant(&self, ttl: Millis) -> Result<u64, StoreError>;
    /// Renews a lease; `false` if it has ended.
    async fn renew(&self, lease: u64, timeout: Millis) -> Result<bool, StoreError>;
}

/// Calls to workers.
#[async_trait]
pub trait WorkerCalls: Send + Sync {
    /// Reads a worker's lists and renews its lease.
    async fn poll(&self, worker: &WorkerId, call: &PollRequest) -> Result<WorkerReport, PollError>;
    /// Begins a run.
    async fn start(&self, order: &StartCommand) -> StartResponse;
    /// Ends a run; returns whether the worker acknowledged it.
    async fn stop(&self, order: &StopCommand) -> bool;
    /// Asks which workers may run a step; `None` if nobody answered.
    async fn advise(&self, order: &AdviceRequest) -> Option<Vec<(WorkerId, String)>>;
    /// Lets a run work at a share of its speed.
    async fn pace(&self, order: &StopCommand, percent: u32) -> bool;
}

/// Why a worker's lists could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PollError {
    /// Another life answers at the worker's address.
    #[error("another worker answers at the address")]
    OtherIncarnation,
    /// No usable answer came.
    #[error(transparent)]
    Failed(CallError),
}

/// A read of a worker's lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Address of the worker.
    pub address: String,
    /// Fencing token.
    pub fence: u64,
    /// Last end that is acknowledged.
    pub last_acknowledged: u64,
    /// End of the lease, on the worker's clock.
    pub deadline: Option<Millis>,
    /// How long the worker may wait for an end.
    pub wait: Millis,
}

/// Formats of what operators, workers and callers write.
pub trait PlatformFormat: Send + Sync {
    /// Key of the configuration.
    fn config_key(&self) -> &str;
    /// Prefix of the workers' entries.
    fn workers_prefix(&self) -> &str;
    /// Decodes the configuration.
    fn config(&self, value: &[u8]) -> Result<QueueTable, String>;
    /// Decodes a worker's entry.
    fn worker(&self, key: &str, value: &[u8]) -> Result<WorkerEntry, String>;
    /// Decodes a submitted job.
    fn job(&self, body: &[u8]) -> Result<JobSpec, String>;
    /// Encodes the state of a job.
    fn state(&self, view: JobView) -> Vec<u8>;
    /// Encodes the number of jobs that wait.
    fn pending(&self, count: usize) -> Vec<u8>;
}
