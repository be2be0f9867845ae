//! Calls of a job owner to rack owners: starts, stops, reservations, releases and digests.

use std::collections::{BTreeMap, BTreeSet};

use super::owner::{JobOwner, SentRequest};
use crate::prelude::*;
use crate::schema::batch::{JobPhase, JobRecord, Place, RackCall, StartAttempt, StopAttempt};

/// Time after which a start or stop is sent again until the rack owner reports its effect.
const COMMAND_RETRY: Millis = Millis(1000);

/// Time after which a reservation without response is requested again.
pub(super) const RESERVE_TIMEOUT: Millis = Millis(2500);

/// Interval at which a digest is read from each rack owner, with up to `DIGEST_OWNERS` of them.
///
/// It grows with their number beyond that, to bound traffic.
const DIGEST_INTERVAL: Millis = Millis(2000);

/// Number of rack owners above which the digest interval grows.
const DIGEST_OWNERS: u64 = 8;

impl JobOwner {
    /// Returns the calls to rack owners that are due.
    pub fn due_rack_calls(&mut self, now: Millis) -> Vec<(MemberId, RackCall)> {
        if !self.ownership.is_active() || self.bundle.is_none() {
            return Vec::new();
        }
        let mut calls: BTreeMap<MemberId, RackCall> = BTreeMap::new();
        self.add_starts_and_stops(&mut calls, now);
        self.count_usage();
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
        self.sent.retain(|task, _| known.contains(task));
        for (task, attempt, place, index) in &assigned {
            let Some(owner) = self.rack_owner(place) else {
                continue;
            };
            let Some((_, record, _)) = self.acting_job(task) else {
                continue;
            };
            let cancelling = record.phase == JobPhase::Cancelling;
            let up_to_date = self.sent.get(task).is_some_and(|sent| {
                let current = sent.attempt == *attempt && sent.epoch == self.epoch;
                let fresh = now.since(sent.at) < COMMAND_RETRY;
                current && (fresh || (sent.confirmed && !cancelling))
            });
            if up_to_date {
                continue;
            }
            let start = self.start_request(record, *index, task, *attempt, place);
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
                .sent
                .get(task)
                .is_some_and(|sent| sent.confirmed && sent.attempt == *attempt);
            let sent = SentRequest {
                attempt: *attempt,
                epoch: self.epoch,
                at: now,
                confirmed: confirmed && cancelling,
            };
            self.sent.insert(task.clone(), sent);
        }
    }

    fn start_request(
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
        for (owner, mut queued) in std::mem::take(&mut self.attributions) {
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
