//! What a job owner asks of rack owners.

use std::collections::{BTreeMap, BTreeSet};

use super::owner::{Asked, JobOwner};
use crate::prelude::*;
use crate::schema::batch::{JobPhase, JobRecord, Place, RackCall, StartAttempt, StopAttempt};

/// Time after which an unanswered start or stop is sent again.
const RESEND: Millis = Millis(1000);

/// Time after which an unanswered reservation is asked for again.
pub(super) const RESERVE_TIMEOUT: Millis = Millis(2500);

/// Interval of digests from each rack owner; it grows with their number to bound traffic.
const DIGEST_INTERVAL: Millis = Millis(2000);

/// Rack owners from which the interval of digests grows.
const DIGEST_OWNERS: u64 = 8;

impl JobOwner {
    /// Returns the calls to rack owners that are due.
    pub fn due_rack_calls(&mut self, now: Millis) -> Vec<(MemberId, RackCall)> {
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

    pub(super) fn call_to<'a>(
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
        for (task, attempt, place, index) in &assigned {
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
}
