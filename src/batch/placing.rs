//! Placement of pending tasks: choice of the tasks, and of the rack owners that reserve capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::exchange::RESERVE_TIMEOUT;
use super::ids::{split_task, task_id};
use super::owner::JobOwner;
use super::select::{WaitingJob, select_tasks};
use crate::placement::splitmix64;
use crate::prelude::*;
use crate::schema::batch::{JobPhase, JobRecord, RackCall, ReserveTask};
use crate::schema::vm::VmState;

/// Maximum number of tasks for which a round requests reservations.
const TASKS_PER_ROUND: usize = 96;

impl JobOwner {
    /// Recomputes the use of each team in own shards, including reservations in flight.
    pub(super) fn count_usage(&mut self) {
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

    pub(super) fn add_reserves(&mut self, calls: &mut BTreeMap<MemberId, RackCall>, now: Millis) {
        self.placing
            .retain(|_, requested_at| now.since(*requested_at) < RESERVE_TIMEOUT);
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() {
            return;
        }
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let total = self.fleet.total();
        let teams = &bundle.bundle.team;
        let selected = select_tasks(waiting, &mut self.shares, teams, &total, TASKS_PER_ROUND);
        let mut free_capacity = self.free_capacity();
        for chosen in selected {
            let Some(job) = self.find_working(&chosen.job) else {
                continue;
            };
            let size = job.spec.resources;
            let reserve = ReserveTask {
                task: task_id(&chosen.job, chosen.index),
                attempt: chosen.attempt,
                resources: size,
                kind: job.spec.kind.clone(),
                avoid_workers: job
                    .task(chosen.index)
                    .map(|task| task.failed_on.clone())
                    .unwrap_or_default(),
                avoid_zones: self.full_zones(job),
            };
            // The owner with the most free capacity may have only workers that this task must
            // avoid. A job that was refused therefore asks random owners.
            let was_refused = self.waits.get(&chosen.job).is_some_and(|w| w.refusals > 0);
            self.random = splitmix64(self.random);
            let any = was_refused.then_some(self.random >> 32);
            let Some(owner) = choose_rack_owner(&mut free_capacity, &size, any) else {
                self.back_off(&chosen.job, now);
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
                // Only durable jobs are placed. The working copy shows which tasks are still
                // pending.
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
                    .take(TASKS_PER_ROUND)
                    .collect();
                if tasks.is_empty() {
                    continue;
                }
                let since = job.submitted.max(wait.last_placed_at);
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

    /// Returns the rack owners with the largest and the total free capacity that they last
    /// reported.
    fn free_capacity(&self) -> Vec<(MemberId, Option<Resources>, Resources)> {
        self.rack_owners()
            .into_iter()
            .map(|owner| match self.digests.get(&owner) {
                Some(digest) => (owner, Some(digest.largest), digest.free),
                None => (owner, None, Resources::default()),
            })
            .collect()
    }

    /// Returns the owners of racks with live workers.
    pub(super) fn rack_owners(&self) -> BTreeSet<MemberId> {
        self.fleet
            .workers()
            .filter(|vm| vm.state == VmState::Live)
            .filter_map(|vm| self.ownership.rack_owner(&vm.rack))
            .collect()
    }

    /// Returns the availability zones that already have their part of a job with `zone_spread`.
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
}

/// Chooses the rack owner with the most free processors among those with a worker that fits the
/// task, or the one that the random number `any` selects among them, and subtracts the task.
fn choose_rack_owner(
    free_capacity: &mut [(MemberId, Option<Resources>, Resources)],
    size: &Resources,
    any: Option<u64>,
) -> Option<MemberId> {
    let mut fitting: Vec<_> = free_capacity
        .iter_mut()
        .filter(|(_, largest, _)| largest.is_none_or(|largest| size.fits(&largest)))
        .collect();
    fitting.sort_by_key(|(_, _, free)| Reverse(free.cpu));
    let count = u64::try_from(fitting.len()).ok().filter(|n| *n > 0)?;
    let at = usize::try_from(any.unwrap_or_default() % count).ok()?;
    let best = fitting.into_iter().nth(at)?;
    best.2 = best.2.saturating_sub(size);
    Some(best.0.clone())
}
