//! What a job owner asks of rack owners, and what it concludes from their answers.

use std::collections::{BTreeMap, BTreeSet};

use super::ids::{split_task, task_id};
use super::owner::{Asked, JobOwner, JobWait};
use super::select::{WaitingJob, pick_tasks};
use crate::prelude::*;
use crate::schema::batch::{
    AttemptEnd, AttemptState, AttemptStatus, BlameWorker, EndKind, JobPhase, JobRecord, JobReport,
    Place, RackAnswer, RackCall, ReleaseAttempt, ReserveTask, Reserved, StartAttempt, StopAttempt,
};
use crate::schema::vm::VmState;

/// Time after which an unanswered start or stop is sent again.
const RESEND: Millis = Millis(1000);

/// Time after which an unanswered reservation is asked for again.
const RESERVE_TIMEOUT: Millis = Millis(2500);

/// Tasks that are placed per round.
const PICKS_PER_ROUND: usize = 96;

/// Interval of digests from each rack owner; it grows with their number to bound traffic.
const DIGEST_INTERVAL: Millis = Millis(2000);

/// Rack owners from which the interval of digests grows.
const DIGEST_OWNERS: u64 = 8;

/// Longest wait of a job that found no room before the next try.
const MAX_BACKOFF: Millis = Millis(4000);

impl JobOwner {
    /// Returns the calls to rack owners that are due.
    pub fn rack_calls(&mut self, now: Millis) -> Vec<(MemberId, RackCall)> {
        if !self.ownership.is_active() || self.bundle.is_none() {
            return Vec::new();
        }
        let mut calls: BTreeMap<MemberId, RackCall> = BTreeMap::new();
        self.add_starts_and_stops(&mut calls, now);
        self.count_use();
        self.add_reserves(&mut calls, now);
        self.add_queued(&mut calls);
        self.add_digests(&mut calls, now);
        calls.into_iter().collect()
    }

