//! Selection of the next tasks to place: overdue jobs, then priority, then fair share of teams.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::shares::TeamShares;
use crate::prelude::*;
use crate::schema::bundle::TeamSpec;

/// Maximum number of jobs of one team and priority that a round considers.
const JOBS_PER_GROUP: usize = 16;

/// A job with pending tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// Id of the job.
    pub job: JobId,
    /// Team that the job belongs to.
    pub team: TeamId,
    /// Priority of its batch class. Lower values go first.
    pub priority: u32,
    /// Time since which the job has waited for its next placement.
    pub since: Millis,
    /// Whether the job has waited at least the maximum wait of its class.
    pub overdue: bool,
    /// Resources of one task.
    pub size: Resources,
    /// Index and next attempt of the pending tasks, in order.
    pub tasks: Vec<(u32, Attempt)>,
}

/// A task that was selected for placement.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedTask {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// Selects up to `limit` tasks within the team quotas.
///
/// Overdue jobs go first, then jobs by priority, then the team with the least weighted use.
pub fn select_tasks(
    waiting: Vec<WaitingJob>,
    shares: &mut TeamShares,
    teams: &BTreeMap<TeamId, TeamSpec>,
    total: &Resources,
    limit: usize,
) -> Vec<SelectedTask> {
    let mut groups = group(waiting);
    let mut selected = Vec::new();
    while selected.len() < limit {
        groups.retain(|group| !group.is_empty());
        let rank = |job: &WaitingJob| {
            teams.get(&job.team).map_or(f64::MAX, |spec| {
                shares.weighted_dominant_share(&job.team, spec, total)
            })
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
        select_first(group, shares, teams, &mut selected);
    }
    selected
}

fn select_first(
    group: &mut Vec<WaitingJob>,
    shares: &mut TeamShares,
    teams: &BTreeMap<TeamId, TeamSpec>,
    selected: &mut Vec<SelectedTask>,
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
    selected.push(SelectedTask {
        job: job.job.clone(),
        index,
        attempt,
    });
    // The wait of an overdue job ends with its first placement. It gets one task per round, so that
    // it does not starve other jobs.
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
