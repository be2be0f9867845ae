//! State of one incarnation of a worker.

use std::collections::VecDeque;

use super::run_lease::RunLease;
use super::worker_health::WorkerHealth;
use crate::prelude::*;

/// An incarnation of a worker, by the id of the worker and the start time of the process.
pub(super) type Life = (WorkerId, u64);

/// Everything that is known of one process of a worker. A worker that starts again under its id has
/// a clock, a lease and sequence numbers of its own, so the whole state is replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnation {
    /// Start time of the process, which identifies the incarnation.
    pub number: u64,
    /// Lease of the runs.
    pub lease: RunLease,
    /// Largest CPU capacity that the incarnation has shown: the processors that its runs share.
    pub largest_cpu: Millicores,
    /// Time since when a serving task has been over its target.
    pub over_target_since: Option<Millis>,
    /// Sequence number of the last completion that was applied.
    pub last_handled: u64,
    /// Sequence number of the last completion that the worker may drop.
    pub acknowledged: u64,
    /// Acknowledgement that the last poll carries; 0 if it carries none.
    pub acknowledging: u64,
    /// Last acknowledgement whose poll was answered.
    pub delivered: u64,
    /// Applied completions that are not yet durable: sequence number, job and version of the job.
    pub unacknowledged: VecDeque<(u64, JobId, u64)>,
    pub last_report_at: Millis,
    /// Number of reports that were handled.
    pub reports: u64,
    /// Unanswered polls since the last report; at least 1 after an unanswered start.
    pub missed_polls: u32,
    /// The store may declare the incarnation silent: its lease is not renewed, and nothing starts.
    pub is_declared: bool,
    pub health: WorkerHealth,
    /// The last entry was that of a draining worker.
    pub leaving: bool,
    /// A newer worker has registered at the address.
    pub replaced: bool,
    /// End of the trial of a suspected task.
    pub trial_until: Millis,
}

impl Incarnation {
    /// Returns the state of an incarnation of which nothing is known but its number.
    pub fn inherited(number: u64) -> Self {
        Self {
            number,
            ..Self::default()
        }
    }

    /// Returns the state of an incarnation that replaces another one of the same worker.
    pub fn begun(number: u64, now: Millis) -> Self {
        Self {
            number,
            lease: RunLease::Begun { at: now },
            ..Self::default()
        }
    }

    /// Records that the incarnation has answered the last poll.
    pub fn note_delivery(&mut self) {
        self.delivered = self.delivered.max(self.acknowledging);
        self.acknowledging = 0;
    }

    /// Returns whether the worker has not been told yet that it may drop a completion.
    pub fn owes_acknowledgement(&self) -> bool {
        self.acknowledged > self.delivered
    }

    /// Returns whether the worker has answered under this leader's fencing token, and its runs have
    /// not been given up since.
    pub fn is_fenced(&self) -> bool {
        matches!(self.lease, RunLease::Confirmed { .. })
    }
}
