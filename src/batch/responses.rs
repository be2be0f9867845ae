//! Handling of the responses and reports of rack owners by a job owner.

use super::ids::split_task;
use super::owner::{JobOwner, JobWait};
use crate::prelude::*;
use crate::schema::batch::{
    AttemptEnd, AttemptState, AttemptStatus, BlameWorker, EndKind, JobRecord, JobReport, Place,
    RackAnswer, RackCall, ReleaseAttempt, Reserved, StopAttempt,
};

/// Maximum backoff of a job that got no reservation.
const MAX_BACKOFF: Millis = Millis(4000);

impl JobOwner {
    /// Handles the response of a rack owner to a call.
    pub fn handle_rack_response(&mut self, response: RackAnswer, call: &RackCall, now: Millis) {
        if response.epoch != self.epoch || !response.accepted || call.epoch != self.epoch {
            return;
        }
        if response.from != self.ownership.me() {
            self.shares.set_other(&response.from, &response.teams);
        }
        self.digests.insert(response.from.clone(), response.digest);
        for reserved in response.reserved {
            self.assign_reserved(reserved, now);
        }
        for request in &call.reserve {
            if self.placing.remove(&request.task).is_some()
                && let Some((_, job, _)) = split_task(&request.task)
            {
                self.back_off(&job, now);
            }
        }
        for status in response.status {
            self.apply_status(&response.from, status, now);
        }
    }

    /// Handles a report of a rack owner. Returns whether it belongs to the current epoch.
    pub fn handle_report(&mut self, report: JobReport, now: Millis) -> bool {
        if report.epoch != self.epoch || !self.ownership.is_active() {
            return false;
        }
        for status in report.status {
            self.apply_status(&report.from, status, now);
        }
        true
    }

    fn assign_reserved(&mut self, reserved: Reserved, now: Millis) {
        let expected = self.placing.remove(&reserved.task).is_some();
        let assigned = expected
            && split_task(&reserved.task).is_some_and(|(shard, job, index)| {
                let epoch = self.epoch;
                let place = reserved.place.clone();
                self.shards
                    .get_mut(&shard)
                    .filter(|shard| shard.may_act(epoch))
                    .is_some_and(|shard| {
                        shard.edit_job(&job, |job| job.assign(index, reserved.attempt, place))
                    })
            });
        // An unused reservation expires by itself and is not released. A release that arrives late,
        // after the same attempt was assigned, would drop the report of its end.
        if assigned && let Some((_, job, _)) = split_task(&reserved.task) {
            let wait = self.waits.entry(job).or_default();
            *wait = JobWait {
                last_placed_at: now,
                ..JobWait::default()
            };
        }
    }

    pub(super) fn back_off(&mut self, job: &JobId, now: Millis) {
        let wait = self.waits.entry(job.clone()).or_default();
        wait.refusals = (wait.refusals + 1).min(8);
        let backoff = Millis(250 << wait.refusals).min(MAX_BACKOFF);
        wait.retry_at = now + backoff;
    }

    fn queue_release(&mut self, owner: &MemberId, task: &TaskId, attempt: Attempt, place: Place) {
        self.releases
            .entry(owner.clone())
            .or_default()
            .push(ReleaseAttempt {
                task: task.clone(),
                attempt,
                place,
            });
    }

    fn apply_status(&mut self, owner: &MemberId, status: AttemptStatus, now: Millis) {
        let Some((shard, job, index)) = split_task(&status.task) else {
            return;
        };
        let acting = self
            .shards
            .get(&shard)
            .is_some_and(|shard| shard.may_act(self.epoch));
        if !acting {
            return;
        }
        let durable = self
            .acting_job(&status.task)
            .and_then(|(_, job, index)| job.task(index))
            .filter(|task| task.attempt == status.attempt && task.place().is_some());
        let is_place = durable.and_then(|task| task.place()) == Some(&status.place);
        match status.state {
            AttemptState::Ended(end) if is_place => {
                self.end_attempt(shard, &job, index, &status.task, status.attempt, &end, now);
            }
            AttemptState::Running if is_place => {
                if let Some(sent) = self.sent.get_mut(&status.task) {
                    sent.confirmed = sent.attempt == status.attempt;
                }
            }
            AttemptState::Waiting => {}
            _ if self.may_be_newer(shard, &job, index, status.attempt) => {}
            AttemptState::Ended(_) => {
                self.queue_release(owner, &status.task, status.attempt, status.place);
            }
            AttemptState::Running => {
                let stop = StopAttempt {
                    task: status.task,
                    attempt: status.attempt,
                    place: status.place,
                    checkpoint: false,
                };
                self.stops.entry(owner.clone()).or_default().push(stop);
            }
        }
    }

    /// Returns whether an attempt is later than the one in the durable record.
    fn may_be_newer(&self, shard: u32, job: &JobId, index: u32, attempt: Attempt) -> bool {
        let record = self.shards.get(&shard).and_then(|s| s.durable_job(job));
        record.is_some_and(|job| {
            let ended = job.is_ended() || job.is_done(index);
            !ended && job.task(index).is_some_and(|task| task.attempt < attempt)
        })
    }

    #[allow(clippy::too_many_arguments)]
    fn end_attempt(
        &mut self,
        shard: u32,
        job: &JobId,
        index: u32,
        task: &TaskId,
        attempt: Attempt,
        end: &AttemptEnd,
        now: Millis,
    ) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        let failed_on = held
            .working_job(job)
            .map(|job| workers_at_fault(job, index, end))
            .unwrap_or_default();
        let max_attempts = bundle.bundle.batch.max_attempts;
        let changed = held.edit_job(job, |job| {
            let changed = job.end_attempt(index, attempt, end, max_attempts);
            if changed {
                job.end_if_settled(now);
            }
            changed
        });
        if !changed {
            return;
        }
        self.sent.remove(task);
        for worker in failed_on {
            self.attribute_failure(job, worker);
        }
    }

    fn attribute_failure(&mut self, job: &JobId, worker: VmId) {
        let Some(vm) = self.fleet.worker(&worker) else {
            return;
        };
        let rack = vm.rack.clone();
        let Some(owner) = self.ownership.rack_owner(&rack) else {
            return;
        };
        self.attributions
            .entry(owner)
            .or_default()
            .push(BlameWorker {
                job: job.clone(),
                place: Place { worker, rack },
            });
    }
}

/// Returns the workers on which the task failed although tasks of the job succeed elsewhere.
fn workers_at_fault(job: &JobRecord, index: u32, end: &AttemptEnd) -> Vec<VmId> {
    let task = job.task(index);
    match end.kind {
        EndKind::Finished => task.map(|task| task.failed_on.clone()).unwrap_or_default(),
        EndKind::Failed if job.done_count() > 0 => task
            .and_then(|task| task.place())
            .map(|place| vec![place.worker.clone()])
            .unwrap_or_default(),
        _ => Vec::new(),
    }
}
