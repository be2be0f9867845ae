//! Life of batch jobs: durable states, group commit, order of start, and the node that runs them.

mod answers;
mod calls;
mod exchange;
mod ids;
mod job;
mod limits;
mod node;
mod owner;
mod placing;
mod refusal;
mod requests;
mod select;
mod service;
mod shard;
mod shares;

pub use calls::{HttpPeerClient, JobCall, JobResponse, PEER_PATH, PeerClient};
pub use ids::{SHARDS, job_id, shard_key, shard_of_job, shard_of_key, split_task, task_id};
pub use limits::{check_spec, obstacle};
pub use node::{BatchNode, BatchParts};
pub use owner::{DueStoreCall, JobOwner};
pub use refusal::Refusal;
pub use select::{SelectedTask, WaitingJob, select_tasks};
pub use service::BatchService;
pub use shard::{COMMIT_INTERVAL, JobShard, ShardOp, StoreResult};
pub use shares::{TeamShares, quota};
