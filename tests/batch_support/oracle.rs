//! Oracle of the simulation: checks the guarantees without knowledge of the scheduling decisions.

use std::collections::{BTreeMap, BTreeSet};

use sapphirecroft::batch::split_task;
use sapphirecroft::prelude::*;
use sapphirecroft::provider::AgentCommand;
use sapphirecroft::schema::batch::{JobPhase, JobRecord, ShardRecord};
use sapphirecroft::schema::worker::{TaskPhase, TaskReport, WorkerState};
use sapphirecroft::standin::Kv;
use sapphirecroft::web::decode;

/// What callers were told and what agents did, as the oracle observed it.
#[derive(Default)]
pub struct Oracle {
    pub acknowledged: BTreeSet<JobId>,
    pub refused_keys: BTreeSet<String>,
    pub cancelled: BTreeSet<JobId>,
    started: BTreeMap<(TaskId, Attempt), VmId>,
    done: BTreeSet<TaskId>,
}

/// Result of a check: the first violated guarantee, if any.
pub type Verdict = Result<(), String>;

pub fn read_shard(kv: &Kv, shard: u32) -> ShardRecord {
    kv.get(&sapphirecroft::batch::shard_key(&super::id("r1"), shard))
        .map(|record| decode(&record.value).expect("record decodes"))
        .unwrap_or(ShardRecord {
            writer: WriterToken::default(),
            epoch: Epoch(0),
            next_job: 1,
            jobs: Vec::new(),
        })
}

fn durable(kv: &Kv, task: &TaskId) -> Option<(JobRecord, u32)> {
    let (shard, job, index) = split_task(task)?;
    let record = read_shard(kv, shard);
    Some((record.jobs.into_iter().find(|held| held.id == job)?, index))
}

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(what()) }
}

fn holds_capacity(report: &TaskReport) -> bool {
    matches!(report.phase, TaskPhase::Running | TaskPhase::Stopping)
}

impl Oracle {
    /// Checks a written record: acknowledged jobs are present, refused ones absent, and ended work
    /// stays ended.
    pub fn record_written(&mut self, kv: &Kv, shard: u32) -> Verdict {
        let record = read_shard(kv, shard);
        for id in self.acknowledged.iter() {
            let here = sapphirecroft::batch::shard_of_job(id) == Some(shard);
            let held = record.jobs.iter().any(|job| job.id == *id);
            ensure(!here || held, || format!("acknowledged job {id} was lost"))?;
        }
        for job in &record.jobs {
            ensure(!self.refused_keys.contains(&job.spec.key), || {
                format!("job {} was refused but is recorded", job.spec.key)
            })?;
            let cancelling = matches!(job.phase, JobPhase::Cancelling | JobPhase::Cancelled);
            ensure(!self.cancelled.contains(&job.id) || cancelling, || {
                format!("cancelled job {} is {}", job.id, job.phase)
            })?;
            self.check_done(job)?;
        }
        Ok(())
    }

    fn check_done(&mut self, job: &JobRecord) -> Verdict {
        for index in 0..job.spec.tasks {
            let task = sapphirecroft::batch::task_id(&job.id, index);
            let times = job
                .done
                .iter()
                .filter(|r| (r.from..r.to).contains(&index))
                .count();
            ensure(times <= 1, || format!("{task} is done {times} times"))?;
            if times == 1 {
                ensure(job.task(index).is_none(), || {
                    format!("done task {task} is active")
                })?;
                self.done.insert(task);
            } else {
                ensure(!self.done.contains(&task), || {
                    format!("done task {task} came back")
                })?;
            }
        }
        Ok(())
    }

