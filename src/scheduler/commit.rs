//! Writes job records in batches, and sends the starts and acknowledgements that wait for them.

use std::collections::HashMap;

use super::crash::TRIAL_PERIOD;
use super::worker::RunState;
use super::{Command, Phase, Scheduler, StartCommand, TaskKey};
use crate::prelude::*;

/// Maximum number of records in one transaction: the store accepts 32 entries, one of them is the
/// leader's key, and each record takes a condition and a write.
pub const BATCH_RECORDS: usize = 15;

/// Records that are written in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Records of different jobs.
    pub writes: Vec<RecordWrite>,
}

/// A job record to write.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// Job of the record.
    pub job: JobId,
    /// Encoded record.
    pub value: Vec<u8>,
    /// Revision that the write replaces; 0 if there is none.
    pub revision: u64,
    /// Version of the job that the record holds.
    pub version: u64,
    /// Time of the first change that the record holds and its predecessor does not.
    pub changed_at: Millis,
    phase: Phase,
}

impl Scheduler {
    /// Returns the next records to write, if at least `least` wait; a job has at most one write in
    /// flight.
    pub fn next_batch(&mut self, least: usize) -> Option<Batch> {
        let jobs = &self.jobs;
        let taken = self.dirty.take(least, BATCH_RECORDS, |id| {
            jobs.get(id).is_some_and(|job| !job.write_in_flight)
        });
        let mut writes = Vec::new();
        for (id, changed_at) in taken {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let value = match rmp_serde::to_vec(&job.record()) {
                Ok(value) => value,
                Err(err) => {
                    tracing::error!(job = %id, %err, "job record cannot be encoded; it is not written until the job changes");
                    continue;
                }
            };
            job.write_in_flight = true;
            writes.push(RecordWrite {
                job: id,
                value,
                revision: job.revision,
                version: job.version,
                changed_at,
                phase: job.phase,
            });
        }
        (!writes.is_empty()).then_some(Batch { writes })
    }

