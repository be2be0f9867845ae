//! Cost of placement decisions, and what interference-aware placement gains.

use std::fmt;
use std::time::Instant;

use super::colocation::{ColocationResult, PlacementPolicy, run_colocation};
use crate::batch::task_id;
use crate::membership::SoleOwner;
use crate::placement::{Fleet, RackOwner, splitmix64};
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::batch::ReserveTask;
use crate::schema::vm::{VmRecord, VmRole, VmState};
use crate::schema::worker::{AgentReply, WorkerState};

/// Numbers of workers at which the cost of a decision is measured.
const WORKERS: [u32; 3] = [65, 250, 1000];

/// Tasks per worker, in thousandths; 1,000 workers hold 24,500 tasks.
const TASKS_PER_WORKER_PERMILLE: u32 = 24_500;

/// Decisions that are measured when all other tasks are placed.
const MEASURED: u32 = 1600;

/// Kinds of task.
const KINDS: u64 = 12;

/// Capacity of a worker of the larger site.
const CAPACITY: Resources = Resources::new(64_000, 250_000, 0);

/// Cost of decisions at one fleet size.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct DecisionCost {
    /// Workers.
    pub workers: u32,
    /// Tasks that were placed.
    pub tasks: u32,
    /// Decisions that found no worker.
    pub refused: u32,
    /// Decisions a second over the whole fill.
    pub per_second: f64,
    /// Mean cost of a decision at the full fleet, in microseconds.
    pub mean_us: f64,
    /// Median of the same, which other work on the machine disturbs least.
    pub median_us: f64,
    /// 99th percentile of the same.
    pub p99_us: f64,
}

/// Result of the placement benchmark.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct PlacementReport {
    /// Seed of all random choices.
    pub seed: u64,
    /// Cost of decisions by fleet size.
    pub costs: Vec<DecisionCost>,
    /// Median cost at the largest fleet over that at the smallest.
    pub cost_ratio: f64,
    /// Work and latency by policy.
    pub colocation: Vec<ColocationResult>,
}

/// Runs the benchmark.
pub fn run_placement(seed: u64) -> PlacementReport {
    let costs: Vec<DecisionCost> = WORKERS.iter().map(|n| measure(*n, seed)).collect();
    let median = |cost: Option<&DecisionCost>| cost.map_or(f64::NAN, |cost| cost.median_us);
    PlacementReport {
        seed,
        cost_ratio: median(costs.last()) / median(costs.first()),
        costs,
        colocation: [
            PlacementPolicy::FirstFit,
            PlacementPolicy::LeastLoaded,
            PlacementPolicy::InterferenceAware,
        ]
        .into_iter()
        .map(|policy| run_colocation(policy, seed))
        .collect(),
    }
}

/// Describes worker `number`; racks hold 8 workers and there are 3 availability zones.
pub(super) fn worker(number: u32, service: Option<ServiceId>) -> VmRecord {
    let name = |text: String| text.parse().unwrap_or_default();
    let rack = number / 8;
    VmRecord {
        vm: name(format!("w{number}")),
        role: VmRole::Worker,
        state: VmState::Live,
        region: RegionId::default(),
        zone: format!("zone{}", rack % 3).parse().unwrap_or_default(),
        rack: format!("rack{rack}").parse().unwrap_or_default(),
        address: String::new(),
        agent: format!("w{number}"),
        capacity: CAPACITY,
        service,
    }
}

/// Builds a rack owner that has claimed idle workers.
fn claimed(workers: u32, seed: u64) -> RackOwner {
    let member = "m1".parse().unwrap_or_default();
    let mut owner = RackOwner::new(Arc::new(SoleOwner::new(member)), seed);
    let vms: Vec<VmRecord> = (0..workers).map(|n| worker(n, None)).collect();
    let fleet = Fleet::new(&RegionId::default(), &vms);
    owner.adopt_epoch(Millis::ZERO);
    owner.set_fleet_and_bundle(&fleet, None, Millis::ZERO);
    for work in owner.due_commands(Millis(1)) {
        let AgentCommand::Claim(claim) = &work.command else {
            continue;
        };
        let state = WorkerState {
            vm: work.worker.clone(),
            epoch: claim.epoch,
            capacity: CAPACITY,
            tasks: Vec::new(),
            clock: Millis(1),
        };
        let reply = Some(AgentReply::Done(state));
        owner.handle_agent_response(&work.worker, work.number, reply, Millis(1));
    }
    owner
}

fn measure(workers: u32, seed: u64) -> DecisionCost {
    let mut owner = claimed(workers, seed);
    let tasks = workers * TASKS_PER_WORKER_PERMILLE / 1000;
    let mut random = seed;
    let mut refused = 0;
    let mut late: Vec<f64> = Vec::new();
    let begun = Instant::now();
    for number in 0..tasks {
        random = splitmix64(random);
        let reserve = request(number, random);
        let start = Instant::now();
        if owner.reserve(&reserve, Millis(2)).is_none() {
            refused += 1;
        }
        if number + MEASURED >= tasks {
            late.push(start.elapsed().as_secs_f64() * 1e6);
        }
    }
    let took = begun.elapsed().as_secs_f64();
    late.sort_by(f64::total_cmp);
    DecisionCost {
        workers,
        tasks,
        refused,
        per_second: f64::from(tasks) / took,
        mean_us: late.iter().sum::<f64>() / late.len().max(1) as f64,
        median_us: percentile(&late, 0.5),
        p99_us: percentile(&late, 0.99),
    }
}

fn request(number: u32, random: u64) -> ReserveTask {
    let job = crate::batch::job_id(number % 32, u64::from(number / 320));
    ReserveTask {
        task: task_id(&job, number),
        attempt: Attempt(1),
        resources: Resources::new(500 + random % 3500, 1000 + (random >> 16) % 16_000, 0),
        kind: format!("kind{}", (random >> 32) % KINDS),
        avoid_workers: Vec::new(),
        avoid_zones: Vec::new(),
    }
}

/// Returns a percentile of sorted values.
pub(super) fn percentile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * part).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}

impl fmt::Display for PlacementReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "placement, seed {}", self.seed)?;
        writeln!(
            f,
            "{:>8} {:>7} {:>8} {:>12} {:>9} {:>9} {:>9}",
            "workers", "tasks", "refused", "decisions/s", "mean us", "median us", "p99 us"
        )?;
        for cost in &self.costs {
            writeln!(
                f,
                "{:>8} {:>7} {:>8} {:>12.0} {:>9.1} {:>9.1} {:>9.1}",
                cost.workers,
                cost.tasks,
                cost.refused,
                cost.per_second,
                cost.mean_us,
                cost.median_us,
                cost.p99_us
            )?;
        }
        writeln!(f, "cost ratio, largest to smallest: {:.2}", self.cost_ratio)?;
        writeln!(
            f,
            "{:>20} {:>16} {:>9} {:>9} {:>10} {:>10}",
            "policy", "core hours done", "p50 ms", "p99 ms", "throttles", "evictions"
        )?;
        for result in &self.colocation {
            writeln!(
                f,
                "{:>20} {:>16.0} {:>9.1} {:>9.1} {:>10} {:>10}",
                format!("{:?}", result.policy),
                result.core_hours,
                result.p50_ms,
                result.p99_ms,
                result.throttles,
                result.evictions
            )?;
        }
        Ok(())
    }
}
