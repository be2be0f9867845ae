//! Task selection, team quotas, interference estimates, eviction budget and the index of free
//! workers.

mod batch_support;

use std::collections::BTreeMap;

use batch_support::id;
use sapphirecroft::admission::TokenBucket;
use sapphirecroft::batch::{SelectedTask, TeamShares, WaitingJob, select_tasks};
use sapphirecroft::placement::{FreeIndex, Interference, splitmix64};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::TeamUse;
use sapphirecroft::schema::bundle::TeamSpec;

const CORE: Resources = Resources::new(1000, 1000, 0);

fn waiting(job: &str, team: &str, priority: u32, since: u64, overdue: bool) -> WaitingJob {
    WaitingJob {
        job: id(job),
        team: id(team),
        priority,
        since: Millis(since),
        overdue,
        size: CORE,
        tasks: (0..100).map(|index| (index, Attempt(1))).collect(),
    }
}

fn team(share: u32, cores: u64) -> TeamSpec {
    TeamSpec {
        share,
        cpu_quota_millicores: Millicores(cores * 1000),
        memory_quota_mebibytes: Mebibytes(1_000_000),
        accelerator_quota: Accelerators(0),
    }
}

fn selected_count(selected: &[SelectedTask], job: &str) -> usize {
    selected.iter().filter(|task| task.job == id(job)).count()
}

/// Guards against a team that starves other teams of the same class: tasks are selected in
/// proportion to the team shares.
#[test]
fn selection_follows_team_shares() {
    let teams = BTreeMap::from([(id("red"), team(1, 1000)), (id("blue"), team(3, 1000))]);
    let jobs = vec![
        waiting("a", "red", 0, 1, false),
        waiting("b", "blue", 0, 2, false),
    ];
    let total = Resources::new(1_000_000, 1_000_000, 0);

    let selected = select_tasks(jobs, &mut TeamShares::default(), &teams, &total, 80);

    assert_eq!(
        (
            selected_count(&selected, "a"),
            selected_count(&selected, "b")
        ),
        (20, 60)
    );
}

/// Guards against low priorities that never start, and against an overdue job that takes a whole
/// round.
#[test]
fn an_overdue_job_goes_first_with_one_task() {
    let teams = BTreeMap::from([(id("red"), team(1, 1000))]);
    let jobs = vec![
        waiting("urgent", "red", 0, 50, false),
        waiting("old", "red", 5, 1, true),
    ];

    let selected = select_tasks(jobs, &mut TeamShares::default(), &teams, &CORE, 10);

    assert_eq!(
        selected.first().map(|task| task.job.clone()),
        Some(id("old"))
    );
    assert_eq!(
        (
            selected_count(&selected, "old"),
            selected_count(&selected, "urgent")
        ),
        (1, 9)
    );
}

/// Guards against members that start tasks at the same time and together exceed a team's quota.
#[test]
fn concurrent_members_stay_within_the_quota() {
    let teams = BTreeMap::from([(id("red"), team(1, 10))]);
    let report = |pending| {
        vec![TeamUse {
            team: id("red"),
            used: Resources::new(2000, 2000, 0),
            pending,
        }]
    };
    let start = |other: &str| {
        let mut shares = TeamShares::default();
        shares.add_own(&id("red"), &Resources::new(2000, 2000, 0), 100);
        shares.set_other(&id(other), &report(100));
        let jobs = vec![waiting("a", "red", 0, 1, false)];
        select_tasks(jobs, &mut shares, &teams, &CORE, 100).len()
    };

    assert_eq!(
        (start("m1"), start("m2")),
        (3, 3),
        "six of ten cores are left"
    );
}

/// Guards against estimates that attribute slowdown to the wrong kind, never decay, or leave their
/// bounds.
#[test]
fn estimates_find_the_noisy_kind_and_decay_to_the_prior() {
    let half_life = Millis::from_secs(1800);
    let mut estimates = Interference::new(half_life);
    let (victim, quiet, noisy) = (
        estimates.kind("v"),
        estimates.kind("q"),
        estimates.kind("n"),
    );
    let prior = estimates.estimate(victim, noisy, Millis::ZERO);
    let mut random = 1;
    for step in 0..400 {
        random = splitmix64(random);
        let (a, b) = (
            (random % 100) as f64 / 100.0,
            (random / 100 % 100) as f64 / 100.0,
        );
        let error = (random / 10_000 % 100) as f64 / 1000.0 - 0.05;
        let slowdown = (0.1 * a + 2.0 * b + error).max(0.0);
        estimates.learn(
            victim,
            &[(quiet, a), (noisy, b)],
            slowdown,
            Millis(step * 1000),
        );
    }
    let now = Millis(400_000);
    let (quiet_mean, _) = estimates.estimate(victim, quiet, now);
    let (noisy_mean, deviation) = estimates.estimate(victim, noisy, now);
    let aged = estimates.estimate(victim, noisy, now + Millis(half_life.0 * 20));

    assert!((quiet_mean - 0.1).abs() < 0.1, "{quiet_mean}");
    assert!((noisy_mean - 2.0).abs() < 0.15, "{noisy_mean}");
    assert!(deviation < prior.1 / 2.0);
    assert!(
        (aged.0 - prior.0).abs() < 0.1 && (aged.1 - prior.1).abs() < 0.05,
        "{aged:?}"
    );
    for _ in 0..50 {
        estimates.learn(victim, &[(noisy, 1.0)], 100.0, now);
    }
    assert!(estimates.estimate(victim, noisy, now).0 <= 4.0);
}

/// Guards against evictions beyond the burst and the hourly rate of the budget.
#[test]
fn evictions_stay_within_burst_and_rate() {
    let mut budget = TokenBucket::new(60.0, Millis::from_secs(3600), 2.0, Millis::ZERO);

    let burst = (0..5).filter(|_| budget.take(Millis(1))).count();
    let hour = (1..=3600).filter(|s| budget.take(Millis(s * 1000))).count();

    assert_eq!(burst, 2);
    assert!((59..=60).contains(&hour), "{hour}");
}

/// Guards against decisions whose cost grows with the fleet, and against candidates that miss the
/// only worker with enough free capacity.
#[test]
fn candidates_are_bounded_and_fit() {
    let mut index = FreeIndex::default();
    for slot in 0..1000u32 {
        let free = Resources::new(u64::from(slot % 64) * 100, 5000, 0);
        index.set(slot, &id(&format!("zone{}", slot % 3)), Some(free));
    }
    let size = Resources::new(3000, 1000, 0);
    let spread = index.candidates(&size, &[id("zone1")], 9);
    index.set(1000, &id("zone0"), Some(Resources::new(64_000, 64_000, 0)));

    let large = index.candidates(&Resources::new(60_000, 60_000, 0), &[], 9);

    assert!(!spread.is_empty() && spread.len() <= 36, "{}", spread.len());
    assert!(spread.iter().all(|slot| slot % 3 != 1 && slot % 64 >= 30));
    assert_eq!(large, vec![1000]);
}