    /// Marks a batch as durable under `revision`; returns the workers with completions that can now
    /// be acknowledged.
    pub fn on_commit(&mut self, batch: &Batch, revision: u64, now: Millis) -> Vec<WorkerId> {
        for write in &batch.writes {
            let Some(job) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            job.write_in_flight = false;
            job.revision = revision;
            job.durable_version = job.durable_version.max(write.version);
            if job.durable_phase != write.phase {
                job.durable_phase = write.phase;
                tracing::info!(job = %write.job, phase = ?write.phase, revision, "job ended");
            }
            self.send_durable_starts(&write.job, now);
        }
        let waiting: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.current.unacknowledged.is_empty())
            .map(|worker| worker.id.clone())
            .collect();
        waiting
            .into_iter()
            .filter(|id| self.acknowledge_completions(id))
            .collect()
    }

    /// Schedules a batch for another write after it failed or its outcome is unknown.
    pub fn on_commit_failure(&mut self, batch: &Batch) {
        for write in &batch.writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.write_in_flight = false;
                self.dirty.insert(&write.job, write.changed_at);
            }
        }
    }

    /// Corrects the revisions of a batch after a conflict with a delayed write or removal of this
    /// leader, and schedules it for another write. `revisions` names the records that exist.
    pub fn on_commit_conflict(&mut self, batch: &Batch, revisions: &HashMap<JobId, u64>) {
        for write in &batch.writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.revision = revisions.get(&write.job).copied().unwrap_or(0);
            }
        }
        self.on_commit_failure(batch);
    }

    fn send_durable_starts(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut ready: Vec<(WorkerId, TaskKey)> = Vec::new();
        let mut unsent = std::mem::take(&mut job.unsent);
        unsent.retain(|&(instance, index)| {
            let Some(place) = &job.instances[instance].tasks[index].place else {
                return false;
            };
            let key = job.key(instance, index);
            let run = self
                .workers
                .get(&place.worker)
                .and_then(|worker| worker.runs.get(&key));
            let Some(RunState::Planned { version }) = run.map(|run| run.state) else {
                return false;
            };
            let waits = version > job.durable_version;
            if !waits {
                ready.push((place.worker.clone(), key));
            }
            waits
        });
        job.unsent = unsent;
        for (worker, key) in ready {
            self.send_start(&worker, &key, now);
        }
    }

    /// Sends the start of a run, or retries it.
    pub(super) fn send_start(&mut self, id: &WorkerId, key: &TaskKey, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(run) = worker.runs.get(key) else {
            return;
        };
        if self.entry_is_old(worker, now) {
            // An unanswered start is repeated, or put back, once the entry is known.
            if run.state != RunState::Sent {
                self.put_back(id, key, "entry is old", now);
            }
            return;
        }
        // The worker may have started to drain, or its capacity may have shrunk, since the run was
        // planned or last sent.
        if !worker.accepts_work() {
            self.put_back(id, key, "worker accepts no work", now);
            return;
        }
        if worker.current.is_declared && run.state != RunState::Sent {
            self.put_back(id, key, "worker is declared silent", now);
            return;
        }
        if !worker.has_room_to_start(key) {
            self.put_back(id, key, "capacity has shrunk", now);
            return;
        }
        let Some(ticket) = self.ticket_for(id, key, now) else {
            self.put_back(id, key, "no valid ticket", now);
            return;
        };
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&key.job), self.workers.get_mut(id))
        else {
            return;
        };
        let Some(clock) = worker.current.lease.clock_at(now) else {
            return;
        };
        let earliest_clock = worker.current.lease.earliest_clock_at(now);
        let address = worker.address.clone();
        let incarnation = worker.current.number;
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        let is_retry = run.state == RunState::Sent;
        // A retry keeps the deadline: extending it would delay the expiry of an unresponsive
        // worker's runs.
        let sent = worker.current.lease.end().filter(|_| is_retry);
        let deadline = sent.unwrap_or(clock + self.timing.run_lease);
        worker.current.lease.extend(deadline);
        run.state = RunState::Sent;
        let waited = now.since(run.called_at);
        run.called_at = now;
        run.call_in_flight = true;
        if !is_retry {
            run.started_at = now;
            run.progressed_at = now;
            if run.in_trial {
                worker.current.trial_until = now + TRIAL_PERIOD;
            }
        }
        let number = run.run;
        let checkpoint = job
            .checkpoint_mut(key)
            .map(|checkpoint| checkpoint.clone())
            .unwrap_or_default();
        self.commands.push(Command::Start(StartCommand {
            worker: id.clone(),
            incarnation,
            address,
            task: key.clone(),
            run: number,
            payload: job.spec.payload.clone(),
            deadline,
            earliest_clock: earliest_clock.unwrap_or_default(),
            fence: self.fence,
            checkpoint,
            ticket,
            waited,
        }));
    }

    /// Ends a run whose start may not be sent, and the other members of its gang, which would wait
    /// for it until they time out.
    fn put_back(&mut self, id: &WorkerId, key: &TaskKey, reason: &str, now: Millis) {
        tracing::info!(task = %key, worker = %id, reason, "start is withheld; the task is put back");
        self.replan = true;
        self.stop(id, key, now);
        for (worker, member) in self.gang_members(key) {
            self.stop(&worker, &member, now);
        }
    }

    /// Returns the runs of a task's gang with their workers; empty if the task has none.
    fn gang_members(&self, key: &TaskKey) -> Vec<(WorkerId, TaskKey)> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let gang = job
            .instance_of(key)
            .filter(|instance| job.step(*instance).gang);
        let Some(instance) = gang else {
            return Vec::new();
        };
        let tasks = job.instances[instance].tasks.iter().enumerate();
        tasks
            .filter_map(|(index, task)| {
                Some((
                    task.place.as_ref()?.worker.clone(),
                    job.key(instance, index),
                ))
            })
            .collect()
    }

    /// Returns the ticket for a start, empty if the queue needs none; `None` if a required ticket
    /// is missing.
    fn ticket_for(&self, id: &WorkerId, key: &TaskKey, now: Millis) -> Option<String> {
        let job = self.jobs.get(&key.job)?;
        let needed = self
            .queues
            .of(&job.spec)
            .is_some_and(|queue| queue.advice.is_some());
        if !needed {
            return Some(String::new());
        }
        let advice = self.advice.get(&(key.job.clone(), job.instance_of(key)?))?;
        let ticket = advice.ticket(self.workers.get(id)?, now)?;
        Some(ticket.to_string())
    }

    /// Advances the acknowledgement of a worker's completions to the last durable one; returns
    /// whether it moved.
    pub(super) fn acknowledge_completions(&mut self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let before = worker.current.acknowledged;
        while let Some((number, job, version)) = worker.current.unacknowledged.front() {
            let durable = self
                .jobs
                .get(job)
                .is_none_or(|found| found.durable_version >= *version);
            if !durable {
                break;
            }
            worker.current.acknowledged = *number;
            worker.current.unacknowledged.pop_front();
        }
        if worker.current.unacknowledged.is_empty() {
            worker.current.acknowledged = worker.current.last_handled;
        }
        worker.current.acknowledged > before
    }
}
