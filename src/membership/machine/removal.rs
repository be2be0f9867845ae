//! Reports of silent members, and their removal from the member record.

use std::collections::BTreeSet;

use super::Membership;
use crate::membership::hash::Domain;
use crate::membership::{MemberTable, MemberView, Output};
use crate::prelude::*;

/// Additional delay per rank before a member checks the lease of a silent member.
const CHECK_DELAY_PER_RANK: Millis = Millis(400);

/// First interval until the lease of a silent member is checked again.
const FIRST_RECHECK_INTERVAL: Millis = Millis(1000);

/// Longest interval until the lease of a silent member is checked again.
const MAX_RECHECK_INTERVAL: Millis = Millis(2000);

/// Interval between heartbeats to all members while reports of a silent member are missing.
const COLLECT_INTERVAL: Millis = Millis(300);

/// A member that is suspected to be dead.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When this process checks the lease next.
    next_check: Millis,
    /// Interval until the check after that.
    recheck_interval: Millis,
}

impl Membership {
    /// Returns whether a member has sent no heartbeat for too long or is certainly terminated.
    pub(super) fn is_silent(&self, id: &MemberId, now: Millis) -> bool {
        let timed_out = self
            .peers
            .get(id)
            .is_some_and(|peer| now.since(peer.received_at) >= self.timing.silence_timeout);
        timed_out || self.is_terminated(id, now)
    }

    /// Returns whether the process of a member has certainly ended.
    fn is_terminated(&self, id: &MemberId, now: Millis) -> bool {
        if self.replaced.contains(id) {
            return true;
        }
        // Skips the lookup in the usual case that no VM of a member is absent.
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

    /// Reports silent members whose lease has expired.
    ///
    /// Until the epoch changes, this process does not acknowledge a member that it has reported. A
    /// removal that relies on the report can be written only in the same epoch.
    pub(super) fn renew_reports(&mut self, now: Millis) {
        if !self.is_member() {
            return;
        }
        let candidates: Vec<MemberId> = self
            .expired
            .union(&self.expired_by_peers)
            .cloned()
            .collect();
        for id in candidates {
            if self.is_silent(&id, now) {
                self.reported.entry(id).or_insert(now);
            }
        }
    }

    /// Suspects silent members, and reads the record once a check or a removal is due.
    pub(super) fn pursue_removals(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.is_member() || self.leaving {
            return;
        }
        let silent = self.silent(now);
        self.suspicions.retain(|id, _| silent.contains(id));
        for id in &silent {
            if !self.suspicions.contains_key(id) {
                let next_check = now + self.check_delay(id, &silent);
                let recheck_interval = FIRST_RECHECK_INTERVAL;
                self.suspicions.insert(
                    id.clone(),
                    Suspicion {
                        next_check,
                        recheck_interval,
                    },
                );
            }
        }
        if self.suspicions.is_empty() {
            return;
        }
        let due = self
            .suspicions
            .values()
            .any(|suspicion| now >= suspicion.next_check);
        if due || self.is_removal_ready(now) {
            self.read_record(now, out);
        } else if !self.expired.is_empty() && now >= self.next_collect {
            self.next_collect = now + COLLECT_INTERVAL;
            self.push = true;
        }
    }

    /// Returns how long this process leaves the check of a silent member to higher-ranked members.
    fn check_delay(&self, id: &MemberId, silent: &[MemberId]) -> Millis {
        let Some(view) = self.view() else {
            return Millis::ZERO;
        };
        let ranked = view.top_ranked(Domain::Responsibility, id.as_str(), view.ids().len());
        let rank = ranked
            .into_iter()
            .filter(|other| !silent.contains(other))
            .position(|other| *other == self.me.id)
            .unwrap_or_default();
        Millis(CHECK_DELAY_PER_RANK.0.saturating_mul(rank as u64))
    }

    fn is_removal_ready(&self, now: Millis) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        self.expired
            .iter()
            .any(|id| self.is_reported(table, id, now))
    }

    /// Records which suspected members had no valid lease when the entries were read.
    pub(super) fn check_suspects(&mut self, live: &BTreeSet<MemberId>, now: Millis) {
        for (id, suspicion) in &mut self.suspicions {
            if live.contains(id) {
                self.expired.remove(id);
            } else {
                self.expired.insert(id.clone());
            }
            suspicion.next_check = now + suspicion.recheck_interval;
            suspicion.recheck_interval =
                (suspicion.recheck_interval + suspicion.recheck_interval).min(MAX_RECHECK_INTERVAL);
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
        self.expired
            .iter()
            .filter(|id| !live.contains(*id) && self.is_silent(id, now))
            .filter(|id| self.is_reported(table, id, started))
            .cloned()
            .collect()
    }

    /// Returns whether enough members had reported a member as silent by `before`.
    ///
    /// The member may still be in an older epoch than the record and count the acknowledgements of
    /// that epoch's members. Therefore the reports must suffice in each epoch that it may be in.
    fn is_reported(&self, table: &MemberTable, id: &MemberId, before: Millis) -> bool {
        if self.is_terminated(id, before) {
            return true;
        }
        let adopted = self.peers.get(id).map_or(Epoch(0), |peer| peer.epoch);
        let mut views = table.views().into_iter();
        views.all(|view| {
            let relevant = view.contains(id) && view.epoch() >= adopted;
            !relevant || self.has_report_quorum(&view, id, before)
        })
    }

    fn has_report_quorum(&self, view: &MemberView, id: &MemberId, before: Millis) -> bool {
        // Nobody can report the only member. It is active through its store lease only.
        if view.ids().len() == 1 {
            return true;
        }
        let reporters = view
            .ids()
            .iter()
            .filter(|other| *other != id)
            .filter(|other| {
                let has_report = self.report_of(other, id).is_some_and(|at| at <= before);
                has_report || self.is_terminated(other, before)
            })
            .count();
        reporters >= view.report_quorum()
    }

    fn report_of(&self, reporter: &MemberId, id: &MemberId) -> Option<Millis> {
        if *reporter == self.me.id {
            return self.reported.get(id).copied();
        }
        self.peers.get(reporter)?.report(self.epoch(), id)
    }
}
