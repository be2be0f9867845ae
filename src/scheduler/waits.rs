//! What waits of a job, and for how long.

use super::Job;
use crate::prelude::*;

/// What planning needs to know of the tasks of a job. It changes only with the version of the job
/// and when an occurrence becomes due.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waits {
    /// Version of the job that this describes.
    version: Option<u64>,
    /// Time at which the next occurrence becomes due.
    next_due: Option<Millis>,
    /// A task can be assigned.
    pub has_open_tasks: bool,
    /// Estimated work of all tasks, in core-seconds.
    pub work: f64,
    /// Estimated work of the tasks that are not done, in core-seconds.
    pub work_left: f64,
}

impl Waits {
    fn is_current(&self, version: u64, now: Millis) -> bool {
        self.version == Some(version) && self.next_due.is_none_or(|due| now < due)
    }
}

impl Job {
    /// Updates what planning needs to know of the tasks, and since when the job and its
    /// long-running tasks have waited; returns whether a task can be assigned.
    pub(super) fn update_waits(&mut self, now: Millis) -> bool {
        if self.waits.is_current(self.version, now) {
            return self.waits.has_open_tasks;
        }
        self.update_away(now);
        let has_open_tasks = self.has_open_tasks(now);
        let runs = || {
            let mut tasks = self.instances.iter().flat_map(|instance| &instance.tasks);
            tasks.any(|task| task.place.is_some())
        };
        self.idle_since = (has_open_tasks && !runs()).then(|| self.idle_since.unwrap_or(now));
        let (work, work_left) = self.work();
        let due = self.instances.iter().map(|instance| instance.due);
        self.waits = Waits {
            version: Some(self.version),
            next_due: due.filter(|due| *due > now).min(),
            has_open_tasks,
            work,
            work_left,
        };
        has_open_tasks
    }

    fn update_away(&mut self, now: Millis) {
        for at in 0..self.instances.len() {
            if self.instances[at].away_since.is_empty() {
                continue;
            }
            let ready = self.is_ready(at, now);
            let instance = &mut self.instances[at];
            for (task, since) in instance.tasks.iter().zip(&mut instance.away_since) {
                let is_away = ready && !task.done && task.place.is_none();
                *since = is_away.then(|| since.unwrap_or(now));
            }
        }
    }

    /// Returns the tasks of an instance that have run, should run until the job is cancelled, and
    /// have been away since before a time; each with the time since when.
    pub(super) fn tasks_away(
        &self,
        instance: usize,
        before: Millis,
    ) -> impl Iterator<Item = (usize, Millis)> {
        let instance = &self.instances[instance];
        let away = instance.tasks.iter().zip(&instance.away_since).enumerate();
        away.filter(|(_, (task, _))| task.run > 0 && task.place.is_none())
            .filter_map(|(index, (_, since))| Some((index, (*since)?)))
            .filter(move |(_, since)| *since < before)
    }

    /// Returns since when a task has been away as in [`Job::tasks_away`], the longest of all.
    pub(super) fn away_longest(&self, before: Millis) -> Option<Millis> {
        let instances = 0..self.instances.len();
        let away = instances.flat_map(|instance| self.tasks_away(instance, before));
        away.map(|(_, since)| since).min()
    }
}
