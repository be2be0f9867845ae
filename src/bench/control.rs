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

/// Measures the control plane; takes some seconds in an optimised build.
///
/// Traffic and store calls come from the simulated region and depend on the seed only. Processor
/// time and state are measured on this machine, and HTTP heads over loopback.
pub fn run_control(seed: u64) -> ControlReport {
    let heads = heads::measure();
    let exchange_micros = heads::exchange_micros();
    let rows = SIZES
        .iter()
        .map(|members| {
            let costs = cost::measure(*members, ENDPOINTS);
            let traffic = traffic::measure(*members, seed, &heads);
            ControlRow::new(*members, &costs, &traffic, exchange_micros)
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
