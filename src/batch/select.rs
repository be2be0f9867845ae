//! Order in which waiting tasks are started.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::shares::TeamShares;
use crate::prelude::*;
use crate::schema::bundle::TeamSpec;

/// Jobs of one team and class that are looked at in one round.
const JOBS_PER_GROUP: usize = 16;

/// A job with waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: TeamId,
    /// Priority of its batch class; zero is first.
    pub priority: u32,
    /// Time since which it has waited for its next start.
    pub since: Millis,
    /// Whether it has waited longer than its class allows.
    pub overdue: bool,
    /// Size of one task.
    pub size: Resources,
    /// Waiting tasks in order.
    pub tasks: Vec<(u32, Attempt)>,
}

/// A task that is to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedTask {
    /// The job.
    pub job: JobId,
    /// Index of the task.
    pub index: u32,
    /// The attempt.
    pub attempt: Attempt,
}

/// Picks up to `limit` tasks: overdue jobs first, then by priority, then the team that uses least.
pub fn select_tasks(
    waiting: Vec<WaitingJob>,
    shares: &mut TeamShares,
    teams: &BTreeMap<TeamId, TeamSpec>,
    total: &Resources,
    limit: usize,
) -> Vec<SelectedTask> {
    let mut groups = group(waiting);
    let mut picks = Vec::new();
    while picks.len() < limit {
        groups.retain(|group| !group.is_empty());
        let rank = |job: &WaitingJob| {
            teams
                .get(&job.team)
                .map_or(f64::MAX, |spec| shares.weight_used(&job.team, spec, total))
        };
        let best = groups
            .iter()
            .enumerate()
            .filter_map(|(at, group)| Some((at, group.first()?)))
            .min_by(|(_, a), (_, b)| compare(a, b, rank(a), rank(b)))
            .map(|(at, _)| at);
        let Some(group) = best.and_then(|at| groups.get_mut(at)) else {
            break;
        };
        take_first(group, shares, teams, &mut picks);
    }
    picks
}

fn take_first(
    group: &mut Vec<WaitingJob>,
    shares: &mut TeamShares,
    teams: &BTreeMap<TeamId, TeamSpec>,
    picks: &mut Vec<SelectedTask>,
) {
    let Some(job) = group.first_mut() else {
        return;
    };
    let allowed = teams
        .get(&job.team)
        .is_some_and(|spec| shares.allows(&job.team, spec, &job.size));
    if !allowed || job.tasks.is_empty() {
        group.remove(0);
        return;
    }
    let (index, attempt) = job.tasks.remove(0);
    shares.take(&job.team, &job.size);
    picks.push(SelectedTask {
        job: job.job.clone(),
        index,
        attempt,
    });
    // The wait of an overdue job ends with its first start, so it does not crowd out the others.
    if job.tasks.is_empty() || job.overdue {
        group.remove(0);
    }
}

fn group(waiting: Vec<WaitingJob>) -> Vec<Vec<WaitingJob>> {
    let mut groups: BTreeMap<(bool, u32, TeamId), Vec<WaitingJob>> = BTreeMap::new();
    for job in waiting {
        let key = (job.overdue, job.priority, job.team.clone());
        groups.entry(key).or_default().push(job);
    }
    groups
        .into_values()
        .map(|mut jobs| {
            jobs.sort_by(|a, b| (a.since, &a.job).cmp(&(b.since, &b.job)));
            jobs.truncate(JOBS_PER_GROUP);
            jobs
        })
        .collect()
}

fn compare(a: &WaitingJob, b: &WaitingJob, rank_a: f64, rank_b: f64) -> Ordering {
    match (a.overdue, b.overdue) {
        (true, true) => (a.since, &a.job).cmp(&(b.since, &b.job)),
        (true, false) => Ordering::Less,
        (false, true) => Ordering::Greater,
        (false, false) => a
            .priority
            .cmp(&b.priority)
            .then(rank_a.total_cmp(&rank_b))
            .then_with(|| (a.since, &a.job).cmp(&(b.since, &b.job))),
    }
}
