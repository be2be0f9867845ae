//! Cancellations of jobs that this leader does not know.
//!
//! A cancellation whose job is not stored keeps the job from being stored for a while, since its
//! submission may be on its way. One whose job is stored may become known before the job.

use super::Scheduler;
use crate::prelude::*;

/// Time for which a cancellation without a job is kept. A caller repeats a submission for some
/// 15 s, a write takes effect up to 6 s late, and a process may be suspended for 10 s meanwhile.
const RETENTION: Millis = Millis(60_000);

impl Scheduler {
    /// Keeps the cancellation of a job that is not known; it applies as soon as the job is.
    pub fn keep_cancel_mark(&mut self, id: JobId, requested: Timestamp) {
        self.cancel_marks.insert(id, requested);
    }

    /// Forgets a cancellation that was removed from the store.
    pub fn drop_cancel_mark(&mut self, id: &JobId) {
        self.cancel_marks.remove(id);
    }

    /// Forgets all cancellations of unknown jobs, before they are read from the store again.
    pub fn clear_cancel_marks(&mut self) {
        self.cancel_marks.clear();
    }

    /// Returns unknown jobs whose cancellations can be removed from the store.
    pub fn expired_cancel_marks(&self, wall: Timestamp, most: usize) -> Vec<JobId> {
        self.cancel_marks
            .iter()
            .filter(|(_, requested)| wall.0 >= requested.0.saturating_add(RETENTION.0))
            .map(|(id, _)| id.clone())
            .take(most)
            .collect()
    }
}
