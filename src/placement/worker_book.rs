//! Reservation book of one worker.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::entry::{Entry, Phase, end_of, ended};
use super::interference::{Interference, Kind, Loads};
use super::lease::certain_expiry;
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::batch::{EndKind, Place};
use crate::schema::vm::{VmRecord, VmState};
use crate::schema::worker::{TaskAttempt, TaskPhase, TaskReport, WorkerState};

/// Time without an answer after which leases are no longer renewed.
pub(super) const SILENT_AFTER: Millis = Millis(6000);

/// Interval at which a running attempt that its job owner has not confirmed is reported.
const ADOPTED_PUSH: Millis = Millis(5000);

/// Time for which past loads are kept for late measurements.
const HISTORY: Millis = Millis(120_000);

/// Most past loads that are kept.
const HISTORY_LEN: usize = 64;

/// Wait of a quarantined worker after a failure until it gets the next task.
const PROBE_INTERVAL: Millis = Millis(30_000);

/// Time for which resolved attempts are remembered, so that late starts of them are refused.
const TOMBSTONE_TTL: Millis = Millis(600_000);

/// A command that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) command: AgentCommand,
}

/// Everything that the rack owner knows about one worker.
#[derive(Debug)]
pub(super) struct WorkerBook {
    pub(super) place: Place,
    pub(super) zone: ZoneId,
    pub(super) addr: String,
    pub(super) declared: Resources,
    pub(super) reported: Option<Resources>,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    pub(super) claimed: bool,
    /// A higher epoch was seen at the agent; nothing may be said about attempts until adopting it.
    pub(super) fenced_out: bool,
    pub(super) clock: Millis,
    pub(super) answered_at: Option<Millis>,
    pub(super) lease_sent_at: Option<Millis>,
    pub(super) entries: BTreeMap<TaskId, Entry>,
    pub(super) used: Resources,
    pub(super) tombstones: BTreeMap<TaskId, (Attempt, Millis)>,
    pub(super) acks: Vec<TaskAttempt>,
    pub(super) throttles: Vec<(TaskId, Attempt, Permille)>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) retry_at: Millis,
    pub(super) renew_due: Millis,
    pub(super) read_due: Option<Millis>,
    pub(super) blamed_by: BTreeMap<JobId, Millis>,
    pub(super) quarantined: bool,
    pub(super) probe_at: Millis,
    pub(super) service: Option<Kind>,
    pub(super) service_sample: Option<(Millis, f64)>,
    pub(super) corrected_at: Option<Millis>,
    loads: Loads,
    history: VecDeque<(Millis, Loads)>,
}

impl WorkerBook {
    /// Creates the book of a worker that is not claimed yet.
    pub(super) fn new(place: Place) -> Self {
        Self {
            place,
            zone: ZoneId::default(),
            addr: String::new(),
            declared: Resources::default(),
            reported: None,
            listed: false,
            leaving: false,
            claimed: false,
            fenced_out: false,
            clock: Millis::ZERO,
            answered_at: None,
            lease_sent_at: None,
            entries: BTreeMap::new(),
            used: Resources::default(),
            tombstones: BTreeMap::new(),
            acks: Vec::new(),
            throttles: Vec::new(),
            in_flight: None,
            retry_at: Millis::ZERO,
            renew_due: Millis::ZERO,
            read_due: None,
            blamed_by: BTreeMap::new(),
            quarantined: false,
            probe_at: Millis::ZERO,
            service: None,
            service_sample: None,
            corrected_at: None,
            loads: Loads::new(),
            history: VecDeque::new(),
        }
    }

    /// Takes in what the VM list shows.
    pub(super) fn set_listed(&mut self, vm: &VmRecord, service: Option<Kind>) {
        self.listed = true;
        self.leaving = vm.state == VmState::Leaving;
        self.zone = vm.zone.clone();
        self.addr = vm.agent.clone();
        self.declared = vm.capacity;
        self.service = service;
    }

