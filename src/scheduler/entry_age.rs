//! Withholds starts while the entries of workers may be older than the leader can rely on.

use std::collections::BTreeSet;

use super::{Scheduler, Worker};
use crate::prelude::*;

/// Time without an answered watch after which entries count as old. A shrunk capacity counts 3 s
/// after the heartbeat that shows it, and one watch that stays unanswered takes 2.7 s.
pub const MAX_ENTRIES_AGE: Millis = Millis(2800);

impl Scheduler {
    /// Records that the watch of entries was answered and showed that these workers have written
    /// theirs. After a gap, the entries of all workers are old until they have written them again:
    /// what the answer shows may date from before the gap.
    pub fn on_entries_watched(&mut self, written: &BTreeSet<WorkerId>, now: Millis) {
        let gap = self.entries_watched_at.map(|at| now.since(at));
        self.entries_watched_at = Some(now);
        if let Some(gap) = gap.filter(|gap| *gap > MAX_ENTRIES_AGE) {
            tracing::info!(
                gap_ms = gap.0,
                "worker entries are old; starts wait for new ones"
            );
            self.distrust_entries();
            return;
        }
        for id in written {
            if let Some(worker) = self.workers.get_mut(id) {
                self.replan |= worker.entry_is_old;
                worker.entry_is_old = false;
            }
        }
    }

    /// Marks the entries of all workers as old: no worker gets a start until it has written its
    /// entry again.
    pub fn distrust_entries(&mut self) {
        for worker in self.workers.values_mut() {
            worker.entry_is_old = true;
        }
    }

    /// Returns whether the entries of all workers may be old.
    pub(super) fn entries_are_old(&self, now: Millis) -> bool {
        self.entries_watched_at
            .is_some_and(|at| now.since(at) > MAX_ENTRIES_AGE)
    }

    /// Returns whether a worker's entry may be old.
    pub(super) fn entry_is_old(&self, worker: &Worker, now: Millis) -> bool {
        worker.entry_is_old || self.entries_are_old(now)
    }
}