    fn call_to<'a>(
        &self,
        calls: &'a mut BTreeMap<MemberId, RackCall>,
        owner: MemberId,
    ) -> &'a mut RackCall {
        calls.entry(owner).or_insert_with(|| RackCall {
            epoch: self.epoch,
            from: self.ownership.me(),
            release: Vec::new(),
            stop: Vec::new(),
            start: Vec::new(),
            reserve: Vec::new(),
            blame: Vec::new(),
            teams: Vec::new(),
        })
    }

    fn add_starts_and_stops(&mut self, calls: &mut BTreeMap<MemberId, RackCall>, now: Millis) {
        let assigned = self.assigned_tasks();
        let known: BTreeSet<&TaskId> = assigned.iter().map(|(task, ..)| task).collect();
        self.asked.retain(|task, _| known.contains(task));
        for (task, attempt, place, job, index) in &assigned {
            let Some(owner) = self.rack_owner(place) else {
                continue;
            };
            let Some((_, record, _)) = self.acting_job(task) else {
                continue;
            };
            let cancelling = record.phase == JobPhase::Cancelling;
            let settled = self.asked.get(task).is_some_and(|asked| {
                let current = asked.attempt == *attempt && asked.epoch == self.epoch;
                let fresh = now.since(asked.at) < RESEND;
                current && (fresh || (asked.confirmed && !cancelling))
            });
            if settled {
                continue;
            }
            let start = self.start_of(record, *index, task, *attempt, place);
            let call = self.call_to(calls, owner);
            if cancelling {
                call.stop.push(StopAttempt {
                    task: task.clone(),
                    attempt: *attempt,
                    place: place.clone(),
                    checkpoint: false,
                });
            } else if let Some(start) = start {
                call.start.push(start);
            }
            let confirmed = self
                .asked
                .get(task)
                .is_some_and(|asked| asked.confirmed && asked.attempt == *attempt);
            let asked = Asked {
                attempt: *attempt,
                epoch: self.epoch,
                at: now,
                confirmed: confirmed && cancelling,
            };
            self.asked.insert(task.clone(), asked);
            let _ = job;
        }
    }

    fn start_of(
        &self,
        job: &JobRecord,
        index: u32,
        task: &TaskId,
        attempt: Attempt,
        place: &Place,
    ) -> Option<StartAttempt> {
        let bundle = self.bundle.as_ref()?;
        let class = bundle.bundle.batch_class.get(&job.spec.class);
        Some(StartAttempt {
            task: task.clone(),
            attempt,
            place: place.clone(),
            resources: job.spec.resources,
            kind: job.spec.kind.clone(),
            can_checkpoint: job.spec.can_checkpoint,
            evictable: class.is_none_or(|class| class.evictable),
            run_time: job.spec.run_time,
            resume_from: job.task(index)?.checkpoint.clone(),
        })
    }

    fn count_use(&mut self) {
        self.shares.clear_own();
        for shard in self.shards.values() {
            for job in shard.working() {
                let team = &job.spec.team;
                let waiting = if job.phase == JobPhase::Open {
                    job.pending().count()
                } else {
                    0
                };
                let pending = u32::try_from(waiting).unwrap_or(u32::MAX);
                self.shares.add_own(team, &Resources::default(), pending);
                for _ in job.tasks.iter().filter(|task| task.place().is_some()) {
                    self.shares.add_own(team, &job.spec.resources, 0);
                }
            }
        }
        for task in self.placing.keys() {
            let job = split_task(task)
                .and_then(|(shard, job, _)| self.shards.get(&shard)?.working_job(&job));
            if let Some(job) = job {
                self.shares.add_own(&job.spec.team, &job.spec.resources, 0);
            }
        }
    }

    fn add_reserves(&mut self, calls: &mut BTreeMap<MemberId, RackCall>, now: Millis) {
        self.placing
            .retain(|_, asked| now.since(*asked) < RESERVE_TIMEOUT);
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() {
            return;
        }
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let total = self.fleet.total();
        let teams = &bundle.bundle.team;
        let picks = pick_tasks(waiting, &mut self.shares, teams, &total, PICKS_PER_ROUND);
        let mut room = self.room();
        for pick in picks {
            let Some(job) = self.find_working(&pick.job) else {
                continue;
            };
            let size = job.spec.resources;
            let reserve = ReserveTask {
                task: task_id(&pick.job, pick.index),
                attempt: pick.attempt,
                resources: size,
                kind: job.spec.kind.clone(),
                avoid_workers: job
                    .task(pick.index)
                    .map(|task| task.failed_on.clone())
                    .unwrap_or_default(),
                avoid_zones: self.full_zones(job),
            };
            let Some(owner) = take_room(&mut room, &size) else {
                self.refused(&pick.job, now);
                continue;
            };
            self.placing.insert(reserve.task.clone(), now);
            self.call_to(calls, owner).reserve.push(reserve);
        }
    }

    fn find_working(&self, id: &JobId) -> Option<&JobRecord> {
        self.shards.values().find_map(|shard| shard.working_job(id))
    }

    fn waiting_jobs(&self, now: Millis) -> Vec<WaitingJob> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let mut waiting = Vec::new();
        for shard in self
            .shards
            .values()
            .filter(|shard| shard.accepts(self.epoch))
        {
            for job in shard
                .working()
                .iter()
                .filter(|job| job.phase == JobPhase::Open)
            {
                let wait = self.waits.get(&job.id).copied().unwrap_or_default();
                // Only durable jobs are placed; the working copy tells which tasks still wait.
                let durable = shard
                    .durable_job(&job.id)
                    .is_some_and(|job| job.phase == JobPhase::Open);
                let Some(class) = bundle.bundle.batch_class.get(&job.spec.class) else {
                    continue;
                };
                if !durable || now < wait.retry_at {
                    continue;
                }
                let tasks: Vec<(u32, Attempt)> = job
                    .pending()
                    .filter(|(index, _)| !self.placing.contains_key(&task_id(&job.id, *index)))
                    .take(PICKS_PER_ROUND)
                    .collect();
                if tasks.is_empty() {
                    continue;
                }
                let since = job.submitted.max(wait.served_at);
                waiting.push(WaitingJob {
                    job: job.id.clone(),
                    team: job.spec.team.clone(),
                    priority: class.priority,
                    since,
                    overdue: now.since(since) >= class.max_wait_ms,
                    size: job.spec.resources,
                    tasks,
                });
            }
        }
        waiting
    }

    /// Returns rack owners with the capacity that they last reported.
    fn room(&self) -> Vec<(MemberId, Option<Resources>, Resources)> {
        self.rack_owners()
            .into_iter()
            .map(|owner| match self.digests.get(&owner) {
                Some(digest) => (owner, Some(digest.largest), digest.free),
                None => (owner, None, Resources::default()),
            })
            .collect()
    }

    fn rack_owners(&self) -> BTreeSet<MemberId> {
        self.fleet
            .workers()
            .filter(|vm| vm.state == VmState::Live)
            .filter_map(|vm| self.ownership.rack_owner(&vm.rack))
            .collect()
    }

    /// Returns the availability zones that hold their part of a job that must be spread.
    fn full_zones(&self, job: &JobRecord) -> Vec<ZoneId> {
        let Some(spread) = job.spec.zone_spread.filter(|spread| *spread > 1) else {
            return Vec::new();
        };
        let limit = job.spec.tasks.div_ceil(spread);
        let mut counts: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for place in job.tasks.iter().filter_map(|task| task.place()) {
            if let Some(zone) = self.fleet.zone(&place.rack) {
                *counts.entry(zone).or_default() += 1;
            }
        }
        counts
            .into_iter()
            .filter(|(_, count)| *count >= limit)
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    fn add_queued(&mut self, calls: &mut BTreeMap<MemberId, RackCall>) {
        for (owner, mut queued) in std::mem::take(&mut self.releases) {
            self.call_to(calls, owner).release.append(&mut queued);
        }
        for (owner, mut queued) in std::mem::take(&mut self.stops) {
            self.call_to(calls, owner).stop.append(&mut queued);
        }
        for (owner, mut queued) in std::mem::take(&mut self.blames) {
            self.call_to(calls, owner).blame.append(&mut queued);
        }
    }

    fn add_digests(&mut self, calls: &mut BTreeMap<MemberId, RackCall>, now: Millis) {
        if self.shards.is_empty() {
            return;
        }
        let owners = self.rack_owners();
        let count = u64::try_from(owners.len()).unwrap_or(u64::MAX);
        let interval = Millis(DIGEST_INTERVAL.0 * count.max(DIGEST_OWNERS) / DIGEST_OWNERS);
        self.shares.keep_members(|member| owners.contains(member));
        for owner in owners {
            let due = self.digest_due.get(&owner).copied().unwrap_or_default();
            if now >= due {
                self.digest_due.insert(owner.clone(), now + interval);
                let teams = self.shares.report();
                self.call_to(calls, owner).teams = teams;
            }
        }
    }

    /// Takes in the answer of a rack owner.
    pub fn rack_answered(&mut self, answer: RackAnswer, call: &RackCall, now: Millis) {
        if answer.epoch != self.epoch || !answer.accepted || call.epoch != self.epoch {
            return;
        }
        if answer.from != self.ownership.me() {
            self.shares.set_other(&answer.from, &answer.teams);
        }
        self.digests.insert(answer.from.clone(), answer.digest);
        for reserved in answer.reserved {
            self.reserved(reserved, now);
        }
        for asked in &call.reserve {
            if self.placing.remove(&asked.task).is_some()
                && let Some((_, job, _)) = split_task(&asked.task)
            {
                self.refused(&job, now);
            }
        }
        for status in answer.status {
            self.take_status(&answer.from, status, now);
        }
    }

    /// Takes in a report of a rack owner; tells whether it was in the current epoch.
    pub fn reported(&mut self, report: JobReport, now: Millis) -> bool {
        if report.epoch != self.epoch || !self.ownership.is_active() {
            return false;
        }
        for status in report.status {
            self.take_status(&report.from, status, now);
        }
        true
    }

    fn reserved(&mut self, reserved: Reserved, now: Millis) {
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
        // An unused reservation lapses by itself. A release could arrive late, when the same attempt
        // has been assigned after all, and would drop the report of its end.
        if assigned && let Some((_, job, _)) = split_task(&reserved.task) {
            let wait = self.waits.entry(job).or_default();
            *wait = JobWait {
                served_at: now,
                ..JobWait::default()
            };
        }
    }

    fn refused(&mut self, job: &JobId, now: Millis) {
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

    fn take_status(&mut self, owner: &MemberId, status: AttemptStatus, now: Millis) {
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
                if let Some(asked) = self.asked.get_mut(&status.task) {
                    asked.confirmed = asked.attempt == status.attempt;
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

    /// Tells whether an attempt is later than what the durable record knows of.
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
            .map(|job| blamed_workers(job, index, end))
            .unwrap_or_default();
        let max_attempts = bundle.bundle.batch.max_attempts;
        let changed = held.edit_job(job, |job| {
            let changed = job.end_attempt(index, attempt, end, max_attempts);
            if changed {
                job.settle(now);
            }
            changed
        });
        if !changed {
            return;
        }
        self.asked.remove(task);
        for worker in failed_on {
            self.blame(job, worker);
        }
    }

    fn blame(&mut self, job: &JobId, worker: VmId) {
        let Some(vm) = self.fleet.worker(&worker) else {
            return;
        };
        let rack = vm.rack.clone();
        let Some(owner) = self.ownership.rack_owner(&rack) else {
            return;
        };
        self.blames.entry(owner).or_default().push(BlameWorker {
            job: job.clone(),
            place: Place { worker, rack },
        });
    }
}

/// Returns the workers on which the job failed although it succeeds elsewhere.
fn blamed_workers(job: &JobRecord, index: u32, end: &AttemptEnd) -> Vec<VmId> {
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

/// Picks the rack owner with most free processors that can hold the task.
fn take_room(
    room: &mut [(MemberId, Option<Resources>, Resources)],
    size: &Resources,
) -> Option<MemberId> {
    let best = room
        .iter_mut()
        .filter(|(_, largest, _)| largest.is_none_or(|largest| size.fits(&largest)))
        .max_by_key(|(_, _, free)| free.cpu)?;
    best.2 = best.2.saturating_sub(size);
    Some(best.0.clone())
}
