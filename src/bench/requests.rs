//! Tail latency and useful answers of the request path against other policies.

mod report;
mod simulation;
mod targets;
mod workload;

pub use report::{KillRow, LoadRow, RequestsReport};
pub use targets::Target;

use simulation::Simulation;
pub use simulation::{Policy, SlotSharing};
use workload::{Plan, Workload};

/// Offered loads in percent of the capacity.
const LOADS: [u64; 4] = [50, 80, 95, 300];

/// Numbers of entry processes.
const ENTRIES: [usize; 2] = [6, 8];

/// Ways to share the slots.
const SHARINGS: [SlotSharing; 2] = [SlotSharing::Even, SlotSharing::Local];

/// Load in percent at which one entry process is killed.
const KILL_LOAD: u64 = 80;

/// Measures the dispatcher and the policies that it is compared with.
///
/// All policies get the same arrivals and service times. Each load runs in a thread of its own;
/// the result depends on the seed alone.
pub fn run_requests(seed: u64) -> RequestsReport {
    let mut report = RequestsReport {
        seed,
        capacity_per_sec: workload::capacity_per_sec(),
        ..RequestsReport::default()
    };
    std::thread::scope(|scope| {
        let loads = LOADS.map(|load| scope.spawn(move || measure_load(Plan::new(seed, load))));
        let kills = scope.spawn(move || measure_kills(Plan::new(seed, KILL_LOAD)));
        for rows in loads {
            report.rows.extend(rows.join().unwrap_or_default());
        }
        report.kills = kills.join().unwrap_or_default();
    });
    report
}

fn measure_load(plan: Plan) -> Vec<LoadRow> {
    let work = Workload::new(&plan);
    let others = [Policy::Random, Policy::RoundRobin, Policy::SharedQueue];
    let others = others.map(|policy| (policy, None));
    let dispatchers = SHARINGS
        .into_iter()
        .flat_map(|sharing| ENTRIES.map(|entries| (Policy::Dispatcher(sharing), Some(entries))));
    others
        .into_iter()
        .chain(dispatchers)
        .map(|(policy, entries)| {
            let count = entries.unwrap_or(ENTRIES[0]);
            let result = Simulation::new(&work, policy, count, plan.seed).run();
            LoadRow::new(&plan, policy, entries, &result)
        })
        .collect()
}

fn measure_kills(plan: Plan) -> Vec<KillRow> {
    let work = Workload::new(&plan);
    let dispatchers = SHARINGS.map(Policy::Dispatcher);
    let policies = [Policy::SharedQueue].into_iter().chain(dispatchers);
    policies
        .flat_map(|policy| ENTRIES.map(|entries| (policy, entries)))
        .map(|(policy, entries)| {
            let mut simulation = Simulation::new(&work, policy, entries, plan.seed);
            simulation.kill_at(workload::KILL_AT);
            KillRow::new(entries, policy, &simulation.run())
        })
        .collect()
}
