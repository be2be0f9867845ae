//! Batch jobs: durable job records with group commit, scheduling across teams, and the node that
//! connects job owner and rack owner with the platform and other members.

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
mod responses;
mod select;
mod service;
mod shard;
mod shares;

pub use calls::{HttpPeerClient, JobCall, JobResponse, PEER_PATH, PeerClient};
pub use ids::{SHARDS, job_id, shard_key, shard_of_job, shard_of_key, split_task, task_id};
pub use limits::{check_spec, infeasible_reason};
pub use node::{BatchNode, BatchParts};
pub use owner::{DueStoreCall, JobOwner};
pub use refusal::Refusal;
pub use select::{SelectedTask, WaitingJob, select_tasks};
pub use service::BatchService;
pub use shard::{COMMIT_INTERVAL, JobShard, ShardOp, StoreResult};
pub use shares::{TeamShares, quota};
