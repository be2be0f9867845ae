//! Records that wait to be written, and what follows once they are durable.

use super::worker::RunState;
use super::{Command, Phase, Scheduler, StartCommand, TaskKey};
use crate::prelude::*;

/// Records in one transaction: the store takes 32 entries, one of them is the leader's key and
/// each record takes a condition and a write.
const BATCH_RECORDS: usize = 15;

/// Records that are written together.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The records.
    pub writes: Vec<RecordWrite>,
}

/// One record to write.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// Its job.
    pub job: JobId,
    /// Encoded record.
    pub value: Vec<u8>,
    /// Revision that it replaces; 0 if there is none.
    pub revision: u64,
    /// Version of the job that it holds.
    pub version: u64,
    phase: Phase,
}

impl Scheduler {
    /// Takes the next records to write; a job has one write under way at a time.
    pub fn next_batch(&mut self) -> Option<Batch> {
        let ids: Vec<JobId> = self
            .dirty
            .iter()
            .filter(|id| self.jobs.get(id).is_some_and(|job| !job.writing))
            .take(BATCH_RECORDS)
            .cloned()
            .collect();
        let mut writes = Vec::new();
        for id in ids {
            self.dirty.remove(&id);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let value = match rmp_serde::to_vec(&job.record()) {
                Ok(value) => value,
                Err(err) => {
                    tracing::error!(job = %id, %err, "record cannot be encoded");
                    continue;
                }
            };
            job.writing = true;
            writes.push(RecordWrite {
                job: id,
                value,
                revision: job.revision,
                version: job.version,
                phase: job.phase,
            });
        }
        (!writes.is_empty()).then_some(Batch { writes })
    }

    /// Notes that a batch is durable under `revision`; returns the workers whose ends it covers.
    pub fn on_commit(&mut self, batch: &Batch, revision: u64, now: Millis) -> Vec<WorkerId> {
        for write in &batch.writes {
            let Some(job) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            job.writing = false;
            job.revision = revision;
            job.durable = job.durable.max(write.version);
            if job.durable_phase != write.phase {
                job.durable_phase = write.phase;
                tracing::info!(job = %write.job, phase = ?write.phase, revision, "job ended");
            }
            self.release_starts(&write.job, now);
        }
        let waiting: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.unseen.is_empty())
            .map(|worker| worker.id.clone())
            .collect();
        waiting
            .into_iter()
            .filter(|id| self.acknowledge_ends(id))
            .collect()
    }

    /// Notes that a batch was not written, or that nobody knows; it is written again.
    pub fn on_commit_failure(&mut self, batch: &Batch) {
        for write in &batch.writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.writing = false;
                self.dirty.insert(write.job.clone());
            }
        }
    }

    /// Corrects the revision of a record after a conflict with an own write that came late.
    pub fn set_revision(&mut self, id: &JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.revision = revision;
        }
    }

    fn release_starts(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let durable = job.durable;
        let planned: Vec<(WorkerId, TaskKey)> = job
            .units
            .iter()
            .enumerate()
            .flat_map(|(unit, found)| {
                found
                    .tasks
                    .iter()
                    .enumerate()
                    .filter_map(move |(index, task)| {
                        Some((task.place.as_ref()?.worker.clone(), job.key(unit, index)))
                    })
            })
            .filter(|(worker, key)| {
                let run = self
                    .workers
                    .get(worker)
                    .and_then(|found| found.runs.get(key));
                matches!(run.map(|run| run.state),
                    Some(RunState::Planned { version }) if version <= durable)
            })
            .collect();
        for (worker, key) in planned {
            self.start(&worker, &key, now);
        }
    }

    /// Sends a start, or sends it again.
    pub(super) fn start(&mut self, id: &WorkerId, key: &TaskKey, now: Millis) {
        // The worker may have begun to leave since the start was planned.
        if self.workers.get(id).is_some_and(|worker| !worker.is_open()) {
            self.stop(id, key, now);
            return;
        }
        let Some(ticket) = self.ticket_for(id, key, now) else {
            self.stop(id, key, now);
            return;
        };
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&key.job), self.workers.get_mut(id))
        else {
            return;
        };
        let Some(clock) = worker.clock_at(now) else {
            return;
        };
        let address = worker.address.clone();
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        let again = run.state == RunState::Sent;
        // A repeated start must not move the time at which a silent worker's runs have lapsed.
        let deadline = if again {
            worker.lease
        } else {
            clock + self.timing.run_lease
        };
        worker.lease = worker.lease.max(deadline);
        run.state = RunState::Sent;
        run.called = now;
        run.calling = true;
        if !again {
            run.started = now;
            run.moved = now;
        }
        job.begun = true;
        let number = run.run;
        let checkpoint = job
            .task_mut(key)
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        self.orders.push(Command::Start(StartCommand {
            worker: id.clone(),
            address,
            task: key.clone(),
            run: number,
            payload: job.spec.payload.clone(),
            deadline,
            fence: self.fence,
            checkpoint,
            ticket,
        }));
    }

    /// Returns the ticket that a start carries, empty if its queue needs none; `None` if it needs
    /// one and there is none.
    fn ticket_for(&self, id: &WorkerId, key: &TaskKey, now: Millis) -> Option<String> {
        let job = self.jobs.get(&key.job)?;
        let needed = self
            .queues
            .queues
            .get(&job.spec.queue)
            .is_some_and(|queue| queue.advice.is_some());
        if !needed {
            return Some(String::new());
        }
        let advice = self.advice.get(&(key.job.clone(), job.unit_of(key)?))?;
        let ticket = advice.ticket(self.workers.get(id)?, now)?;
        Some(ticket.to_string())
    }

    /// Lets a worker forget the ends that are durable; returns whether there are new ones.
    pub(super) fn acknowledge_ends(&mut self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let before = worker.seen;
        while let Some((number, job, version)) = worker.unseen.front() {
            let durable = self
                .jobs
                .get(job)
                .is_none_or(|found| found.durable >= *version);
            if !durable {
                break;
            }
            worker.seen = *number;
            worker.unseen.pop_front();
        }
        if worker.unseen.is_empty() {
            worker.seen = worker.handled;
        }
        worker.seen > before
    }
}
