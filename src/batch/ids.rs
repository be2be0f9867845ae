//! Ids of jobs and tasks, and the mapping of jobs to shards.

use crate::prelude::*;

/// Number of job shards per region.
pub const SHARDS: u32 = 32;

/// FNV-1a offset basis. The hash must not change between releases, because it determines the
/// shard that stores a job.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// FNV-1a prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the shard that holds the job with a team's submission key.
pub fn shard_of_key(team: &TeamId, key: &str) -> u32 {
    let text = format!("{team}\n{key}");
    let hash = text.bytes().fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let spread = hash ^ (hash >> 32);
    u32::try_from(spread % u64::from(SHARDS)).unwrap_or_default()
}

/// Returns the id of a job, from its shard and its number in the shard.
pub fn job_id(shard: u32, number: u64) -> JobId {
    format!("j{shard}-{number}").parse().unwrap_or_default()
}

/// Returns the shard of a job, or `None` if the id is not a job id of this system.
pub fn shard_of_job(job: &JobId) -> Option<u32> {
    let (shard, _) = job.as_str().strip_prefix('j')?.split_once('-')?;
    shard.parse().ok().filter(|shard| *shard < SHARDS)
}

/// Returns the id of a job's task.
pub fn task_id(job: &JobId, index: u32) -> TaskId {
    format!("{job}/{index}").parse().unwrap_or_default()
}

/// Splits the id of a task into shard, job and task index.
pub fn split_task(task: &TaskId) -> Option<(u32, JobId, u32)> {
    let (job, index) = task.as_str().rsplit_once('/')?;
    let job: JobId = job.parse().ok()?;
    Some((shard_of_job(&job)?, job, index.parse().ok()?))
}

/// Returns the key of a shard record in the key-value service.
pub fn shard_key(region: &RegionId, shard: u32) -> String {
    format!("jobs/{region}/{shard}")
}
