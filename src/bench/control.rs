//! Cost of the control plane: traffic, processor time, state and store calls.

mod cost;
mod heads;
mod report;
mod traffic;

pub use heads::HeadSizes;
pub use report::{ControlReport, ControlRow, StoreRates};

/// Members of a region that are measured.
const SIZES: [usize; 4] = [6, 8, 37, 110];

/// Endpoints at the size that the design plans for.
const ENDPOINTS: usize = 1000;

/// Returns the bytes a second of a member in calm and in a store outage, with given HTTP heads.
pub fn member_bytes(members: usize, seed: u64, heads: &HeadSizes) -> (f64, f64) {
    let traffic = traffic::measure(members, seed, heads);
    (traffic.calm_bytes, traffic.outage_bytes)
}

/// Measures the control plane; takes some seconds in an optimised build.
///
/// Traffic and store calls come from the simulated region and depend on the seed only. Processor
/// time and state are measured on this machine, and HTTP heads over loopback.
pub fn run_control(seed: u64) -> ControlReport {
    let memory = cost::measure_memory(&SIZES, ENDPOINTS);
    let heads = heads::measure();
    let exchange_micros = heads::exchange_micros();
    let rows = SIZES
        .iter()
        .zip(&memory)
        .map(|(members, memory)| {
            let costs = cost::measure(*members, ENDPOINTS);
            let traffic = traffic::measure(*members, seed, &heads);
            ControlRow::new(*members, &costs, memory, &traffic, exchange_micros)
        })
        .collect();
    ControlReport {
        seed,
        heads,
        exchange_micros,
        vm_list_bytes: traffic::vm_list_bytes(),
        rows,
    }
}
