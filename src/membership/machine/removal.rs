//! Reports of silent members, and their removal.

use std::collections::BTreeSet;

use super::Membership;
use crate::membership::hash::Domain;
use crate::membership::{MemberTable, MemberView, Output};
use crate::prelude::*;

/// Wait of each further member before it looks into a silent member.
const TURN: Millis = Millis(400);

/// First wait until the lease of a silent member is looked up again.
const FIRST_RECHECK: Millis = Millis(1000);

/// Longest wait until the lease of a silent member is looked up again.
const LAST_RECHECK: Millis = Millis(2000);

/// Interval at which missing reports are asked for.
const COLLECT_INTERVAL: Millis = Millis(300);

/// A member that may have died.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When this process looks up the lease.
    check: Millis,
    /// Wait until the check after that.
    recheck: Millis,
}

impl Membership {
    /// Tells whether a member has been silent, or its VM has certainly been terminated.
    pub(super) fn is_silent(&self, id: &MemberId, now: Millis) -> bool {
        let quiet = self
            .peers
            .get(id)
            .is_some_and(|peer| now.since(peer.heard) >= self.timing.silence_timeout);
        quiet || self.is_terminated(id, now)
    }

    /// Tells whether the process of a member cannot be running any more.
    fn is_terminated(&self, id: &MemberId, now: Millis) -> bool {
        if self.replaced.contains(id) {
            return true;
        }
        // Most of the time no VM of a member is absent.
        let member = match self.vms.has_absent() {
            true => self.table.as_ref().and_then(|table| table.member(id)),
            false => None,
        };
        member.is_some_and(|member| {
            member.listed
                && self
                    .vms
                    .is_absent(&member.vm, self.timing.vm_absence_timeout, now)
        })
    }

    /// Reports silent members whose lease has lapsed.
    ///
    /// From then on, and as long as the epoch lasts, this process does not acknowledge them. A
    /// removal that relies on the report can only be written in the same epoch.
    pub(super) fn renew_reports(&mut self, now: Millis) {
        if !self.is_member() {
            return;
        }
        let lapsed: Vec<MemberId> = self.lapsed.union(&self.hinted).cloned().collect();
        for id in lapsed {
            if self.is_silent(&id, now) {
                self.promised.entry(id).or_insert(now);
            }
        }
    }

    /// Starts and pursues the removal of silent members.
    pub(super) fn suspect(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.is_member() || self.leaving {
            return;
        }
        let silent = self.silent(now);
        self.suspicions.retain(|id, _| silent.contains(id));
        for id in &silent {
            if !self.suspicions.contains_key(id) {
                let check = now + self.turn(id, &silent);
                let recheck = FIRST_RECHECK;
                self.suspicions
                    .insert(id.clone(), Suspicion { check, recheck });
            }
        }
        if self.suspicions.is_empty() {
            return;
        }
        let due = self.suspicions.values().any(|held| now >= held.check);
        if due || self.is_removal_ready(now) {
            self.read_record(now, out);
        } else if !self.lapsed.is_empty() && now >= self.next_collect {
            self.next_collect = now + COLLECT_INTERVAL;
            self.push = true;
        }
    }

    /// Returns how long this process leaves a silent member to others that rank before it.
    fn turn(&self, id: &MemberId, silent: &[MemberId]) -> Millis {
        let Some(view) = self.view() else {
            return Millis::ZERO;
        };
        let ranked = view.top_ranked(Domain::Responsibility, id.as_str(), view.ids().len());
        let before = ranked
            .into_iter()
            .filter(|other| !silent.contains(other))
            .position(|other| *other == self.me.id)
            .unwrap_or_default();
        Millis(TURN.0.saturating_mul(before as u64))
    }

    fn is_removal_ready(&self, now: Millis) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        self.lapsed
            .iter()
            .any(|id| self.is_reported(table, id, now))
    }

    /// Notes which silent members had no valid lease when the entries were read.
    pub(super) fn check_suspects(&mut self, live: &BTreeSet<MemberId>, now: Millis) {
        for (id, held) in &mut self.suspicions {
            if live.contains(id) {
                self.lapsed.remove(id);
            } else {
                self.lapsed.insert(id.clone());
            }
            held.check = now + held.recheck;
            held.recheck = (held.recheck + held.recheck).min(LAST_RECHECK);
        }
        self.renew_reports(now);
    }

    /// Returns the members that may be removed from the record that was read at `started`.
    pub(super) fn removable(
        &self,
        table: &MemberTable,
        live: &BTreeSet<MemberId>,
        started: Millis,
        now: Millis,
    ) -> BTreeSet<MemberId> {
        if table.epoch() != self.epoch() || !self.is_member() {
            return BTreeSet::new();
        }
        self.lapsed
            .iter()
            .filter(|id| !live.contains(*id) && self.is_silent(id, now))
            .filter(|id| self.is_reported(table, id, started))
            .cloned()
            .collect()
    }

    /// Tells whether enough members had reported a member as silent at `before`.
    ///
    /// The member may still be in an older epoch than the record, and count acknowledgements of
    /// the members of that epoch. So the reporters must suffice in each epoch it may be in.
    fn is_reported(&self, table: &MemberTable, id: &MemberId, before: Millis) -> bool {
        if self.is_terminated(id, before) {
            return true;
        }
        let adopted = self.peers.get(id).map_or(Epoch(0), |peer| peer.epoch);
        let mut views = table.views().into_iter();
        views.all(|view| {
            let concerned = view.contains(id) && view.epoch() >= adopted;
            !concerned || self.suffices(&view, id, before)
        })
    }

    fn suffices(&self, view: &MemberView, id: &MemberId, before: Millis) -> bool {
        // A lone member is active through its store lease only.
        if view.ids().len() == 1 {
            return true;
        }
        let reporters = view
            .ids()
            .iter()
            .filter(|other| *other != id)
            .filter(|other| {
                let reported = self.report_of(other, id).is_some_and(|at| at <= before);
                reported || self.is_terminated(other, before)
            })
            .count();
        reporters >= view.reporters_needed()
    }

    fn report_of(&self, reporter: &MemberId, id: &MemberId) -> Option<Millis> {
        if *reporter == self.me.id {
            return self.promised.get(id).copied();
        }
        self.peers.get(reporter)?.report(self.epoch(), id)
    }
}
