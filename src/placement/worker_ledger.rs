//! Ledger of one worker: its capacity, the attempts on it and the commands due to its agent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::attempt_entry::{AttemptEntry, Phase, end_of, ended};
use super::interference::{Interference, Kind, Loads};
use super::lease::lease_expiry_bound;
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::batch::{EndKind, Place};
use crate::schema::vm::{VmRecord, VmState};
use crate::schema::worker::{TaskAttempt, TaskPhase, TaskReport, WorkerState};

/// Time without a response after which a worker gets only reads and no lease is renewed.
pub(super) const UNRESPONSIVE_AFTER: Millis = Millis(6000);

/// Delay before an attempt found running at a claim is reported, unless its job owner asks first.
const ADOPTED_REPORT_DELAY: Millis = Millis(5000);

/// Time for which past loads are kept, so that late measurements match the load at their time.
const LOAD_HISTORY_SPAN: Millis = Millis(120_000);

/// Maximum number of past loads that are kept.
const LOAD_HISTORY_LEN: usize = 64;

/// Time after a failure until a quarantined worker gets a task as a probe.
const PROBE_INTERVAL: Millis = Millis(30_000);

/// Time for which tombstones of resolved attempts are kept, so that their late starts are ignored.
const TOMBSTONE_TTL: Millis = Millis(600_000);

/// A command whose response is outstanding.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) command: AgentCommand,
}

/// State of one worker as its rack owner knows it.
#[derive(Debug)]
pub(super) struct WorkerLedger {
    pub(super) place: Place,
    pub(super) zone: ZoneId,
    pub(super) addr: String,
    /// Capacity in the VM list.
    pub(super) declared: Resources,
    /// Capacity that the agent reported in this epoch.
    pub(super) reported: Option<Resources>,
    /// The VM list shows the worker.
    pub(super) listed: bool,
    pub(super) leaving: bool,
    /// The agent has accepted this owner in the current epoch.
    pub(super) claimed: bool,
    /// The agent reported a higher epoch. No state of an attempt may be reported until this process
    /// adopts that epoch.
    pub(super) fenced_out: bool,
    /// Latest reading of the worker's clock.
    pub(super) clock: Millis,
    pub(super) responded_at: Option<Millis>,
    /// Time of the last command that may have extended a lease.
    pub(super) lease_sent_at: Option<Millis>,
    pub(super) entries: BTreeMap<TaskId, AttemptEntry>,
    /// Sum of the entries that hold capacity.
    pub(super) used: Resources,
    /// Latest resolved attempt of each task, with the time of its resolution.
    pub(super) tombstones: BTreeMap<TaskId, (Attempt, Millis)>,
    pub(super) acks: Vec<TaskAttempt>,
    pub(super) throttles: Vec<(TaskId, Attempt, Permille)>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) retry_at: Millis,
    pub(super) renew_due: Millis,
    pub(super) read_due: Option<Millis>,
    /// Jobs that attributed a failure to this worker, with the time of the last one.
    pub(super) attributions: BTreeMap<JobId, Millis>,
    pub(super) quarantined: bool,
    pub(super) probe_at: Millis,
    pub(super) service: Option<Kind>,
    /// Time and added slowdown of the last measurement of the service. Zero is full speed.
    pub(super) service_sample: Option<(Millis, f64)>,
    /// Time of the last throttle, eviction or resumption on this worker.
    pub(super) mitigated_at: Option<Millis>,
    loads: Loads,
    load_history: VecDeque<(Millis, Loads)>,
}