    /// Forgets everything that only holds within one epoch.
    ///
    /// Another owner may have acted on the worker in between, so ends that were seen earlier
    /// prove nothing any more.
    pub(super) fn start_epoch(&mut self) {
        self.claimed = false;
        self.fenced_out = false;
        self.clock = Millis::ZERO;
        self.reported = None;
        self.entries.clear();
        self.recount();
        self.tombstones.clear();
        self.acks.clear();
        self.throttles.clear();
        self.in_flight = None;
        self.retry_at = Millis::ZERO;
        self.read_due = None;
        self.lease_sent_at = None;
    }

    /// Returns the capacity that may be promised.
    pub(super) fn capacity(&self) -> Resources {
        match self.reported {
            None => Resources::default(),
            Some(reported) => Resources {
                cpu: self.declared.cpu.min(reported.cpu),
                memory: self.declared.memory.min(reported.memory),
                accelerators: self.declared.accelerators.min(reported.accelerators),
            },
        }
    }

    /// Tells whether one more attempt fits.
    pub(super) fn has_room(&self, size: &Resources) -> bool {
        self.used
            .checked_add(size)
            .is_some_and(|wanted| wanted.fits(&self.capacity()))
    }

    /// Tells whether the agent has not answered for long.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        self.answered_at
            .is_none_or(|at| now.since(at) >= SILENT_AFTER)
    }

    /// Returns free capacity if the worker takes new tasks.
    pub(super) fn offer(&self, now: Millis) -> Option<Resources> {
        let busy = self.used != Resources::default();
        let open = self.claimed
            && self.listed
            && !self.leaving
            && !self.fenced_out
            && !self.is_silent(now)
            && !(self.quarantined && (busy || now < self.probe_at));
        open.then(|| self.capacity().saturating_sub(&self.used))
    }

    /// Counts use and loads anew after entries changed.
    pub(super) fn recount(&mut self) {
        let total = self.declared.cpu.0.max(1) as f64;
        let mut used = Resources::default();
        let mut loads: BTreeMap<Kind, f64> = BTreeMap::new();
        for entry in self.entries.values().filter(|e| e.holds_capacity()) {
            used = used.checked_add(&entry.resources).unwrap_or(used);
            *loads.entry(entry.kind).or_default() += entry.load.0 as f64 / total;
        }
        self.used = used;
        self.loads = loads.into_iter().collect();
    }

    /// Returns the loads by kind, with one unit for all processors.
    pub(super) fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Remembers the present loads for measurements that arrive later.
    pub(super) fn remember_loads(&mut self, now: Millis) {
        let loads = self.loads.clone();
        if self.history.back().is_some_and(|(_, last)| *last == loads) {
            return;
        }
        self.history.push_back((now, loads));
        while self.history.len() > HISTORY_LEN
            || self
                .history
                .get(1)
                .is_some_and(|(at, _)| now.since(*at) > HISTORY)
        {
            self.history.pop_front();
        }
    }

    /// Returns the loads that were present at an earlier time.
    pub(super) fn loads_at(&self, at: Millis) -> Option<&Loads> {
        self.history
            .iter()
            .rev()
            .find(|(since, _)| *since <= at)
            .map(|(_, loads)| loads)
    }

    /// Remembers that an attempt is resolved.
    pub(super) fn bury(&mut self, task: &TaskId, attempt: Attempt, now: Millis) {
        let held = self.tombstones.entry(task.clone()).or_default();
        *held = (held.0.max(attempt), now);
    }

    /// Tells whether an attempt was resolved in this epoch.
    pub(super) fn is_buried(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.tombstones
            .get(task)
            .is_some_and(|(buried, _)| attempt <= *buried)
    }

    /// Ends reservations that were not used in time, and forgets old tombstones.
    pub(super) fn expire_holds(&mut self, now: Millis) {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| !matches!(entry.phase, Phase::Held { until } if now >= until));
        if self.entries.len() != before {
            self.recount();
        }
        self.tombstones
            .retain(|_, (_, at)| now.since(*at) < TOMBSTONE_TTL);
    }

    /// Declares attempts gone whose leases have certainly expired; tells whether any was.
    pub(super) fn expire_leases(&mut self, now: Millis) -> bool {
        let certain = self
            .lease_sent_at
            .is_none_or(|at| now.since(at) > certain_expiry());
        if !self.claimed || self.fenced_out || !self.is_silent(now) || !certain {
            return false;
        }
        let mut any = false;
        for entry in self.entries.values_mut() {
            if entry.needs_lease() {
                entry.phase = ended(EndKind::Gone);
                entry.push_at = Some(now);
                any = true;
            }
        }
        self.recount();
        any
    }

    /// Takes in a state report; `fresh_claim` tells that it is the first one of this epoch.
    pub(super) fn merge(
        &mut self,
        state: &WorkerState,
        interference: &mut Interference,
        fresh_claim: bool,
        now: Millis,
    ) {
        self.reported = Some(state.capacity);
        self.clock = self.clock.max(state.clock);
        self.answered_at = Some(now);
        let mut present = BTreeSet::new();
        for report in &state.tasks {
            present.insert((&report.task, report.attempt));
            self.merge_report(report, interference, fresh_claim, now);
        }
        for (task, entry) in &mut self.entries {
            let lost = !present.contains(&(task, entry.attempt));
            match entry.phase {
                // The agent does not know an attempt that it ran: it is fenced before it is ended.
                Phase::Running if lost => {
                    entry.phase = Phase::Stopping {
                        save: false,
                        sent: false,
                    }
                }
                Phase::Stopping { sent: true, .. } if lost => {
                    entry.phase = ended(EndKind::NeverStarted);
                    entry.push_at = Some(now);
                }
                _ => {}
            }
        }
        self.recount();
        self.remember_loads(now);
    }

    fn merge_report(
        &mut self,
        report: &TaskReport,
        interference: &mut Interference,
        adopt: bool,
        now: Millis,
    ) {
        let end = end_of(report);
        if self.is_buried(&report.task, report.attempt) {
            if end.is_some() {
                self.acks.push(TaskAttempt {
                    task: report.task.clone(),
                    attempt: report.attempt,
                });
            }
            return;
        }
        let suspect = self.quarantined;
        let kind = interference.kind(&report.kind);
        let known = self
            .entries
            .get(&report.task)
            .is_some_and(|entry| entry.attempt >= report.attempt);
        if !known {
            let mut entry = Entry::new(report.attempt, report.resources, kind, Phase::Running);
            entry.push_at = Some(now);
            self.entries.insert(report.task.clone(), entry);
        }
        let Some(entry) = self
            .entries
            .get_mut(&report.task)
            .filter(|entry| entry.attempt == report.attempt)
        else {
            return;
        };
        entry.resources = report.resources;
        if report.used.cpu.0 > 0 {
            entry.load = report.used.cpu;
        }
        match (end, &entry.phase) {
            (Some(mut end), phase) => {
                let gone = matches!(phase, Phase::Ended(end) if end.kind == EndKind::Gone);
                if entry.holds_capacity() || gone {
                    end.suspect = suspect;
                    if end.kind == EndKind::Finished {
                        self.quarantined = false;
                        self.blamed_by.clear();
                    } else if end.kind == EndKind::Failed {
                        self.probe_at = now + PROBE_INTERVAL;
                    }
                    entry.phase = Phase::Ended(end);
                    entry.push_at = Some(now);
                }
            }
            (None, Phase::Starting | Phase::Held { .. }) => {
                entry.phase = Phase::Running;
                entry.push_at = Some(now);
            }
            (None, Phase::Running) if report.phase == TaskPhase::Stopping => {
                entry.phase = Phase::Stopping {
                    save: true,
                    sent: true,
                };
            }
            (None, _) => {}
        }
        if adopt && entry.phase == Phase::Running {
            entry.push_at = Some(now + ADOPTED_PUSH);
        }
    }
}
