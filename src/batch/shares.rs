//! What teams use of their quotas, over all members.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::batch::TeamUse;
use crate::schema::bundle::TeamSpec;

/// Use and waiting tasks of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Standing {
    used: Resources,
    pending: u32,
}

impl Standing {
    fn add(&mut self, used: &Resources, pending: u32) {
        self.used = self.used.checked_add(used).unwrap_or(self.used);
        self.pending = self.pending.saturating_add(pending);
    }
}

/// Team use in own shards and, as last reported, in those of other members.
///
/// Between two reports a member takes at most its part of what is left of a quota, divided by
/// waiting tasks, so that members which start tasks at the same time stay within it together.
#[derive(Debug, Default)]
pub struct TeamShares {
    own: BTreeMap<TeamId, Standing>,
    others: BTreeMap<MemberId, BTreeMap<TeamId, Standing>>,
    taken: BTreeMap<TeamId, Resources>,
}

impl TeamShares {
    /// Starts the count of own use anew.
    pub fn clear_own(&mut self) {
        self.own.clear();
        if self.others.is_empty() {
            self.taken.clear();
        }
    }

    /// Counts use and waiting tasks in an own shard.
    pub fn add_own(&mut self, team: &TeamId, used: &Resources, pending: u32) {
        self.own.entry(team.clone()).or_default().add(used, pending);
    }

    /// Takes in the report of another member.
    pub fn set_other(&mut self, member: &MemberId, teams: &[TeamUse]) {
        let mut standings: BTreeMap<TeamId, Standing> = BTreeMap::new();
        for team in teams {
            let standing = standings.entry(team.team.clone()).or_default();
            standing.add(&team.used, team.pending);
        }
        self.others.insert(member.clone(), standings);
        self.taken.clear();
    }

    /// Forgets members that are gone.
    pub fn keep_members(&mut self, keep: impl Fn(&MemberId) -> bool) {
        self.others.retain(|member, _| keep(member));
    }

    /// Returns the report for other members.
    pub fn report(&self) -> Vec<TeamUse> {
        self.own
            .iter()
            .map(|(team, standing)| TeamUse {
                team: team.clone(),
                used: standing.used,
                pending: standing.pending,
            })
            .collect()
    }

    /// Tells whether one more task fits the team's quota.
    pub fn allows(&self, team: &TeamId, spec: &TeamSpec, size: &Resources) -> bool {
        let own = self.own.get(team).copied().unwrap_or_default();
        let mut others = Standing::default();
        for standing in self.others.values().filter_map(|teams| teams.get(team)) {
            others.add(&standing.used, standing.pending);
        }
        let taken = self.taken.get(team).copied().unwrap_or_default();
        let before = own.used.saturating_sub(&taken);
        let left = quota(spec)
            .saturating_sub(&others.used)
            .saturating_sub(&before);
        let part = scale(&left, own.pending, others.pending);
        // A part smaller than one task may still take one, or small quotas would never be used.
        let limit = if size.fits(&part) || taken != Resources::default() {
            part
        } else {
            left
        };
        taken
            .checked_add(size)
            .is_some_and(|wanted| wanted.fits(&limit))
    }

    /// Counts a task that is being placed.
    pub fn take(&mut self, team: &TeamId, size: &Resources) {
        let taken = self.taken.entry(team.clone()).or_default();
        *taken = taken.checked_add(size).unwrap_or(*taken);
        self.own.entry(team.clone()).or_default().add(size, 0);
    }

    /// Returns the team's dominant part of the fleet, divided by its share.
    pub fn weight_used(&self, team: &TeamId, spec: &TeamSpec, total: &Resources) -> f64 {
        let mut used = self.own.get(team).copied().unwrap_or_default().used;
        for standing in self.others.values().filter_map(|teams| teams.get(team)) {
            used = used.checked_add(&standing.used).unwrap_or(used);
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

/// Returns a team's quota as an amount.
pub fn quota(spec: &TeamSpec) -> Resources {
    Resources {
        cpu: spec.cpu_quota_millicores,
        memory: spec.memory_quota_mebibytes,
        accelerators: spec.accelerator_quota,
    }
}

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