impl WorkerLedger {
    /// Creates the ledger of a worker that is not claimed yet.
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
            responded_at: None,
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
            attributions: BTreeMap::new(),
            quarantined: false,
            probe_at: Millis::ZERO,
            service: None,
            service_sample: None,
            mitigated_at: None,
            loads: Loads::new(),
            load_history: VecDeque::new(),
        }
    }

    /// Updates the worker from its record in the VM list.
    pub(super) fn set_listed(&mut self, vm: &VmRecord, service: Option<Kind>) {
        self.listed = true;
        self.leaving = vm.state == VmState::Leaving;
        self.zone = vm.zone.clone();
        self.addr = vm.agent.clone();
        self.declared = vm.capacity;
        self.service = service;
    }

    /// Clears the state that is valid only within one epoch.
    ///
    /// Another owner may have started attempts on the worker since, so ends seen in an earlier
    /// epoch are no longer proof.
    pub(super) fn start_epoch(&mut self) {
        self.claimed = false;
        self.fenced_out = false;
        self.clock = Millis::ZERO;
        self.reported = None;
        self.entries.clear();
        self.recompute_usage();
        self.tombstones.clear();
        self.acks.clear();
        self.throttles.clear();
        self.in_flight = None;
        self.retry_at = Millis::ZERO;
        self.read_due = None;
        self.lease_sent_at = None;
    }

    /// Returns the capacity that may be reserved: the lesser of declared and reported capacity.
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

    /// Returns whether an attempt of this size fits.
    pub(super) fn has_room(&self, size: &Resources) -> bool {
        self.used
            .checked_add(size)
            .is_some_and(|wanted| wanted.fits(&self.capacity()))
    }

    /// Returns whether the agent has not responded for `UNRESPONSIVE_AFTER`.
    pub(super) fn is_unresponsive(&self, now: Millis) -> bool {
        self.responded_at
            .is_none_or(|at| now.since(at) >= UNRESPONSIVE_AFTER)
    }

    /// Returns the free capacity, or `None` if the worker takes no new tasks.
    pub(super) fn available(&self, now: Millis) -> Option<Resources> {
        let busy = self.used != Resources::default();
        let open = self.claimed
            && self.listed
            && !self.leaving
            && !self.fenced_out
            && !self.is_unresponsive(now)
            && !(self.quarantined && (busy || now < self.probe_at));
        open.then(|| self.capacity().saturating_sub(&self.used))
    }

    /// Recomputes used capacity and loads after entries changed.
    pub(super) fn recompute_usage(&mut self) {
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

    /// Returns the loads by kind. One unit is all processors of the worker.
    pub(super) fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Records the current loads for measurements that arrive later.
    pub(super) fn record_loads(&mut self, now: Millis) {
        let loads = self.loads.clone();
        if self
            .load_history
            .back()
            .is_some_and(|(_, last)| *last == loads)
        {
            return;
        }
        self.load_history.push_back((now, loads));
        while self.load_history.len() > LOAD_HISTORY_LEN
            || self
                .load_history
                .get(1)
                .is_some_and(|(at, _)| now.since(*at) > LOAD_HISTORY_SPAN)
        {
            self.load_history.pop_front();
        }
    }

    /// Returns the loads at an earlier time, or `None` if they are no longer kept.
    pub(super) fn loads_at(&self, at: Millis) -> Option<&Loads> {
        self.load_history
            .iter()
            .rev()
            .find(|(since, _)| *since <= at)
            .map(|(_, loads)| loads)
    }

    /// Leaves a tombstone for a resolved attempt.
    pub(super) fn mark_resolved(&mut self, task: &TaskId, attempt: Attempt, now: Millis) {
        let held = self.tombstones.entry(task.clone()).or_default();
        *held = (held.0.max(attempt), now);
    }

    /// Returns whether an attempt was resolved in this epoch.
    pub(super) fn is_resolved(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.tombstones
            .get(task)
            .is_some_and(|(resolved, _)| attempt <= *resolved)
    }

    /// Removes reservations past their deadline and tombstones past their TTL.
    pub(super) fn expire_reservations(&mut self, now: Millis) {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| !matches!(entry.phase, Phase::Held { until } if now >= until));
        if self.entries.len() != before {
            self.recompute_usage();
        }
        self.tombstones
            .retain(|_, (_, at)| now.since(*at) < TOMBSTONE_TTL);
    }

    /// Ends attempts as gone once their leases have certainly expired. Returns whether any ended.
    pub(super) fn expire_leases(&mut self, now: Millis) -> bool {
        let certain = self
            .lease_sent_at
            .is_none_or(|at| now.since(at) > lease_expiry_bound());
        if !self.claimed || self.fenced_out || !self.is_unresponsive(now) || !certain {
            return false;
        }
        let mut any = false;
        for entry in self.entries.values_mut() {
            if entry.needs_lease() {
                entry.phase = ended(EndKind::Gone);
                entry.report_at = Some(now);
                any = true;
            }
        }
        self.recompute_usage();
        any
    }

    /// Merges a state report of the agent; `fresh_claim` marks the first one of this epoch.
    pub(super) fn merge(
        &mut self,
        state: &WorkerState,
        interference: &mut Interference,
        fresh_claim: bool,
        now: Millis,
    ) {
        self.reported = Some(state.capacity);
        self.clock = self.clock.max(state.clock);
        self.responded_at = Some(now);
        let mut present = BTreeSet::new();
        for report in &state.tasks {
            present.insert((&report.task, report.attempt));
            self.merge_report(report, interference, fresh_claim, now);
        }
        for (task, entry) in &mut self.entries {
            let lost = !present.contains(&(task, entry.attempt));
            match entry.phase {
                // The agent no longer knows a running attempt. A stop fences it before it counts as
                // ended.
                Phase::Running if lost => {
                    entry.phase = Phase::Stopping {
                        save: false,
                        sent: false,
                    }
                }
                Phase::Stopping { sent: true, .. } if lost => {
                    entry.phase = ended(EndKind::NeverStarted);
                    entry.report_at = Some(now);
                }
                _ => {}
            }
        }
        self.recompute_usage();
        self.record_loads(now);
    }

    fn merge_report(
        &mut self,
        report: &TaskReport,
        interference: &mut Interference,
        adopt: bool,
        now: Millis,
    ) {
        let end = end_of(report);
        if self.is_resolved(&report.task, report.attempt) {
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
            let mut entry =
                AttemptEntry::new(report.attempt, report.resources, kind, Phase::Running);
            entry.report_at = Some(now);
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
                        self.attributions.clear();
                    } else if end.kind == EndKind::Failed {
                        self.probe_at = now + PROBE_INTERVAL;
                    }
                    entry.phase = Phase::Ended(end);
                    entry.report_at = Some(now);
                }
            }
            (None, Phase::Starting | Phase::Held { .. }) => {
                entry.phase = Phase::Running;
                entry.report_at = Some(now);
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
            entry.report_at = Some(now + ADOPTED_REPORT_DELAY);
        }
    }
}
