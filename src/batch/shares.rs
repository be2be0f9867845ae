//! Use of team quotas across all members.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::batch::TeamUse;
use crate::schema::bundle::TeamSpec;

/// Used resources and pending tasks of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TeamDemand {
    used: Resources,
    pending: u32,
}

impl TeamDemand {
    fn add(&mut self, used: &Resources, pending: u32) {
        self.used = self.used.checked_add(used).unwrap_or(self.used);
        self.pending = self.pending.saturating_add(pending);
    }
}

/// Team use in own shards and, as last reported, in those of other members.
///
/// Between two reports, a member takes at most its part of the remaining quota, in proportion to
/// its pending tasks. Members that start tasks at the same time thus stay within the quota
/// together.
#[derive(Debug, Default)]
pub struct TeamShares {
    own: BTreeMap<TeamId, TeamDemand>,
    others: BTreeMap<MemberId, BTreeMap<TeamId, TeamDemand>>,
    /// Resources that this member has taken since the last report of another member.
    taken: BTreeMap<TeamId, Resources>,
}

impl TeamShares {
    /// Clears own use before it is counted again.
    pub fn clear_own(&mut self) {
        self.own.clear();
        if self.others.is_empty() {
            self.taken.clear();
        }
    }

    /// Adds use and pending tasks in an own shard.
    pub fn add_own(&mut self, team: &TeamId, used: &Resources, pending: u32) {
        self.own.entry(team.clone()).or_default().add(used, pending);
    }

    /// Replaces the report of another member.
    pub fn set_other(&mut self, member: &MemberId, teams: &[TeamUse]) {
        let mut demands: BTreeMap<TeamId, TeamDemand> = BTreeMap::new();
        for team in teams {
            let demand = demands.entry(team.team.clone()).or_default();
            demand.add(&team.used, team.pending);
        }
        self.others.insert(member.clone(), demands);
        self.taken.clear();
    }

    /// Removes the reports of members that are no longer needed.
    pub fn keep_members(&mut self, keep: impl Fn(&MemberId) -> bool) {
        self.others.retain(|member, _| keep(member));
    }

    /// Returns own use as a report for other members.
    pub fn report(&self) -> Vec<TeamUse> {
        self.own
            .iter()
            .map(|(team, demand)| TeamUse {
                team: team.clone(),
                used: demand.used,
                pending: demand.pending,
            })
            .collect()
    }

    /// Returns whether this member may start one more task under the team's quota.
    pub fn allows(&self, team: &TeamId, spec: &TeamSpec, size: &Resources) -> bool {
        let own = self.own.get(team).copied().unwrap_or_default();
        let mut others = TeamDemand::default();
        for demand in self.others.values().filter_map(|teams| teams.get(team)) {
            others.add(&demand.used, demand.pending);
        }
        let taken = self.taken.get(team).copied().unwrap_or_default();
        let before = own.used.saturating_sub(&taken);
        let left = quota(spec)
            .saturating_sub(&others.used)
            .saturating_sub(&before);
        let part = scale(&left, own.pending, others.pending);
        // If the part is smaller than one task, one task may still start. Otherwise small quotas
        // would never be used.
        let limit = if size.fits(&part) || taken != Resources::default() {
            part
        } else {
            left
        };
        taken
            .checked_add(size)
            .is_some_and(|wanted| wanted.fits(&limit))
    }

    /// Adds a task that is being placed to own use.
    pub fn take(&mut self, team: &TeamId, size: &Resources) {
        let taken = self.taken.entry(team.clone()).or_default();
        *taken = taken.checked_add(size).unwrap_or(*taken);
        self.own.entry(team.clone()).or_default().add(size, 0);
    }

    /// Returns the team's dominant share of the fleet, divided by its configured share.
    pub fn weighted_dominant_share(
        &self,
        team: &TeamId,
        spec: &TeamSpec,
        total: &Resources,
    ) -> f64 {
        let mut used = self.own.get(team).copied().unwrap_or_default().used;
        for demand in self.others.values().filter_map(|teams| teams.get(team)) {
            used = used.checked_add(&demand.used).unwrap_or(used);
        }
        let part = |used: u64, total: u64| used as f64 / total.max(1) as f64;
        let dominant = part(used.cpu.0, total.cpu.0)
            .max(part(used.memory.0, total.memory.0))
            .max(part(
                used.accelerators.0.into(),
                total.accelerators.0.into(),
            ));
        dominant / f64::from(spec.share.max(1))
    }
}

/// Returns a team's quota as resources.
pub fn quota(spec: &TeamSpec) -> Resources {
    Resources {
        cpu: spec.cpu_quota_millicores,
        memory: spec.memory_quota_mebibytes,
        accelerators: spec.accelerator_quota,
    }
}

/// Returns the part of `left` that belongs to this member, by pending tasks.
fn scale(left: &Resources, own: u32, others: u32) -> Resources {
    let own = u64::from(own.max(1));
    let all = own + u64::from(others);
    let part = |amount: u64| amount / all * own + amount % all * own / all;
    Resources {
        cpu: Millicores(part(left.cpu.0)),
        memory: Mebibytes(part(left.memory.0)),
        accelerators: Accelerators(
            u32::try_from(part(left.accelerators.0.into())).unwrap_or(u32::MAX),
        ),
    }
}
