//! Names of shards, jobs and tasks.

use crate::prelude::*;

/// Job shards per region.
pub const SHARDS: u32 = 32;

/// FNV-1a offset basis and prime; the hash must not change between releases.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the shard that holds the job of a team's submission key.
pub fn shard_of_key(team: &TeamId, key: &str) -> u32 {
    let text = format!("{team}\n{key}");
    let hash = text.bytes().fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let spread = hash ^ (hash >> 32);
    u32::try_from(spread % u64::from(SHARDS)).unwrap_or_default()
}

/// Builds the id of a shard's job.
pub fn job_id(shard: u32, number: u64) -> JobId {
    format!("j{shard}-{number}").parse().unwrap_or_default()
}

/// Returns the shard of a job.
pub fn shard_of_job(job: &JobId) -> Option<u32> {
    let (shard, _) = job.as_str().strip_prefix('j')?.split_once('-')?;
    shard.parse().ok().filter(|shard| *shard < SHARDS)
}

/// Builds the id of a job's task.
pub fn task_id(job: &JobId, index: u32) -> TaskId {
    format!("{job}/{index}").parse().unwrap_or_default()
}

/// Splits the id of a task into its shard, job and index.
pub fn split_task(task: &TaskId) -> Option<(u32, JobId, u32)> {
    let (job, index) = task.as_str().rsplit_once('/')?;
    let job: JobId = job.parse().ok()?;
    Some((shard_of_job(&job)?, job, index.parse().ok()?))
}

/// Returns the store key of a shard's record.
pub fn shard_key(region: &RegionId, shard: u32) -> String {
    format!("jobs/{region}/{shard}")
}
