//! Tail latency and useful answers of the request path against other policies.

mod report;
mod simulation;
mod workload;

pub use report::{KillRow, LoadRow, RequestsReport};

use simulation::Simulation;
pub use simulation::{Policy, SlotSharing};
use workload::{Plan, Workload};

/// Offered loads in percent of the capacity.
const LOADS: [u64; 4] = [50, 80, 95, 300];

/// Numbers of entry processes.
const ENTRIES: [usize; 2] = [6, 8];

/// Load in percent at which one entry process is killed.
const KILL_LOAD: u64 = 80;

/// Measures the dispatcher and the policies that it is compared with.
///
/// All policies get the same arrivals and service times.
pub fn run_requests(seed: u64) -> RequestsReport {
    let mut report = RequestsReport {
        seed,
        capacity_per_sec: workload::capacity_per_sec(),
        ..RequestsReport::default()
    };
    for load in LOADS {
        let plan = Plan::new(seed, load);
        let work = Workload::new(&plan);
        for policy in [Policy::Random, Policy::RoundRobin, Policy::SharedQueue] {
            let result = Simulation::new(&work, policy, ENTRIES[1], seed).run();
            report.rows.push(LoadRow::new(&plan, policy, None, &result));
        }
        for (entries, sharing) in variants() {
            let policy = Policy::Dispatcher(sharing);
            let result = Simulation::new(&work, policy, entries, seed).run();
            let row = LoadRow::new(&plan, policy, Some(entries), &result);
            report.rows.push(row);
        }
    }
    let plan = Plan::new(seed, KILL_LOAD);
    let work = Workload::new(&plan);
    for entries in ENTRIES {
        for policy in [
            Policy::SharedQueue,
            Policy::Dispatcher(SlotSharing::Even),
            Policy::Dispatcher(SlotSharing::Local),
        ] {
            let mut simulation = Simulation::new(&work, policy, entries, seed);
            simulation.kill_at(workload::KILL_AT);
            let row = KillRow::new(entries, policy, &simulation.run());
            report.kills.push(row);
        }
    }
    report
}

fn variants() -> impl Iterator<Item = (usize, SlotSharing)> {
    let sharings = [SlotSharing::Even, SlotSharing::Local];
    sharings
        .into_iter()
        .flat_map(|sharing| ENTRIES.map(|entries| (entries, sharing)))
}
