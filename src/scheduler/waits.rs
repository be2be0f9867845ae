//! How long a job and its long-running tasks have waited.

use super::Job;
use crate::prelude::*;

impl Job {
    /// Updates the idle time of the job and of its long-running tasks; returns whether a task can be
    /// assigned.
    pub(super) fn update_idle(&mut self, now: Millis) -> bool {
        self.update_away(now);
        let waits = self.has_open_tasks(now);
        let runs = || {
            let mut tasks = self.instances.iter().flat_map(|instance| &instance.tasks);
            tasks.any(|task| task.place.is_some())
        };
        self.idle_since = (waits && !runs()).then(|| self.idle_since.unwrap_or(now));
        waits
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