    /// Checks a start at an agent: the attempt is durably assigned to the worker, runs nowhere
    /// else, and resumes from the last checkpoint.
    pub fn started(
        &mut self,
        kv: &Kv,
        worker: &VmId,
        task: &TaskId,
        attempt: Attempt,
        from: Option<&CheckpointId>,
        states: &[WorkerState],
    ) -> Verdict {
        for state in states.iter().filter(|state| state.vm != *worker) {
            let twice = state
                .tasks
                .iter()
                .any(|t| t.task == *task && holds_capacity(t));
            ensure(!twice, || {
                format!("{task} runs on {worker} and {}", state.vm)
            })?;
        }
        let earlier = self.started.insert((task.clone(), attempt), worker.clone());
        ensure(earlier.is_none_or(|earlier| earlier == *worker), || {
            format!("{task} attempt {attempt} started on two workers")
        })?;
        let (job, index) = durable(kv, task).ok_or_else(|| format!("{task} has no record"))?;
        let held = job
            .task(index)
            .ok_or_else(|| format!("{task} has ended but started"))?;
        let assigned = held.attempt == attempt && held.place().map(|p| &p.worker) == Some(worker);
        ensure(assigned, || {
            format!("{task} attempt {attempt} is not assigned to {worker}")
        })?;
        ensure(job.phase != JobPhase::Cancelled, || {
            format!("{task} started after its end")
        })?;
        ensure(held.checkpoint.as_ref() == from, || {
            format!(
                "{task} resumed from {from:?}, last checkpoint {:?}",
                held.checkpoint
            )
        })
    }

    /// Checks an acknowledgement: the agent then drops its reports, so their content must be
    /// durable.
    pub fn acknowledging(&self, kv: &Kv, command: &AgentCommand, state: &WorkerState) -> Verdict {
        let AgentCommand::Acknowledge(ack) = command else {
            return Ok(());
        };
        for listed in &ack.tasks {
            let Some((job, index)) = durable(kv, &listed.task) else {
                continue;
            };
            let Some(report) = state
                .tasks
                .iter()
                .find(|t| t.task == listed.task && t.attempt == listed.attempt)
                .filter(|report| !holds_capacity(report))
            else {
                continue;
            };
            let Some(held) = job.task(index) else {
                let ended = job.is_done(index) || self.cancelled.contains(&job.id);
                let ended =
                    ended || matches!(job.phase, JobPhase::Cancelling | JobPhase::Cancelled);
                ensure(ended, || format!("end of {} was forgotten", listed.task))?;
                continue;
            };
            let resolved = held.attempt > listed.attempt
                || (held.attempt == listed.attempt && held.place().is_none());
            ensure(resolved, || {
                format!("end of {} was forgotten unrecorded", listed.task)
            })?;
            let next = held.attempt.0 == listed.attempt.0 + 1;
            let saved = report.checkpoint.is_none() || held.checkpoint == report.checkpoint;
            // A worker that returns after its leases have certainly expired reports too late, and
            // its checkpoint may be lost.
            ensure(!next || saved || report.phase == TaskPhase::Lapsed, || {
                format!("checkpoint of {} was lost", listed.task)
            })?;
        }
        Ok(())
    }

    /// Checks that the attempts at an agent and the reservations of its owner fit the worker's
    /// capacity.
    pub fn capacity(
        &self,
        state: &WorkerState,
        capacity: Resources,
        reservations: Vec<(TaskId, Attempt, Resources)>,
    ) -> Verdict {
        let mut all: BTreeMap<(TaskId, Attempt), Resources> = reservations
            .into_iter()
            .map(|(task, attempt, size)| ((task, attempt), size))
            .collect();
        for report in state.tasks.iter().filter(|report| holds_capacity(report)) {
            all.insert((report.task.clone(), report.attempt), report.resources);
        }
        let sum = all
            .values()
            .try_fold(Resources::default(), |sum, r| sum.checked_add(r));
        ensure(sum.is_some_and(|sum| sum.fits(&capacity)), || {
            format!(
                "{} has reservations of {sum:?} above {capacity}: {all:?}",
                state.vm
            )
        })
    }
}
