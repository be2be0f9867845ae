//! Jobs whose records have to be written.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Jobs whose state in memory is newer than their record, each with the time of its first change
/// since the last write.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    changed_at: BTreeMap<JobId, Millis>,
}

impl RecordQueue {
    /// Adds a job that changed at `changed_at`; the earliest change counts.
    pub fn insert(&mut self, id: &JobId, changed_at: Millis) {
        if let Some(known) = self.changed_at.get_mut(id) {
            *known = (*known).min(changed_at);
            return;
        }
        self.changed_at.insert(id.clone(), changed_at);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &JobId) {
        self.changed_at.remove(id);
    }

    /// Takes up to `most` jobs for which `is_writable` holds.
    pub fn take(
        &mut self,
        most: usize,
        is_writable: impl Fn(&JobId) -> bool,
    ) -> Vec<(JobId, Millis)> {
        let taken: Vec<(JobId, Millis)> = self
            .changed_at
            .iter()
            .filter(|(id, _)| is_writable(id))
            .take(most)
            .map(|(id, changed_at)| (id.clone(), *changed_at))
            .collect();
        for (id, _) in &taken {
            self.changed_at.remove(id);
        }
        taken
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.changed_at.is_empty()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.changed_at.len()
    }

    /// Returns the job that has waited longest, and the time of its change.
    pub fn oldest(&self) -> Option<(&JobId, Millis)> {
        self.changed_at
            .iter()
            .min_by_key(|(_, changed_at)| **changed_at)
            .map(|(id, changed_at)| (id, *changed_at))
    }
}
