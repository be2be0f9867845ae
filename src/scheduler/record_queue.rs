//! Jobs whose records have to be written.

use std::collections::{BTreeMap, HashMap};

use crate::prelude::*;

/// Jobs whose state in memory is newer than their record, in the order of their first change since
/// the last write.
///
/// While more jobs change than one write holds, an order by id would pass over some jobs for as long
/// as the load lasts.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    order: BTreeMap<Turn, JobId>,
    turns: HashMap<JobId, Turn>,
    insertions: u64,
}

/// Time of the change, then the number of the insertion.
type Turn = (Millis, u64);

impl RecordQueue {
    /// Adds a job that changed at `changed_at`; the earliest change counts.
    pub fn insert(&mut self, id: &JobId, changed_at: Millis) {
        if self
            .turns
            .get(id)
            .is_some_and(|(known, _)| *known <= changed_at)
        {
            return;
        }
        self.remove(id);
        self.insertions += 1;
        let turn = (changed_at, self.insertions);
        self.order.insert(turn, id.clone());
        self.turns.insert(id.clone(), turn);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(turn) = self.turns.remove(id) {
            self.order.remove(&turn);
        }
    }

    /// Takes up to `most` jobs for which `is_writable` holds, those with the earliest change first;
    /// none if there are fewer than `least`.
    pub fn take(
        &mut self,
        least: usize,
        most: usize,
        is_writable: impl Fn(&JobId) -> bool,
    ) -> Vec<(JobId, Millis)> {
        let taken: Vec<(JobId, Millis)> = self
            .order
            .iter()
            .filter(|(_, id)| is_writable(id))
            .take(most)
            .map(|((changed_at, _), id)| (id.clone(), *changed_at))
            .collect();
        if taken.len() < least {
            return Vec::new();
        }
        for (id, _) in &taken {
            self.remove(id);
        }
        taken
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the job that has waited longest, and the time of its change.
    pub fn oldest(&self) -> Option<(&JobId, Millis)> {
        self.order
            .first_key_value()
            .map(|((changed_at, _), id)| (id, *changed_at))
    }
}
