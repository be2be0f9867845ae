//! Targets of the request path and whether a run meets them.

use std::fmt;

use super::simulation::Policy;
use super::workload::CLASSES;
use super::{LoadRow, RequestsReport};

/// Highest permitted ratio of the p99 to that of the shared queue at 80% load.
const MAX_TAIL_RATIO: f64 = 1.5;

/// Lowest permitted part of the capacity that is useful answers at 300% load.
const MIN_USEFUL: f64 = 0.95;

/// One figure of a run and its bound.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Target {
    /// What is bounded, and for which variant.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Bound.
    pub bound: f64,
    /// Whether the value is within the bound.
    pub met: bool,
}

impl Target {
    fn at_most(name: String, value: f64, bound: f64) -> Self {
        let met = value <= bound;
        Self {
            name,
            value,
            bound,
            met,
        }
    }

    fn at_least(name: String, value: f64, bound: f64) -> Self {
        let met = value >= bound;
        Self {
            name,
            value,
            bound,
            met,
        }
    }
}

impl RequestsReport {
    /// Compares the figures of the dispatchers with the targets.
    pub fn targets(&self) -> Vec<Target> {
        let ideal = self.row(80, Policy::SharedQueue, None);
        let is_dispatcher = |row: &&LoadRow| matches!(row.policy, Policy::Dispatcher(_));
        let rows = self.rows.iter().filter(is_dispatcher);
        let mut targets: Vec<Target> = rows.flat_map(|row| self.load_targets(row, ideal)).collect();
        for kill in &self.kills {
            if matches!(kill.policy, Policy::Dispatcher(_)) {
                let name = format!(
                    "p99 from 3 s after a kill, ms ({}, {} processes)",
                    kill.policy, kill.entries
                );
                let bound = kill.before_p99_ms * super::report::RECOVERED;
                targets.push(Target::at_most(name, kill.settled_p99_ms, bound));
            }
        }
        targets
    }

    fn load_targets(&self, row: &LoadRow, ideal: Option<&LoadRow>) -> Vec<Target> {
        let variant = format!("({}, {} processes)", row.policy, row.entries.unwrap_or(0));
        match (row.load_percent, ideal) {
            (80, Some(ideal)) => vec![Target::at_most(
                format!("p99 at 80% against the shared queue {variant}"),
                row.p99_ms / ideal.p99_ms,
                MAX_TAIL_RATIO,
            )],
            (300, _) => vec![
                Target::at_least(
                    format!("useful part of the capacity at 300% {variant}"),
                    row.useful_per_sec / self.capacity_per_sec,
                    MIN_USEFUL,
                ),
                Target::at_most(
                    format!("urgent p99 at 300%, ms {variant}"),
                    row.urgent_p99_ms,
                    CLASSES[0].2 as f64 / 1000.0,
                ),
            ],
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "met" } else { "MISSED" };
        write!(
            f,
            "{verdict:<6} {}: {:.3}, bound {:.3}",
            self.name, self.value, self.bound
        )
    }
}
